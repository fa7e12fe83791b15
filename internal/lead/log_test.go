package lead

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/golden"
)

// loggedTerm is a term without jobs that records its log lines.
type loggedTerm struct {
	*term
	lines []string
}

func newLoggedTerm(ctx context.Context) *loggedTerm {
	l := &loggedTerm{}
	log := event.New(funcr.New(func(_, args string) { l.lines = append(l.lines, args) }, funcr.Options{}))
	hold := func(ctx context.Context, _ agent.Target, _ agent.HoldRequest) (agent.Report, error) {
		<-ctx.Done()
		return agent.Report{}, ctx.Err()
	}
	l.term = &term{
		Scheduler: New(Deps{Calls: agent.Calls{Hold: hold}, Log: log}), ctx: ctx, inbox: make(chan any, inboxSize), pool: pool.New(),
		workers: make(map[pool.WorkerID]*worker), members: make(map[graph.TaskID]*member),
	}
	l.LastRenewal = time.Now
	return l
}

// TestWorkerMovedLogged guards against a change of a worker's address that is not
// logged with both addresses.
func TestWorkerMovedLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newLoggedTerm(ctx)
		for _, a := range []string{"10.0.0.1:80", "10.0.0.1:80", "10.0.0.2:80"} {
			l.applyListed(ListedWorker{ID: "w", Attributes: pool.Attributes{Address: netip.MustParseAddrPort(a)}})
		}
		cancel()
		l.goroutines.Wait()
		golden.Assert(t, strings.Join(l.lines, "\n")+"\n", "moved.golden")
	})
}

// TestTaskLostLogged guards against a lost run whose log line lacks the facts behind
// the decision.
func TestTaskLostLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoggedTerm(t.Context())
		now := time.Now()
		report := reportSummary{requestedAt: now, running: 3, ended: 2}
		m := &member{task: graph.TaskID{Job: "j"}, placement: &placement{run: 7}, startSent: true, generation: 1}
		w := &worker{info: ListedWorker{ID: "w"}, listed: true, generation: 1}
		l.logLost(w, m, "leases ended")
		w.lastReport = report
		l.logLost(w, m, "reborn")
		m.confirmedAt = now.Add(-time.Second)
		l.logLost(w, m, "not listed")
		golden.Assert(t, strings.Join(l.lines, "\n")+"\n", "lost.golden")
	})
}

// TestEndsAckedOnce guards against repeated log lines for one end. While the end
// cannot be stored, each report of the worker lists it again.
func TestEndsAckedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoggedTerm(t.Context())
		l.jobs = make(map[graph.ID]*job)
		w := &worker{info: ListedWorker{ID: "w"}, members: make(map[graph.TaskID]*member)}
		w.agent = agent.New(agent.Deps{})
		report := func(incarnationStart int64, numbers ...int64) {
			r := agent.Report{IncarnationStart: time.Unix(incarnationStart, 0).UTC()}
			for _, n := range numbers {
				r.Ended = append(r.Ended, agent.RunEnd{Number: n, Outcome: graph.Done})
			}
			l.applyEnds(w, r)
		}
		commit := func(number int64) {
			c := l.pending
			c.number, l.pending.acks = number, nil
			l.finishCommit(c)
		}
		report(100, 1, 2)
		report(100, 1, 2)
		report(100, 1, 2, 3)
		commit(5)
		report(100, 1, 2, 3)
		commit(6)
		report(200, 1)
		commit(7)
		golden.Assert(t, strings.Join(l.lines, "\n")+"\n", "acked.golden")
	})
}

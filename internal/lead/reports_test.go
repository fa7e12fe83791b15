package lead

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/plan"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// placeTasks places the four tasks of a job on worker w, as if w had confirmed their
// starts, and returns w and the job.
func (l *listTerm) placeTasks(t *testing.T) (*worker, *job) {
	t.Helper()
	l.applyWorkers(workerChanges{store.Changes{Rows: []store.Change{listChange(1, "10.0.0.1:80")}, Version: 1}, true})
	l.applyEvents(t)
	spec := &graph.Job{ID: "j", MaxAttempts: 3, Steps: []graph.Step{{Count: 4}}}
	j := l.addJob(spec, graph.NewProgress(spec))
	for _, u := range j.progress.Ready(allTasks) {
		entries := make([]*pool.Worker, len(u.Members))
		for i := range entries {
			entries[i] = l.pool.Worker("w")
		}
		l.place(time.Now(), plan.Start{Unit: u, Workers: entries})
	}
	for p := range l.placements {
		delete(l.unstarted, p)
		p.Since = time.Now()
		for _, m := range p.members {
			m.startSent, m.startedAt, m.confirmedAt = true, time.Now(), time.Now()
		}
	}
	time.Sleep(time.Second)
	return l.workers["w"], j
}

// TestMissingRunInPartialReport guards against a run that is given up because a
// partial report lists it neither as running nor as ended, since the worker's list
// of ends is full. It also guards against ends that count twice because they are
// listed twice, out of order, or in several reports.
func TestMissingRunInPartialReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newListTerm(ctx)
		w, j := l.placeTasks(t)
		runs := make(map[int]int64)
		for id, m := range w.members {
			runs[id.Index] = m.placement.run
		}
		end := func(number int64, index int, outcome graph.RunOutcome) agent.RunEnd {
			return agent.RunEnd{Number: number, Task: graph.TaskID{Job: "j", Index: index}, Run: runs[index], Outcome: outcome}
		}
		report := func(partial bool, ends ...agent.RunEnd) {
			r := agent.Report{IncarnationStart: time.Unix(100, 0), Ended: ends, Partial: partial}
			l.applyReport(w, agent.Event{Agent: w.agent, Report: r, RequestedAt: time.Now(), At: time.Now()})
		}
		report(true, end(2, 1, graph.Failed), end(1, 0, graph.Done), end(2, 1, graph.Failed))
		assert.Equal(t, len(w.members), 2, "number of live runs")
		assert.Equal(t, l.pending.acks[0].number, int64(2))
		report(true, end(1, 0, graph.Done), end(2, 1, graph.Failed))
		assert.Equal(t, len(w.members), 2, "number of live runs")
		assert.Equal(t, j.progress.Task(graph.TaskID{Job: "j", Index: 1}).Failures.Count, 1)
		report(false, end(3, 2, graph.Done))
		assert.Equal(t, len(w.members), 0)
		cancel()
		l.goroutines.Wait()
	})
}

// TestTwoRunsListed guards against a run that is given up as not listed because its worker
// lists another run of the same task beside it, which began late.
func TestTwoRunsListed(t *testing.T) {
	for _, formerFirst := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			l := newListTerm(ctx)
			var stopped []int64
			l.Calls.Stop = func(_ context.Context, _ agent.Target, o agent.Order, _ int64) (agent.Answer, error) {
				l.mu.Lock()
				defer l.mu.Unlock()
				stopped = append(stopped, o.Run)
				return agent.Answer{}, nil
			}
			w, _ := l.placeTasks(t)
			r := agent.Report{IncarnationStart: time.Unix(100, 0)}
			former := agent.Run{Task: graph.TaskID{Job: "j", Index: 2}, Run: -1}
			for id, m := range w.members {
				r.Running = append(r.Running, agent.Run{Task: id, Run: m.placement.run})
			}
			if r.Running = append(r.Running, former); formerFirst {
				slices.Reverse(r.Running)
			}
			l.applyReport(w, agent.Event{Agent: w.agent, Report: r, RequestedAt: time.Now(), At: time.Now()})
			assert.Equal(t, len(w.members), 4, "number of live runs, former run first: %v", formerFirst)
			synctest.Wait()
			assert.DeepEqual(t, stopped, []int64{-1})
			cancel()
			l.goroutines.Wait()
		})
	}
}

// TestStartedAfterLeaseEnd guards against a run that is given up because of leases
// that expired before its start was sent, although the worker accepts the start.
func TestStartedAfterLeaseEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newListTerm(ctx)
		w, _ := l.placeTasks(t)
		for _, m := range w.members {
			m.generation = 3
		}
		gone := func(generation int64) {
			l.applyGone(w, agent.Event{Kind: agent.Gone, Agent: w.agent, Reason: "no answer", Generation: generation, At: time.Now()})
		}
		gone(2)
		assert.Equal(t, len(w.members), 4, "number of live runs")
		gone(3)
		assert.Equal(t, len(w.members), 0)
		cancel()
		l.goroutines.Wait()
	})
}

// TestStartCrossesLeaseEnd guards against a run that is given up because of leases that
// expired while the decision was made that has started it: the agent takes its start
// after that, and the worker accepts it. It also guards against a run that is not given
// up although the agent has taken its start before and does not send it any more.
func TestStartCrossesLeaseEnd(t *testing.T) {
	for _, startFirst := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			l := newListTerm(ctx)
			unreachable := make(chan struct{})
			hold := l.Calls.Hold
			l.Calls.Hold = func(ctx context.Context, to agent.Target, h agent.HoldRequest) (agent.Report, error) {
				select {
				case <-unreachable:
					return agent.Report{}, errors.New("no answer")
				default:
					return hold(ctx, to, h)
				}
			}
			l.Calls.Start = func(ctx context.Context, _ agent.Target, _ agent.Order, _ agent.Clock, _ int64) (agent.Answer, error) {
				<-ctx.Done()
				return agent.Answer{}, ctx.Err()
			}
			l.Calls.Stop = func(ctx context.Context, _ agent.Target, _ agent.Order, _ int64) (agent.Answer, error) {
				<-ctx.Done()
				return agent.Answer{}, ctx.Err()
			}
			w, _ := l.placeTasks(t)
			l.applyEvents(t)
			start := func() {
				for p := range l.placements {
					l.startPlacement(p, time.Now())
				}
			}
			if startFirst {
				start()
			}
			close(unreachable)
			w.agent.RequestReport()
			time.Sleep(3 * time.Second)
			if !startFirst {
				start()
			}
			assert.Assert(t, len(l.inbox) > 0, "Gone was not emitted")
			for len(l.inbox) > 0 {
				assert.NilError(t, l.apply(<-l.inbox))
			}
			expected := 4
			if startFirst {
				expected = 0
			}
			assert.Equal(t, len(w.members), expected, "number of live runs, start first: %v", startFirst)
			cancel()
			l.goroutines.Wait()
		})
	}
}

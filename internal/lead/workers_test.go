package lead

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/elect"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/queues"
	"github.com/baobabquay/baobabquay/internal/store"
	"gotest.tools/v3/assert"
)

// listTerm is a term without followers: the test applies the changes of the list of
// workers itself.
type listTerm struct {
	*term

	mu sync.Mutex
	// fences has the fencing token of the last call to each worker, and called the
	// address of that call.
	fences map[pool.WorkerID]int64
	called map[pool.WorkerID]netip.AddrPort
}

func newListTerm(ctx context.Context) *listTerm {
	l := &listTerm{fences: make(map[pool.WorkerID]int64), called: make(map[pool.WorkerID]netip.AddrPort)}
	hold := func(_ context.Context, to agent.Target, h agent.HoldRequest) (agent.Report, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.fences[to.ID], l.called[to.ID] = h.Fence, to.Address
		return agent.Report{Clock: time.Hour, IncarnationStart: time.Unix(100, 0)}, nil
	}
	l.term = &term{
		Scheduler: New(Deps{
			Log: event.Discard(), Calls: agent.Calls{Hold: hold}, ReadWorker: readWorker, Queues: queues.NewActiveConfig(event.Discard()),
		}),
		Term: elect.Term{Epoch: 1, LastRenewal: time.Now}, ctx: ctx, startedAt: time.Now(), inbox: make(chan any, inboxSize),
		jobs: make(map[graph.ID]*job), workers: make(map[pool.WorkerID]*worker), nextToken: make(map[pool.WorkerID]int64),
		pool: pool.New(), members: make(map[graph.TaskID]*member), unstarted: make(map[*placement]bool),
		placements: make(map[*placement]bool),
	}
	l.unstored = make(map[graph.ID]graph.Snapshot)
	return l
}

func readWorker(row store.Row) (ListedWorker, error) {
	var address netip.AddrPort
	err := json.Unmarshal(row.Value, &address)
	return ListedWorker{ID: pool.WorkerID(store.RowName(row.Key)), Attributes: pool.Attributes{Address: address}}, err
}

// listChange returns a change that lists worker w at an address.
func listChange(version int64, address string) store.Change {
	return store.Change{Row: store.Row{Key: "list/w", Value: []byte(`"` + address + `"`), Version: version}}
}

// applyEvents gives the agents time for their calls and applies their events.
func (l *listTerm) applyEvents(t *testing.T) {
	time.Sleep(100 * time.Millisecond)
	for len(l.inbox) > 0 {
		assert.NilError(t, l.apply(<-l.inbox))
	}
}

// TestOutdatedList guards against a worker that is called at a former address, or is
// removed, because a snapshot of the list is older than the changes applied before
// it.
func TestOutdatedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newListTerm(ctx)
		changes := func(snapshot bool, version int64, rows ...store.Change) {
			l.applyWorkers(workerChanges{store.Changes{Rows: rows, Version: version}, snapshot})
			l.applyEvents(t)
		}
		changes(true, 5, listChange(4, "10.0.0.1:80"))
		w := l.workers["w"]
		changes(false, 9, listChange(9, "10.0.0.2:80"))
		assert.Equal(t, l.workers["w"], w, "worker was replaced")
		assert.Equal(t, l.called["w"], netip.MustParseAddrPort("10.0.0.2:80"))
		changes(true, 6, listChange(4, "10.0.0.1:80"))
		assert.Equal(t, w.info.Address, netip.MustParseAddrPort("10.0.0.2:80"))
		changes(true, 3)
		assert.Assert(t, w.listed, "worker was unlisted by a snapshot older than its entry")
		changes(true, 12)
		assert.Assert(t, l.workers["w"] == nil, "worker was not removed")
		cancel()
		l.goroutines.Wait()
	})
}

// TestWorkerListedAgain guards against a term that ends itself after a worker has
// left the list and returned. A new incarnation of the worker had raised its fencing
// token. If the new agent begins with a lower token, the worker refuses its starts,
// and the refusal looks as if a later leader had taken over.
func TestWorkerListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newListTerm(ctx)
		last := int64(0)
		for version := int64(1); version < 4; version++ {
			l.applyWorkers(workerChanges{store.Changes{Rows: []store.Change{listChange(2*version, "10.0.0.1:80")}, Version: 2 * version}, true})
			l.applyEvents(t)
			assert.Assert(t, l.fences["w"] > last, "fencing token %d after %d", l.fences["w"], last)
			last = l.fences["w"]
			l.applyWorkers(workerChanges{store.Changes{Version: 2*version + 1}, true})
			l.applyEvents(t)
			assert.Equal(t, len(l.workers), 0)
		}
		cancel()
		l.goroutines.Wait()
	})
}

// TestOddEntryOfWorker guards against a worker that stays in use, or is used after
// a read of the whole list only, when another writer has replaced its entry by one
// that cannot be read, and against one that stays out of use when its own entry is
// back.
func TestOddEntryOfWorker(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			l := newListTerm(ctx)
			apply := func(version int64, rows ...store.Change) {
				l.applyWorkers(workerChanges{store.Changes{Rows: rows, Version: version}, snapshot})
				l.applyEvents(t)
			}
			apply(2, listChange(2, "10.0.0.1:80"))
			assert.Assert(t, l.workers["w"].listed)
			apply(3, store.Change{Row: store.Row{Key: "list/w", Value: []byte("odd"), Version: 3}},
				store.Change{Row: store.Row{Key: "list/other", Value: []byte("odd"), Version: 3}})
			assert.Assert(t, l.workers["w"] == nil && l.workers["other"] == nil)
			apply(4, listChange(4, "10.0.0.1:80"))
			assert.Assert(t, l.workers["w"].listed)
			cancel()
			l.goroutines.Wait()
		})
	}
}

// TestOddJobRow guards against a stored job that ends each leader in turn, since its
// tasks do not fit into memory.
func TestOddJobRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newListTerm(ctx)
		value, err := json.Marshal(graph.Job{ID: "0123456789abcdef", Steps: []graph.Step{{Count: 1 << 60}, {Count: 1 << 60}}})
		assert.NilError(t, err)
		l.applyJob(store.Row{Key: "jobs/0123456789abcdef", Value: value, Version: 2})
		l.loadJobs(store.Changes{Rows: []store.Change{{Row: store.Row{Key: "jobs/0123456789abcdef", Value: value}}}}, nil)
		assert.Equal(t, len(l.jobs), 0)
		cancel()
		l.goroutines.Wait()
	})
}

// TestWorkerChangesRack guards against a worker that counts as part of its former
// rack after it was listed on another one.
func TestWorkerChangesRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newListTerm(ctx)
		rack := "r1"
		l.ReadWorker = func(row store.Row) (ListedWorker, error) {
			worker, err := readWorker(row)
			worker.Rack = rack
			return worker, err
		}
		l.applyWorkers(workerChanges{store.Changes{Rows: []store.Change{listChange(2, "10.0.0.1:80")}, Version: 2}, false})
		rack = "r2"
		l.applyWorkers(workerChanges{store.Changes{Rows: []store.Change{listChange(3, "10.0.0.1:80")}, Version: 3}, false})
		assert.Equal(t, len(l.pool.Rack("r1")), 0)
		assert.Equal(t, len(l.pool.Rack("r2")), 1)
		cancel()
		l.goroutines.Wait()
	})
}

// TestQuarantineOutlivesRestart guards against a worker that stays quarantined after a
// restart, for up to 30 s, because of runs of a former incarnation.
func TestQuarantineOutlivesRestart(t *testing.T) {
	for _, reason := range []string{quarantinedForFailures, quarantinedForStalls} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			l := newListTerm(ctx)
			l.applyWorkers(workerChanges{store.Changes{Rows: []store.Change{listChange(2, "10.0.0.1:80")}, Version: 2}, true})
			l.applyEvents(t)
			w, p := l.workers["w"], l.pool.Worker("w")
			w.quarantines = 4
			l.quarantine(w, time.Now(), reason)
			assert.Assert(t, p.QuarantinedUntil.After(time.Now().Add(minQuarantine)))
			report := agent.Event{Kind: agent.Reported, Agent: w.agent, Report: agent.Report{IncarnationStart: time.Unix(100, 0)}, At: time.Now()}
			assert.NilError(t, l.applyAgent(report))
			assert.Assert(t, !p.QuarantinedUntil.IsZero(), "ended by a report of the same incarnation")
			report.Generation, report.Report.IncarnationStart = w.generation+1, time.Unix(200, 0)
			assert.NilError(t, l.applyAgent(report))
			assert.Assert(t, p.QuarantinedUntil.IsZero() && !p.Stalled)
			assert.Equal(t, w.quarantines, 0)
			cancel()
			l.goroutines.Wait()
		})
	}
}

// TestClosedAfterLateReport guards against a worker that stays closed because a report of
// a former incarnation is applied after the entry of the next one, and against a call for
// each entry that is behind the reports.
func TestClosedAfterLateReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newListTerm(ctx)
		present, former := time.Unix(100, 0), time.Unix(50, 0)
		entry := ListedWorker{ID: "w", Attributes: pool.Attributes{Address: netip.MustParseAddrPort("10.0.0.1:80")}, IncarnationStart: present}
		l.applyListed(entry)
		l.applyEvents(t)
		w, p := l.workers["w"], l.pool.Worker("w")
		w.rowStored = true
		report := func(start time.Time) {
			e := agent.Event{Kind: agent.Reported, Agent: w.agent, Report: agent.Report{IncarnationStart: start}, At: time.Now()}
			assert.NilError(t, l.applyAgent(e))
		}
		report(former)
		assert.Assert(t, p.Closed)
		l.applyListed(entry)
		l.applyEvents(t)
		assert.Assert(t, !p.Closed, "not called when its entry is written again")

		report(time.Unix(200, 0))
		assert.Assert(t, p.Closed)
		for range 3 {
			l.applyListed(entry)
			l.applyEvents(t)
			assert.Assert(t, p.Closed, "called because of an entry that is behind")
		}
		cancel()
		l.goroutines.Wait()
	})
}

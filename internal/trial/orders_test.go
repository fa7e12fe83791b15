package trial

import (
	"net/netip"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/store"
	"gotest.tools/v3/assert"
)

// delayFirstStart sets a hook that makes the first start order take effect after
// the given delay, without an answer to its sender.
func (h *harness) delayFirstStart(delay time.Duration) { h.delayFirst(stepStart, delay) }

// delayFirst is like delayFirstStart for any step.
func (h *harness) delayFirst(delayed step, delay time.Duration) {
	done := false
	h.setHook(func(_ *link, s step) fault {
		h.mu.Lock()
		defer h.mu.Unlock()
		if s != delayed || done {
			return fault{}
		}
		done = true
		return fault{effectDelay: delay}
	})
}

// TestRefusedAfterLostStart guards against a task that is started on another
// worker because a worker refused it for lack of room, while an earlier attempt at
// the same order, which got no answer, may still be executed by that worker.
func TestRefusedAfterLostStart(t *testing.T) {
	runHarness(t, func(h *harness) {
		var first pool.WorkerID
		until := time.Now().Add(2500 * time.Millisecond)
		h.workers.Refuse(func(id pool.WorkerID, _ agent.Order) string {
			if first == "" && time.Now().Before(until) {
				first = id
			}
			if id == first && time.Now().Before(until) {
				return agent.RefusedRoom
			}
			return ""
		})
		h.delayFirstStart(600 * time.Millisecond)
		time.Sleep(2 * time.Second)
		h.submit(0, "normal", "ks", batchJob, graph.Step{Count: 1, Demand: gpu(2), Estimate: 2 * time.Second})
		time.Sleep(8 * time.Second)
		assert.Equal(t, h.phase("normal", "ks", batchJob), "completed")
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestLateStartInNextIncarnation guards against a start order to a former
// incarnation of a worker that its next incarnation executes while the task runs
// elsewhere. The next incarnation must have seen a higher fencing token before
// the runs of the former one are given up. Here the calls after the one that
// reveals the next incarnation are delayed for a while.
func TestLateStartInNextIncarnation(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.delayFirstStart(2200 * time.Millisecond)
		time.Sleep(2 * time.Second)
		h.submit(0, "normal", "ks", batchJob, graph.Step{Count: 1, Demand: gpu(2), Estimate: 4 * time.Second})
		time.Sleep(800 * time.Millisecond)
		runs := h.workers.Runs()
		assert.Equal(t, len(runs), 1)
		// The worker drains, so that the task is placed on another one next.
		h.registerWorker(runs[0].Worker, "r0", true)
		h.workers.Crash(runs[0].Worker)
		time.Sleep(500 * time.Millisecond)
		h.bootWorker(runs[0].Worker)
		// The next incarnation answers the call in flight and none after it.
		h.setHook(func(_ *link, s step) fault {
			if s == stepContact || s == stepHold {
				return fault{delay: time.Hour}
			}
			return fault{}
		})
		time.Sleep(2 * time.Second)
		h.setHook(nil)
		time.Sleep(8 * time.Second)
		assert.Equal(t, h.phase("normal", "ks", batchJob), "completed")
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestOtherAddress guards against runs that are given up and started on another
// worker because the address of their worker changes in the list while they run.
func TestOtherAddress(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		h.submit(0, "normal", "ks", batchJob, graph.Step{Count: 4, Demand: gpu(2), Estimate: 2 * time.Second})
		time.Sleep(500 * time.Millisecond)
		runs := h.workers.Runs()
		assert.Equal(t, len(runs), 4)
		for _, r := range runs {
			h.registerWorkerAt(r.Worker, "r0", false, netip.MustParseAddrPort("10.0.0.2:80"))
		}
		time.Sleep(8 * time.Second)
		assert.Equal(t, h.phase("normal", "ks", batchJob), "completed")
		assert.Equal(t, len(h.workers.Runs()), 4)
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestUnlistedWhileOrdered guards against the removal of the state of a worker
// that leaves the list while it may still execute an order.
func TestUnlistedWhileOrdered(t *testing.T) {
	runHarness(t, func(h *harness) {
		var first pool.WorkerID
		h.workers.Refuse(func(id pool.WorkerID, _ agent.Order) string {
			if first == "" {
				first = id
			}
			if id == first && time.Since(startTime(h.ctx)) < 2500*time.Millisecond {
				return agent.RefusedRoom
			}
			return ""
		})
		h.delayFirstStart(600 * time.Millisecond)
		time.AfterFunc(2100*time.Millisecond, func() {
			for _, id := range []string{"w1", "w2", "w3"} {
				txn := store.Txn{Deletes: []string{workerListTable + "/" + id}}
				if _, err := h.table.Store().Commit(h.ctx, txn); err != nil {
					h.t.Error(err)
				}
			}
		})
		time.Sleep(2 * time.Second)
		h.submit(0, "normal", "ks", batchJob, graph.Step{Count: 1, Demand: gpu(2), Estimate: 2 * time.Second})
		time.Sleep(8 * time.Second)
		assert.Equal(t, h.phase("normal", "ks", batchJob), "completed")
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

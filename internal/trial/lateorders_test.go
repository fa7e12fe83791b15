package trial

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"gotest.tools/v3/assert"
)

// TestLateOrderAfterIdleRestart guards against an order that a worker carries out
// after a restart while it was idle. A late start runs a task again that was done, and
// a late acknowledgement makes the worker drop ends that it has yet to list.
func TestLateOrderAfterIdleRestart(t *testing.T) {
	const delay = 11 * time.Second
	gang := graph.Step{Count: 2, Demand: gpu(4), Gang: true, SameRack: true, Estimate: time.Second}
	single := graph.Step{Count: 1, Demand: gpu(2), Estimate: time.Second}
	for _, order := range []struct {
		name  string
		delay func(h *harness)
		step  graph.Step
	}{
		{"start", func(h *harness) { h.delayFirst(stepStart, delay) }, single},
		{"gangStart", func(h *harness) { h.delayFirst(stepStart, delay) }, gang},
		{"acknowledgement", func(h *harness) {
			// The task ends after 1 s.
			from := time.Now().Add(900 * time.Millisecond)
			h.setHook(func(_ *link, s step) fault {
				if s == stepHold && time.Now().After(from) && time.Now().Before(from.Add(time.Second)) {
					return fault{effectDelay: delay}
				}
				return fault{}
			})
		}, single},
	} {
		for _, m := range []struct {
			name   string
			around func(h *harness, w pool.WorkerID, restart func())
		}{
			{"once", func(_ *harness, _ pool.WorkerID, restart func()) { restart() }},
			{"twice", func(_ *harness, _ pool.WorkerID, restart func()) {
				restart()
				time.Sleep(500 * time.Millisecond)
				restart()
			}},
			{"leaderLostBefore", func(h *harness, _ pool.WorkerID, restart func()) {
				h.restartLeader()
				restart()
			}},
			{"leaderLostAfter", func(h *harness, _ pool.WorkerID, restart func()) {
				restart()
				h.restartLeader()
			}},
			{"otherAddress", func(h *harness, w pool.WorkerID, restart func()) {
				restart()
				e := entryOf(w)
				e.Address = netip.MustParseAddrPort("10.0.0.2:80")
				h.registerEntry(w, e)
			}},
		} {
			t.Run(order.name+"/"+m.name, func(t *testing.T) {
				runHarness(t, func(h *harness) {
					time.Sleep(2 * time.Second)
					order.delay(h)
					h.submit(0, "normal", "ks", batchJob, order.step)
					time.Sleep(4 * time.Second)
					runs := h.workers.Runs()
					w := runs[0].Worker
					m.around(h, w, func() {
						h.workers.Crash(w)
						time.Sleep(restartTime)
						h.bootWorker(w)
					})
					time.Sleep(delay)
					assert.Equal(t, len(h.workers.Runs()), len(runs), "a task runs again: %+v", h.workers.Runs())
					h.submit(1, "normal", "ks", gangJob, graph.Step{Count: 32, Demand: gpu(1), Estimate: time.Second})
					time.Sleep(5 * time.Second)
					for _, id := range []graph.ID{batchJob, gangJob} {
						assert.Equal(t, h.phase("normal", "ks", id), "completed", "job %s", id)
					}
					assert.DeepEqual(t, h.check(), []string(nil))
				})
			})
		}
	}
}

// TestLateOrderWhileListUnreadable guards against a start that a worker carries out after a
// restart while it was idle and the store away, so that the list does not show the restart:
// the task, which was done, runs again.
func TestLateOrderWhileListUnreadable(t *testing.T) {
	for _, o := range outages {
		for down := 200 * time.Millisecond; down <= 3*time.Second; down += 400 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%v", o.name, down), func(t *testing.T) {
				runHarness(t, func(h *harness) {
					const delay = 9 * time.Second
					time.Sleep(2 * time.Second)
					h.delayFirst(stepStart, delay)
					h.submit(0, "normal", "ks", batchJob, graph.Step{Count: 1, Demand: gpu(2), Estimate: time.Second})
					time.Sleep(4 * time.Second)
					w := h.workers.Runs()[0].Worker
					restore := h.startOutage(o.fault)
					time.Sleep(500 * time.Millisecond)
					h.workers.Crash(w)
					time.Sleep(down)
					h.bootWorker(w)
					time.Sleep(5 * time.Second)
					restore()
					time.Sleep(5 * time.Second)
					assert.Equal(t, len(h.workers.Runs()), 1, "the task runs again: %+v", h.workers.Runs())
					assert.Equal(t, h.phase("normal", "ks", batchJob), "completed")
					assert.DeepEqual(t, h.check(), []string(nil))
				})
			})
		}
	}
}

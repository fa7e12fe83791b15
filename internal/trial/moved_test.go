package trial

import (
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"gotest.tools/v3/assert"
)

var (
	renderWorkers = []pool.WorkerID{"w1", "w2"}
	auditWorkers  = []pool.WorkerID{"w3", "w4"}
)

// leave has workers drain and leave.
func (h *harness) leave(workers []pool.WorkerID) {
	for _, w := range workers {
		h.registerWorker(w, "r0", true)
	}
	time.Sleep(4 * time.Second)
	for _, w := range workers {
		h.workers.Crash(w)
		h.unregisterWorker(w)
	}
}

// TestTasksOfMovedQueue guards against tasks that had not begun when their queue was
// given to another service, and that never do since the former workers leave.
func TestTasksOfMovedQueue(t *testing.T) {
	for _, test := range []struct {
		name string
		// move changes the configuration. At its end one of the services has no workers.
		move func(h *harness)
	}{
		{"moved", func(h *harness) {
			h.configure(2, "audit")
			h.leave(renderWorkers)
		}},
		{"movedAfterWorkersLeft", func(h *harness) {
			h.leave(renderWorkers)
			h.configure(2, "audit")
		}},
		{"movedBack", func(h *harness) {
			h.configure(2, "audit")
			time.Sleep(time.Second)
			h.configure(3, "render")
			h.leave(auditWorkers)
		}},
		{"removed", func(h *harness) { h.configure(2, "") }},
		{"removedAndBack", func(h *harness) {
			h.configure(2, "")
			time.Sleep(time.Second)
			h.configure(3, "audit")
			h.leave(renderWorkers)
		}},
		{"leaderLostBefore", func(h *harness) {
			h.restartLeader()
			h.configure(2, "audit")
			h.leave(renderWorkers)
		}},
		{"leaderLostAfter", func(h *harness) {
			h.configure(2, "audit")
			h.restartLeader()
			h.leave(renderWorkers)
		}},
	} {
		for name, step := range map[string]graph.Step{
			"tasks": {Count: 12, Demand: gpu(4), Estimate: 2 * time.Second},
			"gang":  {Count: 2, Demand: gpu(8), Gang: true, Estimate: 2 * time.Second},
		} {
			t.Run(test.name+"/"+name, func(t *testing.T) {
				runHarness(t, func(h *harness) {
					for _, w := range auditWorkers {
						e := entryOf(w)
						e.Service, e.Capacity = "audit", gpu(workerAccelerators)
						h.registerEntry(w, e)
					}
					time.Sleep(2 * time.Second)
					// The gang waits for the end of the first job.
					h.submit(0, "normal", "kn", busyJob, graph.Step{Count: 4, Demand: gpu(4), Estimate: 2 * time.Second})
					h.submit(1, "normal", "ks", batchJob, step)
					time.Sleep(500 * time.Millisecond)
					test.move(h)
					time.Sleep(30 * time.Second)
					done := make(map[graph.TaskID]bool)
					for _, r := range h.workers.Runs() {
						if r.Task.Job == batchJob && r.Outcome == graph.Done {
							done[r.Task] = true
						}
					}
					assert.Equal(t, len(done), step.Count)
					assert.DeepEqual(t, h.check(), []string(nil))
				})
			})
		}
	}
}

// TestOlderConfigurationMovesJob guards against a leader with an older version of the
// configuration than the instance that has accepted a job, which has the job run by the
// former service.
func TestOlderConfigurationMovesJob(t *testing.T) {
	runHarness(t, func(h *harness) {
		for _, w := range auditWorkers {
			e := entryOf(w)
			e.Service = "audit"
			h.registerEntry(w, e)
		}
		time.Sleep(2 * time.Second)
		leader := h.leader()
		c := config()
		c.Version, c.Queues[1].Service = 2, "audit"
		c.BuildIndex()
		for i, inst := range h.instances {
			if inst != leader {
				inst.current().activeConfig.Install(c)
				h.submit(i, "normal", "ks", batchJob, graph.Step{Count: 2, Demand: gpu(2), Estimate: time.Second})
				break
			}
		}
		time.Sleep(5 * time.Second)
		runs := h.workers.Runs()
		assert.Equal(t, len(runs), 2)
		for _, r := range runs {
			assert.Assert(t, r.Worker == "w3" || r.Worker == "w4", "task %s runs on %s", r.Task, r.Worker)
		}
	})
}

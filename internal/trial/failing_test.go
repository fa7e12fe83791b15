package trial

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"gotest.tools/v3/assert"
)

// serviceJob has long-running tasks that fail from time to time.
const serviceJob graph.ID = "4444444444444444"

// checkGaps checks that no task of serviceJob is down for maxWait until now.
func (h *harness) checkGaps(submittedAt time.Time, tasks int) {
	runsOf := make(map[graph.TaskID][]fakes.TaskRun)
	for _, r := range h.workers.Runs() {
		if r.Task.Job == serviceJob {
			runsOf[r.Task] = append(runsOf[r.Task], r)
		}
	}
	assert.Equal(h.t, len(runsOf), tasks)
	for task, runs := range runsOf {
		slices.SortFunc(runs, func(a, b fakes.TaskRun) int { return a.Begun.Compare(b.Begun) })
		ended := submittedAt
		for _, r := range runs {
			assert.Assert(h.t, r.Begun.Sub(ended) < maxWait, "task %s begins %v after its last run", task, r.Begun.Sub(ended))
			ended = r.Ended
		}
		assert.Assert(h.t, ended.IsZero() || time.Since(ended) < maxWait, "task %s is down for %v", task, time.Since(ended))
	}
}

// TestFailingTasksBarWorkers guards against tasks of one kind that fail everywhere and
// leave no worker of an idle service for themselves and for others.
func TestFailingTasksBarWorkers(t *testing.T) {
	const span = 95 * time.Second
	for _, test := range []struct {
		name  string
		count int
		// life is the time after which each run fails.
		life time.Duration
	}{
		{"atWork", 2, 4 * time.Second},
		{"manyAtWork", 16, 4 * time.Second},
		{"beforeReport", 2, 500 * time.Millisecond},
		{"inStartup", 2, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				time.Sleep(2 * time.Second)
				h.durations = map[graph.ID]time.Duration{serviceJob: test.life}
				h.failing = map[graph.ID]bool{serviceJob: true}
				h.workers.LongRunning = func(id graph.TaskID) bool { return id.Job == serviceJob }
				submittedAt := time.Now()
				h.submit(0, "normal", "ks", serviceJob,
					graph.Step{Count: test.count, Demand: gpu(1), Estimate: time.Second, LongRunning: true})
				for i := range 9 {
					time.Sleep(span / 10)
					h.submitSound(i)
				}
				time.Sleep(span / 10)
				h.checkGaps(submittedAt, test.count)
				h.checkSound(9)
			})
		})
	}
}

// TestHopelessJobsBarWorkers guards against jobs that fail on each worker and leave none
// for others in an idle service.
func TestHopelessJobsBarWorkers(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		for i := range 9 {
			for k := range 8 {
				id := graph.ID(fmt.Sprintf("f%015x", i*8+k))
				h.submit(k, "normal", "kn", id, graph.Step{Count: 2, Demand: gpu(1), Estimate: time.Second})
				time.Sleep(time.Second)
			}
			h.submitSound(i)
		}
		time.Sleep(10 * time.Second)
		h.checkSound(9)
	})
}

// TestFaultyWorkerUsed guards against a worker on which all tasks fail that keeps getting
// tasks beside sound ones.
func TestFaultyWorkerUsed(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.workers.Faulty = func(id pool.WorkerID) bool { return id == "w1" }
		time.Sleep(2 * time.Second)
		for i := range 60 {
			h.submitSound(i)
			time.Sleep(time.Second)
		}
		time.Sleep(10 * time.Second)
		failed := 0
		for _, r := range h.workers.Runs() {
			if r.Outcome == graph.Failed {
				failed++
			}
		}
		// Two failures begin the first quarantine, and one each of the four further ones
		// in the time of the test.
		assert.Assert(t, failed <= 6, "%d runs failed", failed)
		h.checkSound(60)
	})
}

func soundJob(i int) graph.ID { return graph.ID(fmt.Sprintf("a%015x", i)) }

// submitSound submits a job with a task that fails on faulty workers only.
func (h *harness) submitSound(i int) {
	h.submit(i, "normal", "ks", soundJob(i), graph.Step{Count: 1, Demand: gpu(4), Estimate: time.Second})
}

// checkSound checks that n sound jobs have been started in time and are completed.
func (h *harness) checkSound(n int) {
	begun := make(map[graph.ID]time.Time)
	for _, r := range h.workers.Runs() {
		if at, ok := begun[r.Task.Job]; !ok || r.Begun.Before(at) {
			begun[r.Task.Job] = r.Begun
		}
	}
	for i := range n {
		id := soundJob(i)
		wait := begun[id].Sub(h.submittedAt[id])
		assert.Assert(h.t, !begun[id].IsZero() && wait < maxWait, "job %s begins after %v", id, wait)
		assert.Equal(h.t, h.phase("normal", "ks", id), "completed", "job %s", id)
	}
}

// TestRefusedJobWaits guards against a job that is not counted as waiting although no worker
// has accepted a task of it: the workers refuse each start, or are lost before it arrives.
func TestRefusedJobWaits(t *testing.T) {
	for _, lost := range []bool{false, true} {
		runHarness(t, func(h *harness) {
			time.Sleep(2 * time.Second)
			if lost {
				for _, id := range []pool.WorkerID{"w1", "w2", "w3", "w4"} {
					h.workers.Crash(id)
				}
			} else {
				h.workers.Refuse(func(pool.WorkerID, agent.Order) string { return agent.RefusedRoom })
			}
			h.submit(0, "normal", "ks", batchJob, graph.Step{Count: 1, Demand: gpu(1), Estimate: time.Second})
			waiting := func() int {
				n, leads := h.leader().current().scheduler.Waiting("normal")
				assert.Assert(t, leads)
				return n
			}
			for range 10 {
				time.Sleep(500 * time.Millisecond)
				assert.Equal(t, waiting(), 1, "workers lost: %v", lost)
			}
			h.workers.Refuse(nil)
			for _, id := range []pool.WorkerID{"w1", "w2", "w3", "w4"} {
				if lost {
					h.bootWorker(id)
				}
			}
			time.Sleep(20 * time.Second)
			assert.Equal(t, waiting(), 0)
			assert.Equal(t, h.phase("normal", "ks", batchJob), "completed")
			assert.DeepEqual(t, h.check(), []string(nil))
		})
	}
}

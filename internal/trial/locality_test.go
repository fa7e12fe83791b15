package trial

import (
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"gotest.tools/v3/assert"
)

// TestWaitBesideIdleWorkers guards against a job that has nothing running for seconds
// in a service that is mostly idle, because it waits for the rack of its data.
func TestWaitBesideIdleWorkers(t *testing.T) {
	data := graph.Step{Count: 1, Demand: gpu(1), DataRack: "r0", Estimate: 30 * time.Second}
	for _, test := range []struct {
		name  string
		steps []graph.Step
		// during is called while the job waits.
		during func(*harness)
	}{
		{"firstStep", []graph.Step{data}, nil},
		{"manyTasks", []graph.Step{{Count: 4, Demand: gpu(2), DataRack: "r0", Estimate: 30 * time.Second}}, nil},
		{"laterStep", []graph.Step{
			{Count: 1, Demand: gpu(1), Estimate: time.Second},
			{Count: 1, Demand: gpu(1), DataRack: "r0", Estimate: 30 * time.Second, After: []int{0}},
		}, nil},
		{"leaderLost", []graph.Step{data}, (*harness).restartLeader},
	} {
		t.Run(test.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				for _, w := range []pool.WorkerID{"w2", "w3", "w4"} {
					h.registerWorker(w, "r1", false)
				}
				time.Sleep(2 * time.Second)
				h.durations = map[graph.ID]time.Duration{busyJob: time.Minute}
				h.submit(0, "normal", "kn", busyJob, graph.Step{Count: 1, Demand: gpu(8), DataRack: "r0", Estimate: time.Minute})
				time.Sleep(time.Second)
				idleSince := time.Now()
				h.submit(1, "normal", "ks", batchJob, test.steps...)
				if test.during != nil {
					time.Sleep(500 * time.Millisecond)
					test.during(h)
					time.Sleep(time.Second)
					idleSince = time.Now()
				}
				time.Sleep(15 * time.Second)
				last := test.steps[len(test.steps)-1]
				begun := 0
				for _, r := range h.workers.Runs() {
					if r.Task.Job != batchJob {
						continue
					}
					assert.Assert(t, r.Begun.Sub(idleSince) < maxWait, "task %s begins after %v", r.Task, r.Begun.Sub(idleSince))
					if r.Ended.After(idleSince) {
						idleSince = r.Ended
					}
					if r.Task.Step == len(test.steps)-1 {
						begun++
					}
				}
				assert.Equal(t, begun, last.Count)
				assert.DeepEqual(t, h.check(), []string(nil))
			})
		})
	}
}

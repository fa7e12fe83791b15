package trial

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"gotest.tools/v3/assert"
)

// TestSlowTasksStopped guards against tasks that are slow and are stopped as stalled
// again and again, so that their jobs never end, or have nothing running for seconds
// while workers are idle.
func TestSlowTasksStopped(t *testing.T) {
	const (
		// maxGap is the time for which the platform lets a job wait beside idle
		// workers.
		maxGap = 3 * time.Second
		// duration of a task that takes 2.5 s for a percent.
		duration = 250 * time.Second
	)
	for _, test := range []struct {
		name     string
		jobs     int
		step     graph.Step
		maxRuns  int
		loseLead time.Duration
	}{
		{"estimated", 1, graph.Step{Count: 1, Demand: gpu(1), Estimate: duration}, 1, 0},
		{"underestimated", 1, graph.Step{Count: 1, Demand: gpu(1), Estimate: time.Second}, 5, 0},
		{"withoutEstimate", 1, graph.Step{Count: 1, Demand: gpu(1)}, 5, 0},
		{"gang", 1, graph.Step{Count: 4, Demand: gpu(8), Gang: true, Estimate: time.Second}, 5, 0},
		{"manyJobs", 12, graph.Step{Count: 2, Demand: gpu(1), Estimate: time.Second}, 5, 0},
		{"leaderLost", 2, graph.Step{Count: 1, Demand: gpu(4), Estimate: time.Second}, 10, 20 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				h.durations = make(map[graph.ID]time.Duration)
				time.Sleep(2 * time.Second)
				var ids []graph.ID
				for i := range test.jobs {
					id := graph.ID(fmt.Sprintf("%016x", i+1))
					ids = append(ids, id)
					h.mu.Lock()
					h.durations[id] = duration
					h.mu.Unlock()
					h.submit(i, "normal", "ks", id, test.step)
				}
				if test.loseLead > 0 {
					time.Sleep(test.loseLead)
					l := h.leader()
					l.kill()
					l.start()
				}
				time.Sleep(duration + 30*time.Second)
				for _, id := range ids {
					assert.Equal(t, h.phase("normal", "ks", id), "completed", "job %s", id)
				}
				runsOf := make(map[graph.TaskID][]fakes.TaskRun)
				for _, r := range h.workers.Runs() {
					runsOf[r.Task] = append(runsOf[r.Task], r)
				}
				for task, runs := range runsOf {
					assert.Assert(t, len(runs) <= test.maxRuns, "task %s has %d runs", task, len(runs))
					slices.SortFunc(runs, func(a, b fakes.TaskRun) int { return a.Begun.Compare(b.Begun) })
					for i := 1; i < len(runs); i++ {
						gap := runs[i].Begun.Sub(runs[i-1].Ended)
						assert.Assert(t, gap < maxGap, "task %s runs again only after %v", task, gap)
					}
				}
				assert.DeepEqual(t, h.check(), []string(nil))
			})
		})
	}
}

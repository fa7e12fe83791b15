package trial

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"gotest.tools/v3/assert"
)

// maxHeap is the memory of the smallest instance of the platform. In the tests three
// instances and the stand-ins share it.
const maxHeap = 184 << 20

// TestOverdueJob guards against a job with a million overdue occurrences that ends each
// leader in turn, since it takes all of its memory, or that keeps other jobs from
// running. The leader is lost meanwhile, and the job is cancelled at the end.
func TestOverdueJob(t *testing.T) {
	const (
		overdue, small, large graph.ID = "1111111111111111", "2222222222222222", "3333333333333333"
		times                          = 1_000_000
	)
	runHarness(t, func(h *harness) {
		h.durations = map[graph.ID]time.Duration{overdue: 6 * time.Second}
		time.Sleep(2 * time.Second)
		h.submitJob(0, "normal", "ks", &graph.Job{
			ID: overdue, Steps: []graph.Step{{Count: 1, Demand: gpu(1), Estimate: time.Second}},
			Times: times, First: time.Now().Add(-times * time.Minute), Interval: time.Minute,
		})
		time.Sleep(2 * time.Second)
		h.submit(1, "normal", "kn", small, graph.Step{Count: 8, Demand: gpu(1), Estimate: 2 * time.Second})
		h.submit(1, "urgent", "kn", large, graph.Step{Count: 1, Demand: gpu(8), Gang: true, Estimate: time.Second})
		time.Sleep(10 * time.Second)
		checkHeap(t)
		assert.Equal(t, h.phase("normal", "kn", small), "completed")
		assert.Equal(t, h.phase("urgent", "kn", large), "completed")
		l := h.leader()
		l.kill()
		l.start()
		time.Sleep(8 * time.Second)
		h.cancel(0, "normal", "ks", overdue)
		time.Sleep(4 * time.Second)
		assert.Equal(t, h.phase("normal", "ks", overdue), "cancelled")
		runs := 0
		for _, r := range h.workers.Runs() {
			if r.Task.Job == overdue && r.Outcome == graph.Done {
				runs++
			}
		}
		// The four workers run 32 of its tasks, of 6 s each, at a time.
		assert.Assert(t, runs >= 32, "%d runs of the overdue job in 20 s", runs)
		assert.DeepEqual(t, h.check(), []string(nil))
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, line := range h.logLines {
			assert.Assert(t, !strings.Contains(line, `"commitFailed"`), line)
		}
	})
}

// TestManyWideJobs guards against accepted jobs of thousands of tasks each that end each
// leader in turn, since every task that waits takes memory.
func TestManyWideJobs(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		for n := range 300 {
			h.submit(n, "normal", "ks", graph.ID(fmt.Sprintf("%016x", n)),
				graph.Step{Count: 9_000, Demand: gpu(1), Estimate: time.Second}, graph.Step{Count: 1_000, Demand: gpu(8), Gang: true, After: []int{0}})
		}
		for range 4 {
			time.Sleep(300 * time.Millisecond)
			checkHeap(t)
		}
	})
}

func checkHeap(t *testing.T) {
	t.Helper()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	assert.Assert(t, m.HeapAlloc < maxHeap, "%d MB in use", m.HeapAlloc>>20)
	t.Logf("%d MB in use", m.HeapAlloc>>20)
}

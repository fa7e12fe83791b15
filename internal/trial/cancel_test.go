package trial

import (
	"sync"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/accept"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"gotest.tools/v3/assert"
)

// TestLateSubmissionRuns guards against a job that runs after its caller was told, at its
// cancelling, that there is no such job: the store gives no answer for a while and
// carries out the submission afterwards.
func TestLateSubmissionRuns(t *testing.T) {
	const late, repeated, accepted graph.ID = "1111111111111111", "2222222222222222", "3333333333333333"
	runHarness(t, func(h *harness) {
		step := graph.Step{Count: 1, Demand: gpu(1), Estimate: time.Second}
		time.Sleep(2 * time.Second)
		h.submit(0, "normal", "ks", accepted, step)
		h.table.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: 6 * time.Second})
		var submissions sync.WaitGroup
		for _, id := range []graph.ID{late, repeated} {
			submissions.Go(func() { h.submit(0, "normal", "ks", id, step) })
		}
		time.Sleep(2300 * time.Millisecond)
		h.table.Faults.Clear()
		h.cancel(1, "normal", "ks", late)
		h.cancel(1, "normal", "ks", repeated)
		assert.Equal(t, len(h.unknownAt), 2)
		submissions.Wait()
		h.submit(2, "normal", "ks", repeated, step)
		assert.Equal(t, h.submitOutcomes[repeated], accept.Refused)
		time.Sleep(20 * time.Second)
		assert.Equal(t, h.phase("normal", "ks", late), "noJob")
		assert.Equal(t, h.phase("normal", "ks", repeated), "noJob")
		assert.Equal(t, h.phase("normal", "ks", accepted), "completed")
		assert.DeepEqual(t, h.check(), []string(nil))
		for _, r := range h.workers.Runs() {
			assert.Equal(t, r.Task.Job, accepted)
		}
	})
}

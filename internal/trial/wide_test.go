package trial

import (
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"gotest.tools/v3/assert"
)

// TestWideJob guards against a job with so many tasks that its progress row is
// larger than the store accepts. The failed write would end the term, and each
// term after it.
func TestWideJob(t *testing.T) {
	const job graph.ID = "1212121212121212"
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		// Tasks without a demand all run at the same time.
		h.submit(0, "normal", "ks", job, graph.Step{Count: 1500, Estimate: time.Second})
		time.Sleep(12 * time.Second)
		terms := 0
		h.mu.Lock()
		for _, l := range h.logLines {
			if strings.Contains(l, `"termBegun"`) {
				terms++
			}
		}
		h.mu.Unlock()
		assert.Equal(t, terms, 1)
		assert.Equal(t, h.phase("normal", "ks", job), "completed")
	})
}

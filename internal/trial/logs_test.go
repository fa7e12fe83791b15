package trial

import (
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"gotest.tools/v3/golden"
)

// eventLines returns the log lines of the given events so far, sorted. A line
// starts with its time, so that only lines of the same instant, which goroutines
// write in any order, change places.
func (h *harness) eventLines(events ...string) string {
	wanted := regexp.MustCompile(`"msg"="(` + strings.Join(events, "|") + `)"`)
	h.mu.Lock()
	defer h.mu.Unlock()
	var lines []string
	for _, l := range h.logLines {
		if wanted.MatchString(l) {
			lines = append(lines, l+"\n")
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// TestShownPhaseLogged guards against logs that do not show whether the end of a
// job was stored, and acknowledged to its worker, when callers were told of it.
func TestShownPhaseLogged(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		go h.submit(0, "urgent", "kn", urgentJob, graph.Step{Count: 1, Demand: gpu(8), Estimate: time.Second})
		time.Sleep(500 * time.Millisecond)
		h.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
		time.Sleep(3 * time.Second)
		h.table.Faults.Clear()
		time.Sleep(2 * time.Second)
		golden.Assert(t, h.eventLines("termBegun", "tableRead", "taskEnded", "jobShown", "jobOver", "endsAcked"), "shown.golden")
	})
}

package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"gotest.tools/v3/golden"
)

// TestFailureTracker guards against workers that are quarantined because of a
// faulty job, and against a faulty worker that is treated as healthy after its
// quarantine.
func TestFailureTracker(t *testing.T) {
	start := time.Unix(0, 0)
	now := start
	tracker := NewFailureTracker()
	var out strings.Builder
	logStep := func(step string) {
		fmt.Fprintf(&out, "%8v %-24s quarantined %v\n", now.Sub(start), step, tracker.IsQuarantined("w1", now))
	}
	fail := func(j ident.Job) {
		tracker.Failed("w1", j, now)
		logStep("job " + string(j) + " failed")
	}
	for range 4 {
		fail("a")
	}
	fail("b")
	tracker.ForgetJob("a")
	logStep("job a is faulty")
	fail("c")
	tracker.Succeeded("w1")
	logStep("job d was done")
	fail("e")
	fail("f")
	fail("g")
	now = now.Add(minQuarantine)
	logStep("quarantine ended")
	fail("h")
	now = now.Add(minQuarantine)
	logStep("10 minutes passed again")
	now = now.Add(minQuarantine)
	tracker.Succeeded("w1")
	logStep("job i was done")
	fail("j")
	golden.Assert(t, out.String(), "tracker.golden")
}

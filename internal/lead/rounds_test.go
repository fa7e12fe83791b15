package lead

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"
)

// TestRounds guards against a leader that only decides while hundreds of units
// wait in a full site, so that its renewals and reports are late, and against
// one that makes the same decision again although nothing has changed.
func TestRounds(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name string
		took time.Duration
		// changes is the time between two changes, 0 for none.
		changes time.Duration
	}{
		{"nothing changes", time.Millisecond, 0},
		{"changes on a calm day", time.Millisecond, 10 * time.Millisecond},
		{"changes while decisions take long", 30 * time.Millisecond, 10 * time.Millisecond},
	} {
		var r rounds
		decisions, now := 0, time.Unix(0, 0)
		begun, deciding := now, time.Duration(0)
		for i := 0; now.Sub(begun) < 3*time.Second; i++ {
			if c.changes > 0 && i%int(c.changes/time.Millisecond) == 0 {
				r.changed = true
			}
			if r.due(now) {
				decisions++
				deciding += c.took
				r.changed = false
				r.done(now, now.Add(c.took))
				now = now.Add(c.took)
			}
			now = now.Add(time.Millisecond)
		}
		fmt.Fprintf(&b, "%s: %d decisions in 3 s, %d%% of the time\n", c.name, decisions, 100*deciding/now.Sub(begun))
	}
	golden.Assert(t, b.String(), "rounds.golden")
}

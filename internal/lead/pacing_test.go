package lead

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"
)

// TestDecisionPacing guards against a leader that makes one decision after another
// while hundreds of units wait in a full site, so that lease renewals and reports
// are late. It also guards against repeated decisions while nothing has changed.
func TestDecisionPacing(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name string
		took time.Duration
		// changes is the interval of changes, 0 for no changes.
		changes time.Duration
	}{
		{"nothing changes", time.Millisecond, 0},
		{"changes while decisions are short", time.Millisecond, 10 * time.Millisecond},
		{"changes while decisions are long", 30 * time.Millisecond, 10 * time.Millisecond},
	} {
		var p pacer
		decisions, now := 0, time.Unix(0, 0)
		begun, deciding := now, time.Duration(0)
		for i := 0; now.Sub(begun) < 3*time.Second; i++ {
			if c.changes > 0 && i%int(c.changes/time.Millisecond) == 0 {
				p.changed = true
			}
			if p.due(now) {
				decisions++
				deciding += c.took
				p.changed = false
				p.done(now, now.Add(c.took))
				now = now.Add(c.took)
			}
			now = now.Add(time.Millisecond)
		}
		fmt.Fprintf(&b, "%s: %d decisions in 3 s, %d%% of the time\n", c.name, decisions, 100*deciding/now.Sub(begun))
	}
	golden.Assert(t, b.String(), "pacing.golden")
}

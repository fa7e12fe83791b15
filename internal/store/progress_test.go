package store

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestAnswerTimeout guards against answers that are cut off while they arrive, and
// against calls that never end.
func TestAnswerTimeout(t *testing.T) {
	limits := AnswerTimeout{First: time.Second, Stall: 300 * time.Millisecond, Transfer: 2 * time.Second}
	var b strings.Builder
	for _, c := range []struct {
		first, pause time.Duration
		parts        int
	}{
		{2 * time.Second, 0, 1}, {900 * time.Millisecond, 200 * time.Millisecond, 5}, {0, 400 * time.Millisecond, 5},
		{900 * time.Millisecond, 200 * time.Millisecond, 50},
	} {
		synctest.Test(t, func(t *testing.T) {
			outer := 0
			ctx, cancel := limits.Context(WithProgress(t.Context(), func() { outer++ }))
			defer cancel()
			start, pause := time.Now(), c.first
			for i := 0; i < c.parts && ctx.Err() == nil; i++ {
				select {
				case <-ctx.Done():
				case <-time.After(pause):
					ReportProgress(ctx)
				}
				pause = c.pause
			}
			fmt.Fprintf(&b, "%d parts from %v on, one each %v: %d seen, cause %v after %v\n",
				c.parts, c.first, c.pause, outer, context.Cause(ctx), time.Since(start))
			cancel()
			assert.ErrorIs(t, ctx.Err(), context.Canceled)
		})
	}
	golden.Assert(t, b.String(), "timeout.golden")
}

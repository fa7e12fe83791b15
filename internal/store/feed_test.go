package store_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/store"
	"gotest.tools/v3/golden"
)

// TestCompacted checks that a follower pauses between snapshots while the store keeps
// dropping its history and its reads are stale, instead of reading the whole table
// in a loop, and that it does not pause after a history that was dropped once.
func TestCompacted(t *testing.T) {
	const (
		callTime = 4 * time.Millisecond
		// minMeanPause is the shortest mean pause of a follower.
		minMeanPause = 150 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		var b strings.Builder
		for _, c := range []struct {
			name string
			// compactedFor is the time during which waits fail with ErrCompacted.
			compactedFor time.Duration
		}{{"never dropped", 0}, {"dropped once", 5 * time.Millisecond}, {"dropped for 10 s", 10 * time.Second}} {
			start, reads, waits := time.Now(), 0, 0
			var last time.Duration
			f := store.Follower{
				Table: "t", MaxWait: time.Second, OnResult: func(error) {},
				Apply: func(store.Changes, bool) { last = time.Since(start) },
				Feed: store.Feed{
					Read: func(context.Context, string) (store.Changes, error) {
						time.Sleep(callTime)
						reads++
						return store.Changes{Version: 1}, nil
					},
					Wait: func(_ context.Context, _ string, _ int64, maxWait time.Duration) (store.Changes, error) {
						if time.Since(start) < c.compactedFor {
							time.Sleep(callTime)
							return store.Changes{}, store.ErrCompacted
						}
						time.Sleep(maxWait)
						waits++
						return store.Changes{Version: 1}, nil
					},
				},
			}
			ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
			f.Run(ctx)
			cancel()
			// The pauses between reads are random within bounds.
			maxReads := 2 + int(c.compactedFor/minMeanPause)
			fmt.Fprintf(&b, "%s: at most %d reads %v, %d waits, last read in second %d\n",
				c.name, maxReads, reads <= maxReads, waits, last/time.Second)
		}
		golden.Assert(t, b.String(), "compacted.golden")
	})
}

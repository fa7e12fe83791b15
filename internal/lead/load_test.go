package lead

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// TestLargeTableReadAgain guards against a leader that never leads because a table is
// read page by page for longer than one read may take, and begins again each time.
func TestLargeTableReadAgain(t *testing.T) {
	const pages, pageTime = 20, 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		reads := 0
		leader := &term{Scheduler: New(Deps{Log: event.New(logr.Discard()), Feed: store.Feed{
			Read: func(ctx context.Context, _ string) (store.Changes, error) {
				reads++
				for range pages {
					select {
					case <-ctx.Done():
						return store.Changes{}, store.ErrUnavailable
					case <-time.After(pageTime):
						store.ReportProgress(ctx)
					}
				}
				return store.Changes{Version: 1}, nil
			},
		}})}
		ctx, cancel := context.WithTimeout(t.Context(), 2*pages*pageTime)
		defer cancel()
		_, err := leader.readTable(ctx, ledger.JobTable, func() int64 { return 1 })
		assert.NilError(t, err)
		assert.Equal(t, reads, 1)
	})
}

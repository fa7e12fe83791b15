package roster_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/roster"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/assert"
)

// TestIncompleteList guards against homes of guarantees that are computed from a
// list in which workers are missing for a moment.
func TestIncompleteList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := []worker.Spec{{ID: "w0", Domain: "ub1"}, {ID: "w1", Domain: "ub1"}, {ID: "w2", Domain: "ub2"}}
		listed := full
		r := roster.New(roster.Deps{Read: func(context.Context) (roster.Listing, error) {
			return roster.Listing{Workers: listed}, nil
		}})
		refreshAfter := func(d time.Duration) {
			time.Sleep(d)
			assert.NilError(t, r.Refresh(t.Context()))
		}
		refreshAfter(0)
		listed = full[:1]
		refreshAfter(3 * time.Second)
		assert.Equal(t, len(r.Workers("ub1")), 1)
		assert.Assert(t, slices.Equal(r.RecentWorkers(), full))
		listed = nil
		refreshAfter(10 * time.Second)
		assert.Assert(t, slices.Equal(r.RecentWorkers(), full))
		refreshAfter(time.Minute)
		assert.Equal(t, len(r.RecentWorkers()), 0)
	})
}

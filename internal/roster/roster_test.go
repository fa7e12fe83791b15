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

// TestShortList guards against homes of guarantees that are computed from a
// list which misses workers for a moment.
func TestShortList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := []worker.Spec{{ID: "w0", Domain: "ub1"}, {ID: "w1", Domain: "ub1"}, {ID: "w2", Domain: "ub2"}}
		listed := full
		r := roster.New(roster.Deps{Read: func(context.Context) (roster.Listing, error) {
			return roster.Listing{Workers: listed}, nil
		}})
		read := func(d time.Duration) {
			time.Sleep(d)
			assert.NilError(t, r.Refresh(t.Context()))
		}
		read(0)
		listed = full[:1]
		read(3 * time.Second)
		assert.Equal(t, len(r.Workers("ub1")), 1)
		assert.Assert(t, slices.Equal(r.AllWorkers(), full))
		listed = nil
		read(10 * time.Second)
		assert.Assert(t, slices.Equal(r.AllWorkers(), full))
		read(time.Minute)
		assert.Equal(t, len(r.AllWorkers()), 0)
	})
}

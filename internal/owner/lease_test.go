package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/assert"
)

// TestHigherEpoch guards against one worker that remembers a higher epoch than
// the lease, because it served another domain or the row was lost, and so keeps
// the owner of the whole domain from working.
func TestHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, 4)
		_, err := g.workers[3].Machine.Fence(worker.Fence{Header: worker.Header{Epoch: 1000}}, time.Now())
		assert.NilError(t, err)
		g.start("i1", 0)
		j := g.submit("a", 4, `{"runFor":"5s","result":"proof"}`)
		assert.Equal(t, g.wait(j.ID, 20*time.Second).State, jobs.Done)
		assert.Assert(t, g.takes() <= 2, "%d takes", g.takes())
	})
}

// TestStoreReturns guards against shards that change hands because the store
// was down: the owner could not renew then, and nobody else could see it.
func TestStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, 4)
		g.start("i1", 0)
		g.start("i2", 1)
		g.start("i3", 2)
		time.Sleep(5 * time.Second)
		for range 10 {
			g.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
			time.Sleep(20*time.Second + 130*time.Millisecond)
			g.table.Faults.Clear()
			time.Sleep(10 * time.Second)
		}
		assert.Equal(t, g.takes(), 1, "the shard changed hands")
	})
}

// TestUnreadableRow guards against one row that cannot be read, for example of
// a later version of the program, and stops its whole shard.
func TestUnreadableRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, 4)
		_, err := g.table.Store().Commit(t.Context(), store.Txn{Puts: []store.Put{
			{Key: record.JobKey(workspace, "odd"), Value: []byte(`{"state":"paused"}`)},
			{Key: record.QueueKey(domain, workspace, "odd")},
			{Key: record.QueueHeadKey(domain)},
		}})
		assert.NilError(t, err)
		g.start("i1", 0)
		j := g.submit("a", 3, `{"runFor":"5s","result":"proof"}`)
		assert.Equal(t, g.wait(j.ID, 20*time.Second).State, jobs.Done)
	})
}

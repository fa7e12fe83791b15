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

// TestHigherEpoch guards against a single worker that blocks the owner of the
// whole domain because it has accepted a higher epoch than that of the lease. A
// worker has such an epoch if it served another domain before or if the lease
// row was lost.
func TestHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		_, err := f.workers[3].Simulator.Fence(worker.Fence{Header: worker.Header{Epoch: 1000}}, time.Now())
		assert.NilError(t, err)
		f.startInstance("i1", 0)
		j := f.submitJob("a", 4, `{"runFor":"5s","result":"proof"}`)
		assert.Equal(t, f.waitForJob(j.ID, 20*time.Second).State, jobs.Done)
		assert.Assert(t, f.leaseAcquisitions() <= 2, "lease acquired %d times", f.leaseAcquisitions())
	})
}

// TestStoreReturns guards against a change of owner after a store outage. While
// the store is down, the owner cannot renew its lease, and the other instances
// cannot read it, so the missing renewals must not count against the owner.
func TestStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		f.startInstance("i1", 0)
		f.startInstance("i2", 1)
		f.startInstance("i3", 2)
		time.Sleep(5 * time.Second)
		for range 10 {
			f.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
			time.Sleep(20*time.Second + 130*time.Millisecond)
			f.table.Faults.Clear()
			time.Sleep(10 * time.Second)
		}
		assert.Equal(t, f.leaseAcquisitions(), 1, "the shard changed its owner")
	})
}

// TestUnreadableRow guards against a single job row that stops the whole shard
// because it cannot be decoded. A row can be unreadable if a later version of the
// program wrote it.
func TestUnreadableRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		_, err := f.table.Store().Commit(t.Context(), store.Txn{Puts: []store.Put{
			{Key: record.JobKey(workspace, "odd"), Value: []byte(`{"state":"paused"}`)},
			{Key: record.QueueKey(domain, workspace, "odd")},
			{Key: record.QueueHeadKey(domain)},
		}})
		assert.NilError(t, err)
		f.startInstance("i1", 0)
		j := f.submitJob("a", 3, `{"runFor":"5s","result":"proof"}`)
		assert.Equal(t, f.waitForJob(j.ID, 20*time.Second).State, jobs.Done)
	})
}

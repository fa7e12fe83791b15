package owner_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/assert"
)

// leaseAcquisitions returns how often an instance acquired the lease of the
// domain.
func (f *fixture) leaseAcquisitions() int {
	n := 0
	for _, c := range f.table.Log() {
		if c.Key == record.LeaseKey(domain) {
			n++
		}
	}
	return n
}

// takeOutOfService takes the domain out of service.
func (f *fixture) takeOutOfService() {
	next := *f.configs.Current()
	next.Domains = append(next.Domains[:0:0], next.Domains...)
	next.Domains[0].InService = false
	_, err := f.configs.Apply(f.t.Context(), next.Version, &next)
	assert.NilError(f.t, err)
}

// submitAndCancel submits n jobs that have to wait, cancels them concurrently
// while the store is slow, and waits until all of them are cancelled.
func (f *fixture) submitAndCancel(n int, members int) {
	var ids []ident.Job
	for i := range n {
		ids = append(ids, f.submitJob(ident.Request(fmt.Sprintf("wave%d", i)), members, `{"runFor":"1h"}`).ID)
	}
	time.Sleep(5 * time.Second)
	f.table.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: 200 * time.Millisecond})
	var calls sync.WaitGroup
	for _, id := range ids {
		calls.Go(func() {
			_, err := f.intake.Cancel(f.t.Context(), workspace, id)
			assert.Check(f.t, err)
		})
	}
	calls.Wait()
	for _, id := range ids {
		assert.Equal(f.t, f.waitForJob(id, 5*time.Minute).State, jobs.Cancelled)
	}
	f.table.Faults.Clear()
}

// TestLongRound guards against leases that expire because one filter of a round
// takes longer than they last. Without renewals in the meantime, the shard would
// change its owner and the tasks of running gangs would end.
func TestLongRound(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *fixture)
	}{
		{"objectStoreHangs", func(f *fixture) {
			f.objects.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: time.Hour})
			big := strings.Repeat("x", 5<<10)
			j := f.submitJob("big", 1, `{"runFor":"1s","result":"`+big+`"}`)
			time.Sleep(30 * time.Second)
			f.objects.Faults.Clear()
			j = f.waitForJob(j.ID, 30*time.Second)
			assert.Equal(f.t, j.State, jobs.Done)
			assert.Equal(f.t, string(j.Result), big)
		}},
		{"cancelWave", func(f *fixture) { f.submitAndCancel(1000, 4) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 4)
				f.startInstance("i1", 0)
				f.startInstance("i2", 1)
				j := f.submitJob("long", 3, `{"runFor":"10m","result":"proof"}`)
				time.Sleep(5 * time.Second)
				tc.run(f)
				j = f.waitForJob(j.ID, 15*time.Minute)
				assert.Equal(t, j.State, jobs.Done)
				assert.Equal(t, j.Attempt, 1, "the gang was taken down")
				assert.Equal(t, f.leaseAcquisitions(), 1, "the shard changed its owner")
			})
		})
	}
}

// TestSlowCheckpoint guards against leases that expire during a reclaim because
// its checkpoints take longer than they last. The shard would lose its owner,
// and the other gangs would end.
func TestSlowCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		f.wrapAgent = func(a worker.Agent) worker.Agent {
			a.Checkpoint = func(ctx context.Context, _ worker.Checkpoint) error {
				<-ctx.Done()
				return ctx.Err()
			}
			return a
		}
		f.startInstance("i1", 0)
		f.startInstance("i2", 1)
		j := f.submitJob("long", 3, `{"runFor":"10m"}`)
		time.Sleep(5 * time.Second)
		f.takeOutOfService()
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.waitForJob(j.ID, 0).State, jobs.Pending)
		assert.Equal(t, f.leaseAcquisitions(), 1, "the shard changed its owner")
	})
}

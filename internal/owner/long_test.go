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

// takes returns how often the lease of the domain was taken.
func (g *rig) takes() int {
	n := 0
	for _, c := range g.table.Log() {
		if c.Key == record.LeaseKey(domain) {
			n++
		}
	}
	return n
}

// outOfService takes the domain out of service.
func (g *rig) outOfService() {
	next := *g.site.Current()
	next.Domains = append(next.Domains[:0:0], next.Domains...)
	next.Domains[0].InService = false
	_, err := g.site.Apply(g.t.Context(), next.Version, &next)
	assert.NilError(g.t, err)
}

// cancelMany submits n jobs that wait and cancels them at once.
func (g *rig) cancelMany(n int, members int) {
	var ids []ident.Job
	for i := range n {
		ids = append(ids, g.submit(ident.Request(fmt.Sprintf("wave%d", i)), members, `{"runFor":"1h"}`).ID)
	}
	time.Sleep(5 * time.Second)
	g.table.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: 200 * time.Millisecond})
	var calls sync.WaitGroup
	for _, id := range ids {
		calls.Go(func() {
			_, err := g.intake.Cancel(g.t.Context(), workspace, id)
			assert.Check(g.t, err)
		})
	}
	calls.Wait()
	for _, id := range ids {
		assert.Equal(g.t, g.wait(id, 5*time.Minute).State, jobs.Cancelled)
	}
	g.table.Faults.Clear()
}

// TestLongRound makes one step of a round take longer than the leases. Each
// case guards against an owner that stops renewing meanwhile, so that the shard
// changes hands and the tasks of running gangs end.
func TestLongRound(t *testing.T) {
	tests := []struct {
		name string
		run  func(g *rig)
	}{
		{"objectStoreHangs", func(g *rig) {
			g.objects.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: time.Hour})
			big := strings.Repeat("x", 5<<10)
			j := g.submit("big", 1, `{"runFor":"1s","result":"`+big+`"}`)
			time.Sleep(30 * time.Second)
			g.objects.Faults.Clear()
			j = g.wait(j.ID, 30*time.Second)
			assert.Equal(g.t, j.State, jobs.Done)
			assert.Equal(g.t, string(j.Result), big)
		}},
		{"cancelWave", func(g *rig) { g.cancelMany(1000, 4) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newRig(t, 4)
				g.start("i1", 0)
				g.start("i2", 1)
				j := g.submit("long", 3, `{"runFor":"10m","result":"proof"}`)
				time.Sleep(5 * time.Second)
				tc.run(g)
				j = g.wait(j.ID, 15*time.Minute)
				assert.Equal(t, j.State, jobs.Done)
				assert.Equal(t, j.Attempt, 1, "the gang was taken down")
				assert.Equal(t, g.takes(), 1, "the shard changed hands")
			})
		})
	}
}

// TestSlowCheckpoint guards against a reclaim whose checkpoints take longer
// than the leases and so costs the shard its owner and the other gangs.
func TestSlowCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, 4)
		g.wrap = func(a worker.Agent) worker.Agent {
			a.Checkpoint = func(ctx context.Context, _ worker.Checkpoint) error {
				<-ctx.Done()
				return ctx.Err()
			}
			return a
		}
		g.start("i1", 0)
		g.start("i2", 1)
		j := g.submit("long", 3, `{"runFor":"10m"}`)
		time.Sleep(5 * time.Second)
		g.outOfService()
		time.Sleep(30 * time.Second)
		assert.Equal(t, g.wait(j.ID, 0).State, jobs.Pending)
		assert.Equal(t, g.takes(), 1, "the shard changed hands")
	})
}

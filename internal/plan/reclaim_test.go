package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// holds returns how many tasks of the request fit on the workers once the
// victims are gone, counted anew from the view.
func holds(req pool.Request, workers []*pool.Worker, gone []*Placed) int {
	n := 0
	for _, w := range workers {
		if !w.Usable(&req) {
			continue
		}
		room := w.FreeSoon()
		for _, p := range gone {
			for _, on := range p.Workers {
				if on == w {
					room = room.Plus(p.Unit.Spec().Room())
				}
			}
		}
		n += pool.Holds(room, req.Room)
	}
	return n
}

// TestVictims guards against a search that stops units which may not be
// stopped, too few, or more than are needed. The room is counted anew, without
// the sums that the search keeps.
func TestVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &View{Pool: racks(), Guarantees: map[string]int64{"a": 16, "b": 8}}
		ids := []pool.WorkerID{"w00", "w01", "w10", "w11"}
		for i := range rapid.IntRange(0, 16).Draw(t, "running") {
			d := gpus(rapid.Int64Range(1, 4).Draw(t, "room"))
			on := []pool.WorkerID{rapid.SampledFrom(ids).Draw(t, "on"), rapid.SampledFrom(ids).Draw(t, "and")}
			u := unit(fmt.Sprintf("r%d", i), "b", rapid.IntRange(0, 2).Draw(t, "priority"), 0, gang(2, d))
			if !d.Fits(v.Pool.Worker(on[0]).Free()) || !d.Times(2).Fits(v.Pool.Worker(on[1]).Free()) {
				continue
			}
			running(v, u, time.Duration(rapid.IntRange(0, 9).Draw(t, "age"))*time.Second, on...)
		}
		s := gang(rapid.IntRange(1, 4).Draw(t, "count"), gpus(rapid.Int64Range(1, 8).Draw(t, "need")))
		u := unit("u", "a", 0, 0, s)
		r := newRound(Default(), noon, v)
		var all []*pool.Worker
		v.Pool.Each(func(w *pool.Worker) { all = append(all, w) })
		req := r.request(u)
		set, total := r.victims(u, req, all)
		sum := 0.0
		for i, p := range set {
			assert.Assert(t, r.mayStop(p, u), "%s may not be stopped", p.Unit.Progress.Job.ID)
			sum += r.Lost(noon, p)
			rest := append(append([]*Placed(nil), set[:i]...), set[i+1:]...)
			assert.Assert(t, holds(req, all, rest) < req.Count, "%s need not be stopped", p.Unit.Progress.Job.ID)
		}
		assert.Assert(t, sum-total < 1e-6 && total-sum < 1e-6, "lost %v, said %v", sum, total)
		if set != nil {
			assert.Assert(t, holds(req, all, set) >= req.Count, "too few are stopped")
			return
		}
		var may []*Placed
		for _, p := range v.Placed {
			if r.mayStop(p, u) {
				may = append(may, p)
			}
		}
		before := holds(req, all, nil) >= req.Count
		assert.Assert(t, before || holds(req, all, may) < req.Count, "a set exists and was not found")
	})
}

// BenchmarkVictims measures the search of one urgent unit that fits nowhere, in
// a site of 350 workers with 2,000 units.
func BenchmarkVictims(b *testing.B) {
	v := fullSite(44)
	u := unit("u", "a", 0, 0, graph.Step{Count: 500, Demand: gpus(8), Gang: true, SameRack: true, Estimate: time.Second})
	for b.Loop() {
		r := newRound(Default(), noon, v)
		r.cheapest(u, r.request(u))
	}
}

package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
)

// This file answers urgent jobs that come to a full site: which placed units
// make room for them.

const (
	// reload is the time that a task needs to resume from a checkpoint; the
	// users' pages give 0.1 and 0.6 s.
	reload = 600 * time.Millisecond
	// maxMoves is how often a unit is stopped for others before it is left
	// alone.
	maxMoves = 2
)

type (
	// victim is a placed unit as a search for victims sees it.
	victim struct {
		*Placed
		// number is its place in the view, which decides between equals.
		number int
		// lost is the work that its stop throws away, in core-seconds.
		lost float64
		// search is the last search that met it, in which here of its tasks run
		// on the ground, and cost is the work lost for each accelerator freed.
		search int
		here   int
		cost   float64
	}

	// ground is a set of workers on which room is made.
	ground struct {
		req   pool.Request
		plots []plot
		at    map[*pool.Worker]int
		// holds is how many tasks of the request fit.
		holds int
	}

	// plot is a worker of a ground and its room with the victims so far gone.
	plot struct {
		w     *pool.Worker
		room  graph.Demand
		holds int
	}
)

// reclaim stops the units that lose the least work so that u has room, and
// reports whether u is placed.
func (r *round) reclaim(u graph.Unit, req pool.Request) bool {
	for _, p := range r.cheapest(u, req) {
		r.stop(p, u)
	}
	chosen, near := r.Pool.Choose(req)
	if chosen == nil {
		return false
	}
	r.start(u, chosen, near, "reclaim")
	return true
}

func (r *round) stop(p *Placed, u graph.Unit) {
	p.Stopping = true
	room := p.Unit.Spec().Room()
	for _, w := range p.Workers {
		if p.Since.IsZero() {
			w.Reserved = w.Reserved.Minus(room)
			continue
		}
		w.Leaving = w.Leaving.Plus(room)
	}
	if Urgent(p.Unit.Progress.Job) {
		r.used[p.Unit.Progress.Job.Workspace] -= accelerators(p.Unit)
	}
	r.decision.Stops = append(r.decision.Stops, Stop{Placed: p, For: u})
}

// cheapest returns the set of victims with the least lost work among the
// racks, the data's rack preferred, or nil.
func (r *round) cheapest(u graph.Unit, req pool.Request) []*Placed {
	var best []*Placed
	var least float64
	consider := func(workers []*pool.Worker, factor float64) {
		set, cost := r.victims(u, req, workers)
		if set != nil && (best == nil || cost*factor < least) {
			best, least = set, cost*factor
		}
	}
	for _, name := range r.Pool.Racks() {
		factor := 1.0
		if req.DataRack != "" && name != req.DataRack {
			if req.NearOnly {
				continue
			}
			// Away from the data the unit holds its room three times as long.
			factor = farFactor
		}
		consider(r.Pool.Rack(name), factor)
	}
	if best == nil && !req.NearOnly {
		var all []*pool.Worker
		r.Pool.Each(func(w *pool.Worker) { all = append(all, w) })
		consider(all, 1)
	}
	return best
}

// victims returns units on the workers, cheapest first, whose stop makes room
// for the request there, and the work that their stops lose.
func (r *round) victims(u graph.Unit, req pool.Request, workers []*pool.Worker) ([]*Placed, float64) {
	g := newGround(req, workers)
	var set []*victim
	total := 0.0
	for _, v := range r.candidates(u, g) {
		if g.fits() {
			break
		}
		g.free(v, 1)
		set = append(set, v)
		total += v.lost
	}
	if len(set) == 0 || !g.fits() {
		return nil, 0
	}
	// Leave out victims that are not needed, the most expensive first.
	kept := make([]*Placed, 0, len(set))
	for _, v := range slices.Backward(set) {
		g.free(v, -1)
		if g.fits() {
			total -= v.lost
			continue
		}
		g.free(v, 1)
		kept = append(kept, v.Placed)
	}
	slices.Reverse(kept)
	return kept, total
}

// candidates returns what may be stopped for u on the ground, in the order of
// lost work by accelerator freed there.
func (r *round) candidates(u graph.Unit, g *ground) []*victim {
	r.index()
	r.searches++
	var list []*victim
	for i := range g.plots {
		for _, v := range r.byWorker[g.plots[i].w] {
			if v.search != r.searches {
				v.search, v.here = r.searches, 0
				if v.Stopping || !r.mayStop(v.Placed, u) {
					v.here = -len(v.Workers) - 1
					continue
				}
				list = append(list, v)
			}
			v.here++
		}
	}
	for _, v := range list {
		v.cost = (1 + v.lost) / (weight(v.Unit.Spec().Room()) * float64(v.here))
	}
	slices.SortFunc(list, func(a, b *victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.number, b.number))
	})
	return list
}

// index notes which units are on each worker.
func (r *round) index() {
	if r.byWorker != nil {
		return
	}
	r.byWorker = make(map[*pool.Worker][]*victim, r.Pool.Len())
	for i, p := range r.Placed {
		v := &victim{Placed: p, number: i, lost: r.Lost(r.now, p)}
		for _, w := range p.Workers {
			r.byWorker[w] = append(r.byWorker[w], v)
		}
	}
}

// newGround returns the workers that can take tasks of the request, with the
// room that will be free there.
func newGround(req pool.Request, workers []*pool.Worker) *ground {
	g := &ground{req: req, at: make(map[*pool.Worker]int, len(workers))}
	for _, w := range workers {
		if !w.Usable(&req) {
			continue
		}
		g.at[w] = len(g.plots)
		g.plots = append(g.plots, plot{w: w, room: w.FreeSoon()})
		g.count(len(g.plots) - 1)
	}
	return g
}

// fits reports whether the request fits on the ground.
func (g *ground) fits() bool { return g.holds >= g.req.Count }

// free adds the room of a victim, or takes it away with a negative sign.
func (g *ground) free(v *victim, sign int) {
	room := v.Unit.Spec().Room().Times(sign)
	for _, w := range v.Workers {
		if i, ok := g.at[w]; ok {
			g.plots[i].room = g.plots[i].room.Plus(room)
			g.count(i)
		}
	}
}

// count updates how many tasks fit on a plot.
func (g *ground) count(i int) {
	p := &g.plots[i]
	n := pool.Holds(p.room, g.req.Room)
	if g.req.MaxPerWorker > 0 {
		n = min(n, g.req.MaxPerWorker-g.req.Present[p.w.ID])
	}
	g.holds += n - p.holds
	p.holds = n
}

// mayStop reports whether p may be stopped for u. Tasks that serve their own
// users, of which only a few may be away, are not stopped for others.
func (r *round) mayStop(p *Placed, u graph.Unit) bool {
	victim := p.Unit.Progress.Job
	if s := p.Unit.Spec(); s.LongRunning && s.MayMiss > 0 {
		return false
	}
	if !Urgent(victim) {
		return p.Moves <= maxMoves || r.within(u)
	}
	return victim.Workspace != u.Progress.Job.Workspace && r.within(u) &&
		r.used[victim.Workspace] > r.Guarantees[victim.Workspace]
}

// within reports whether u's workspace stays in its guarantee with u.
func (r *round) within(u graph.Unit) bool {
	w := u.Progress.Job.Workspace
	return r.used[w]+accelerators(u) <= r.Guarantees[w]
}

// Lost returns the work in core-seconds that a stop of p throws away. A stop
// saves the progress of tasks that make checkpoints, which then lose the time
// of loading it.
func Lost(now time.Time, p *Placed) float64 {
	if p.Since.IsZero() {
		return 0
	}
	ran := now.Sub(p.Since)
	if p.Unit.Spec().Checkpoints {
		ran = min(ran, reload)
	}
	return ran.Seconds() * weight(p.Unit.Spec().Demand) * float64(len(p.Unit.Members))
}

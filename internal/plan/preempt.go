package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
)

// An urgent unit that does not fit preempts placed units.

const (
	// checkpointLoadTime is the time that a task takes to resume from a
	// checkpoint. The user documentation gives 0.1 s and 0.6 s; the longer one
	// is used.
	checkpointLoadTime = 600 * time.Millisecond
	// maxPreemptions is the number of preemptions of a step beyond which its
	// units, unless urgent, are stopped only for units within their workspace's
	// guarantee.
	maxPreemptions = 2
)

type (
	// victim is a placed unit in the search for units to preempt.
	victim struct {
		*Placement
		// index is the unit's index in the view, which breaks ties.
		index int
		// lostWork is the work in core-seconds that is lost when the unit is
		// stopped.
		lostWork float64
		// lastSearch is the number of the last search that visited the unit.
		// The two fields after it belong to that search: tasksInSet is the
		// number of the unit's tasks on the worker set, and relativeCost the
		// lost work by the capacity that is made free there.
		lastSearch   int
		tasksInSet   int
		relativeCost float64
	}

	// workerSet is a set of workers on which capacity is made free for a
	// request.
	workerSet struct {
		req     pool.Request
		workers []workerCapacity
		indexOf map[*pool.Worker]int
		// capacity is the number of tasks of the request that fit on the set.
		capacity int
	}

	// workerCapacity is a worker of a set, with the capacity that is free once
	// the victims chosen so far have stopped.
	workerCapacity struct {
		worker *pool.Worker
		free   graph.Demand
		// capacity is the number of tasks of the request that fit on the worker.
		capacity int
	}
)

// preempt stops the units that lose the least work so that u fits, and reports
// whether u is placed.
func (r *round) preempt(u graph.Unit, req pool.Request) bool {
	for _, p := range r.cheapestVictims(u, req) {
		r.recordStop(p, u)
	}
	chosen, near := r.Pool.Choose(req)
	if chosen == nil {
		return false
	}
	r.start(u, chosen, near, "reclaim")
	return true
}

func (r *round) recordStop(p *Placement, u graph.Unit) {
	p.Stopping = true
	r.countStop(p)
	demand := p.Unit.Spec().Footprint()
	for _, w := range p.Workers {
		if p.Since.IsZero() {
			w.Reserved = w.Reserved.Minus(demand)
			continue
		}
		w.Stopping = w.Stopping.Plus(demand)
	}
	if Urgent(p.Unit.Progress.Job) {
		r.urgentUsed[p.Unit.Progress.Job.Workspace] -= accelerators(p.Unit)
	}
	r.decision.Stops = append(r.decision.Stops, Stop{Placement: p, For: u})
}

// cheapestVictims returns, over all racks, the victims on one rack that lose
// the least work, with a preference for the rack of the data. If no rack
// suffices and u need not run near its data, it looks for victims on all
// workers. It returns nil if none are found.
func (r *round) cheapestVictims(u graph.Unit, req pool.Request) []*Placement {
	var best []*Placement
	var least float64
	evaluate := func(workers []*pool.Worker, factor float64) {
		found, cost := r.victims(u, req, workers)
		if found != nil && (best == nil || cost*factor < least) {
			best, least = found, cost*factor
		}
	}
	for _, name := range r.Pool.Racks() {
		factor := 1.0
		if req.DataRack != "" && name != req.DataRack {
			if req.LocalOnly {
				continue
			}
			// Away from its data the unit occupies its workers three times as
			// long.
			factor = graph.FarFactor
		}
		evaluate(r.Pool.Rack(name), factor)
	}
	if best == nil && !req.LocalOnly {
		var all []*pool.Worker
		r.Pool.Each(func(w *pool.Worker) { all = append(all, w) })
		evaluate(all, 1)
	}
	return best
}

// victims returns units on the workers, those with the lowest relative cost
// first, whose stop makes enough capacity free for the request there, and the
// work that is lost.
func (r *round) victims(u graph.Unit, req pool.Request, workers []*pool.Worker) ([]*Placement, float64) {
	set := newWorkerSet(req, workers)
	var chosen []*victim
	total := 0.0
	for _, v := range r.candidates(u, set) {
		if set.fits() {
			break
		}
		set.addCapacity(v, 1)
		chosen = append(chosen, v)
		total += v.lostWork
	}
	if len(chosen) == 0 || !set.fits() {
		return nil, 0
	}
	// Remove victims that are not needed, the most expensive first.
	necessary := make([]*Placement, 0, len(chosen))
	for _, v := range slices.Backward(chosen) {
		set.addCapacity(v, -1)
		if set.fits() {
			total -= v.lostWork
			continue
		}
		set.addCapacity(v, 1)
		necessary = append(necessary, v.Placement)
	}
	slices.Reverse(necessary)
	return necessary, total
}

// candidates returns the units on the set that may be preempted for u, sorted
// by relative cost.
func (r *round) candidates(u graph.Unit, set *workerSet) []*victim {
	r.indexVictims()
	r.searches++
	var list []*victim
	for i := range set.workers {
		for _, v := range r.victimsOn[set.workers[i].worker] {
			if v.lastSearch != r.searches {
				v.lastSearch, v.tasksInSet = r.searches, 0
				if v.Stopping || !r.mayPreempt(v.Placement, u) {
					// Not a candidate: the count remains negative.
					v.tasksInSet = -len(v.Workers) - 1
					continue
				}
				list = append(list, v)
			}
			v.tasksInSet++
		}
	}
	for _, v := range list {
		v.relativeCost = (1 + v.lostWork) / (weight(v.Unit.Spec().Footprint()) * float64(v.tasksInSet))
	}
	slices.SortFunc(list, func(a, b *victim) int {
		return cmp.Or(cmp.Compare(a.relativeCost, b.relativeCost), cmp.Compare(a.index, b.index))
	})
	return list
}

// indexVictims builds the lists of units by worker.
func (r *round) indexVictims() {
	if r.victimsOn != nil {
		return
	}
	r.victimsOn = make(map[*pool.Worker][]*victim, r.Pool.Len())
	for i, p := range r.Placements {
		v := &victim{Placement: p, index: i, lostWork: r.LostWork(r.now, r.View, p)}
		for _, w := range p.Workers {
			r.victimsOn[w] = append(r.victimsOn[w], v)
		}
	}
}

// newWorkerSet returns the workers that can run tasks of the request, with the
// capacity that is free there once all stopping tasks have ended.
func newWorkerSet(req pool.Request, workers []*pool.Worker) *workerSet {
	set := &workerSet{req: req, indexOf: make(map[*pool.Worker]int, len(workers))}
	for _, w := range workers {
		if !w.Usable(&req) {
			continue
		}
		set.indexOf[w] = len(set.workers)
		set.workers = append(set.workers, workerCapacity{worker: w, free: w.FreeSoon()})
		set.updateCapacity(len(set.workers) - 1)
	}
	return set
}

// fits reports whether the request fits on the set.
func (s *workerSet) fits() bool { return s.capacity >= s.req.Count }

// addCapacity adds the capacity of a victim's tasks, or subtracts it if sign is
// negative.
func (s *workerSet) addCapacity(v *victim, sign int) {
	demand := v.Unit.Spec().Footprint().Times(sign)
	for _, w := range v.Workers {
		if i, ok := s.indexOf[w]; ok {
			s.workers[i].free = s.workers[i].free.Plus(demand)
			s.updateCapacity(i)
		}
	}
}

// updateCapacity updates the number of tasks that fit on worker i of the set.
func (s *workerSet) updateCapacity(i int) {
	w := &s.workers[i]
	n := pool.TasksThatFit(w.free, s.req.TaskDemand)
	if s.req.MaxPerWorker > 0 {
		n = min(n, s.req.MaxPerWorker-s.req.TaskCounts[w.worker.ID])
	}
	s.capacity += n - w.capacity
	w.capacity = n
}

// mayPreempt reports whether p may be stopped for u. Long-running tasks of
// which only a limited number may be missing are never preempted, since they
// serve users of their own.
func (r *round) mayPreempt(p *Placement, u graph.Unit) bool {
	job := p.Unit.Progress.Job
	if r.onlyWorkspace != "" && job.Workspace != r.onlyWorkspace {
		return false
	}
	if s := p.Unit.Spec(); s.LongRunning && s.MayMiss > 0 {
		return false
	}
	if !Urgent(job) {
		return p.Preemptions <= maxPreemptions || r.withinGuarantee(u)
	}
	return job.Workspace != u.Progress.Job.Workspace && r.withinGuarantee(u) &&
		r.urgentUsed[job.Workspace] > r.Guarantees[job.Workspace]
}

// withinGuarantee reports whether u's workspace stays within its guarantee if u
// is placed.
func (r *round) withinGuarantee(u graph.Unit) bool {
	w := u.Progress.Job.Workspace
	return r.urgentUsed[w]+accelerators(u) <= r.Guarantees[w]
}

// LostWork returns the work in core-seconds that is lost when p is stopped.
// Tasks with checkpoints save their progress and lose only the time that
// loading it takes.
func LostWork(now time.Time, _ *View, p *Placement) float64 {
	if p.Since.IsZero() {
		return 0
	}
	ran := now.Sub(p.Since)
	if p.Unit.Spec().Checkpoints {
		ran = min(ran, checkpointLoadTime)
	}
	return ran.Seconds() * weight(p.Unit.Spec().Demand) * float64(len(p.Unit.Members))
}

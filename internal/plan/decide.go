package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
)

type (
	// Placed is a unit that has workers.
	Placed struct {
		Unit graph.Unit
		// Workers has one entry for each task that has not ended.
		Workers []*pool.Worker
		// Since is the instant at which its tasks were told to start, zero
		// while the unit waits for room.
		Since time.Time
		// Saved is the instant of the last checkpoint, zero for none.
		Saved time.Time
		// Stopping reports whether its tasks were told to stop.
		Stopping bool
		// Moves is how often the unit's step was stopped for others.
		Moves int
	}

	// View is what a decision is based on.
	View struct {
		Pool    *pool.Pool
		Waiting []graph.Unit
		Placed  []*Placed
		// Guarantees is the number of accelerators of each workspace.
		Guarantees map[string]int64
		// Avoid returns the workers on which the unit has failed.
		Avoid func(graph.Unit) map[pool.WorkerID]bool
		// Present returns how many tasks of the unit's step and occurrence
		// each worker has.
		Present func(graph.Unit) map[pool.WorkerID]int
	}

	// Start places a unit.
	Start struct {
		Unit    graph.Unit
		Workers []*pool.Worker
		// Near reports whether the tasks are near their data and together.
		Near bool
		// Reason tells why these workers.
		Reason string
	}

	// Stop ends a placed unit to make room.
	Stop struct {
		Placed *Placed
		// For is the unit that needs the room.
		For graph.Unit
	}

	// Decision is the outcome of a round. Waits counts the units that remain
	// by reason.
	Decision struct {
		Starts []Start
		Stops  []Stop
		Waits  map[string]int
	}

	// round is the state of one decision.
	round struct {
		*View
		now      time.Time
		used     map[string]int64
		decision Decision
		// full lists demands that did not fit in this round, so that equal
		// tasks are not tried again.
		full map[fullKey]bool
		// present counts the tasks of limited steps by worker, with those that
		// this round places.
		present map[fullKey]map[pool.WorkerID]int
	}

	fullKey struct {
		job        graph.ID
		occurrence int
		step       int
	}
)

const (
	// coresPerAccelerator weighs an accelerator against processor cores, as
	// the users' price of lost work does.
	coresPerAccelerator = 8
	// farFactor is how many times as long a task takes away from its data;
	// the users' pages give 3 on all sites.
	farFactor = 3
	// patience is the part of a unit's estimate for which it waits for room
	// near its data before it starts elsewhere.
	patience = 0.8
	// reload is the time that a task needs to resume from a checkpoint; the
	// users' pages give 0.1 and 0.6 s.
	reload = 600 * time.Millisecond
	// maxMoves is how often a unit is stopped for others before it is left
	// alone.
	maxMoves = 2
)

// Urgent reports whether the job may stop others.
func Urgent(j *graph.Job) bool { return j.Priority == 0 }

// Decide returns the starts and stops of one round and reserves the room of
// the starts in the pool.
func Decide(now time.Time, v *View) Decision {
	r := &round{View: v, now: now, used: v.urgentUse(), full: make(map[fullKey]bool), present: make(map[fullKey]map[pool.WorkerID]int)}
	r.decision.Waits = make(map[string]int)
	Order(now, v.Waiting)
	for _, u := range v.Waiting {
		key := keyOf(u)
		if r.full[key] {
			r.decision.Waits["room"]++
			continue
		}
		if reason := r.place(u); reason != "" {
			r.full[key] = true
			r.decision.Waits[reason]++
		}
	}
	return r.decision
}

// Order sorts units by what should start first.
func Order(now time.Time, units []graph.Unit) {
	type rank struct {
		urgent, late bool
		deadline     time.Time
	}
	ranks := make(map[fullKey]rank, len(units))
	of := func(u graph.Unit) rank {
		key := fullKey{job: u.Progress.Job.ID, occurrence: u.Occurrence}
		k, ok := ranks[key]
		if !ok {
			j := u.Progress.Job
			k = rank{urgent: Urgent(j), deadline: j.Deadline(u.Occurrence)}
			k.late = now.Add(u.Spec().Estimate).After(k.deadline)
			ranks[key] = k
		}
		return k
	}
	slices.SortStableFunc(units, func(a, b graph.Unit) int {
		ka, kb := of(a), of(b)
		switch {
		case ka.late != kb.late:
			return order(kb.late)
		case ka.urgent != kb.urgent:
			return order(ka.urgent)
		}
		return cmp.Or(
			cmp.Compare(a.Progress.Job.Priority, b.Progress.Job.Priority),
			ka.deadline.Compare(kb.deadline),
			cmp.Compare(a.Progress.Job.ID, b.Progress.Job.ID),
			cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step),
		)
	})
}

// order returns -1 if the first of two comes first, else 1.
func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

// urgentUse returns the accelerators that urgent jobs hold, by workspace.
func (v *View) urgentUse() map[string]int64 {
	used := make(map[string]int64)
	for _, p := range v.Placed {
		if !p.Stopping && Urgent(p.Unit.Progress.Job) {
			used[p.Unit.Progress.Job.Workspace] += accelerators(p.Unit)
		}
	}
	return used
}

func accelerators(u graph.Unit) int64 {
	return u.Spec().Demand.Accelerators * int64(len(u.Members))
}

// place starts u if there is room, or makes room for it. It returns why u
// waits, or an empty string.
func (r *round) place(u graph.Unit) string {
	req := r.request(u)
	req.NearOnly = r.waitsForData(u)
	if chosen, near := r.Pool.Choose(req); chosen != nil {
		r.start(u, chosen, near, "room")
		return ""
	}
	if !Urgent(u.Progress.Job) {
		return "room"
	}
	if r.claim(u, req) {
		return ""
	}
	if req.NearOnly {
		req.NearOnly = false
		if chosen, near := r.Pool.Choose(req); chosen != nil {
			r.start(u, chosen, near, "far")
			return ""
		}
		if r.claim(u, req) {
			return ""
		}
	}
	return "guarantee"
}

// claim places an urgent unit in room that is about to be free, or stops
// others for it, and reports whether it did.
func (r *round) claim(u graph.Unit, req pool.Request) bool {
	req.Free = (*pool.Worker).FreeSoon
	if chosen, near := r.Pool.Choose(req); chosen != nil {
		r.start(u, chosen, near, "leaving")
		return true
	}
	return r.reclaim(u, req)
}

// waitsForData reports whether u is better off waiting for room near its data.
// Urgent units make room instead.
func (r *round) waitsForData(u graph.Unit) bool {
	s := u.Spec()
	if s.DataRack == "" && !s.SameRack {
		return false
	}
	j := u.Progress.Job
	if Urgent(j) {
		return true
	}
	waited := r.now.Sub(j.Due(u.Occurrence))
	return waited < time.Duration(patience*farFactor*float64(s.Estimate))
}

func (r *round) request(u graph.Unit) pool.Request {
	s := u.Spec()
	req := pool.Request{
		Now: r.now, Service: u.Progress.Job.Service, Count: len(u.Members), Room: s.Room(), Label: s.Label,
		DataRack: s.DataRack, SameRack: s.SameRack, MaxPerWorker: s.MaxPerWorker,
	}
	if s.MaxPerWorker > 0 {
		req.Present = r.presentOf(u)
	}
	if r.Avoid != nil {
		req.Avoid = r.Avoid(u)
	}
	return req
}

func keyOf(u graph.Unit) fullKey {
	return fullKey{u.Progress.Job.ID, u.Occurrence, u.Step}
}

// presentOf returns the counts of u's step, which start keeps up to date.
func (r *round) presentOf(u graph.Unit) map[pool.WorkerID]int {
	key := keyOf(u)
	if r.present[key] == nil {
		r.present[key] = r.Present(u)
	}
	return r.present[key]
}

func (r *round) start(u graph.Unit, chosen []*pool.Worker, near bool, reason string) {
	room := u.Spec().Room()
	present := r.present[keyOf(u)]
	for _, w := range chosen {
		w.Reserved = w.Reserved.Plus(room)
		if present != nil {
			present[w.ID]++
		}
	}
	if Urgent(u.Progress.Job) {
		r.used[u.Progress.Job.Workspace] += accelerators(u)
	}
	r.decision.Starts = append(r.decision.Starts, Start{Unit: u, Workers: chosen, Near: near, Reason: reason})
}

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
// for the request there.
func (r *round) victims(u graph.Unit, req pool.Request, workers []*pool.Worker) ([]*Placed, float64) {
	extra := make(map[pool.WorkerID]graph.Demand)
	in := make(map[pool.WorkerID]bool, len(workers))
	for _, w := range workers {
		if w.Usable(&req) {
			in[w.ID] = true
		}
	}
	fits := func() bool {
		n := 0
		for _, w := range workers {
			if in[w.ID] {
				h := pool.Holds(w.FreeSoon().Plus(extra[w.ID]), req.Room)
				if req.MaxPerWorker > 0 {
					h = min(h, req.MaxPerWorker-req.Present[w.ID])
				}
				n += h
			}
		}
		return n >= req.Count
	}
	candidates := r.candidates(u, in)
	var set []*Placed
	total := 0.0
	for _, p := range candidates {
		if fits() {
			break
		}
		room := p.Unit.Spec().Room()
		for _, w := range p.Workers {
			extra[w.ID] = extra[w.ID].Plus(room)
		}
		set = append(set, p)
		total += r.lost(p)
	}
	if len(set) == 0 || !fits() {
		return nil, 0
	}
	return r.prune(set, extra, fits, total)
}

// prune leaves out victims that are not needed, the most expensive first.
func (r *round) prune(
	set []*Placed, extra map[pool.WorkerID]graph.Demand, fits func() bool, total float64,
) ([]*Placed, float64) {
	for i := len(set) - 1; i >= 0; i-- {
		p := set[i]
		room := p.Unit.Spec().Room()
		for _, w := range p.Workers {
			extra[w.ID] = extra[w.ID].Minus(room)
		}
		if fits() {
			set = slices.Delete(set, i, i+1)
			total -= r.lost(p)
			continue
		}
		for _, w := range p.Workers {
			extra[w.ID] = extra[w.ID].Plus(room)
		}
	}
	return set, total
}

// candidates returns what may be stopped for u on the workers, in the order of
// lost work by accelerator freed there.
func (r *round) candidates(u graph.Unit, in map[pool.WorkerID]bool) []*Placed {
	type candidate struct {
		p    *Placed
		cost float64
	}
	var list []candidate
	for _, p := range r.Placed {
		if p.Stopping || !r.mayStop(p, u) {
			continue
		}
		here := 0
		for _, w := range p.Workers {
			if in[w.ID] {
				here++
			}
		}
		if here > 0 {
			freed := weight(p.Unit.Spec().Room()) * float64(here)
			list = append(list, candidate{p, (1 + r.lost(p)) / freed})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	sorted := make([]*Placed, len(list))
	for i, c := range list {
		sorted[i] = c.p
	}
	return sorted
}

// mayStop reports whether p may be stopped for u.
func (r *round) mayStop(p *Placed, u graph.Unit) bool {
	victim := p.Unit.Progress.Job
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

// lost returns the work in core-seconds that a stop of p throws away. A stop
// saves the progress of tasks that make checkpoints, which then lose the time
// of loading it.
func (r *round) lost(p *Placed) float64 {
	if p.Since.IsZero() {
		return 0
	}
	ran := r.now.Sub(p.Since)
	if p.Unit.Spec().Checkpoints {
		ran = min(ran, reload)
	}
	return ran.Seconds() * weight(p.Unit.Spec().Demand) * float64(len(p.Unit.Members))
}

// weight returns a demand in cores.
func weight(d graph.Demand) float64 {
	const millicoresPerCore = 1000
	return float64(d.Millicores)/millicoresPerCore + coresPerAccelerator*float64(d.Accelerators)
}

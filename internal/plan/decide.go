package plan

import (
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

	// Policy has the decisions that depend on the load. A replay of a load
	// pattern sets another one of them beside the default.
	Policy struct {
		// Order sorts the waiting units, the first to be placed first.
		Order func(now time.Time, units []graph.Unit)
		// Lost returns the work in core-seconds that a stop throws away.
		Lost func(now time.Time, p *Placed) float64
		// WaitsNear reports whether a unit waits for room near its data rather
		// than start elsewhere. Urgent units that wait make room there.
		WaitsNear func(now time.Time, u graph.Unit) bool
	}

	// round is the state of one decision.
	round struct {
		*Policy
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
		// byWorker has the placed units of each worker, once for each task there.
		// It is built for the first search for victims.
		byWorker map[*pool.Worker][]*victim
		// searches counts the searches for victims.
		searches int
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
)

// Urgent reports whether the job may stop others.
func Urgent(j *graph.Job) bool { return j.Priority == 0 }

// Default returns the policy in use.
func Default() *Policy {
	return &Policy{Order: Order, Lost: Lost, WaitsNear: WaitsNear}
}

// Decide returns the starts and stops of one round under the default policy,
// and reserves the room of the starts in the pool.
func Decide(now time.Time, v *View) Decision { return Default().Decide(now, v) }

// Decide returns the starts and stops of one round and reserves the room of
// the starts in the pool.
func (p *Policy) Decide(now time.Time, v *View) Decision {
	r := newRound(p, now, v)
	p.Order(now, v.Waiting)
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

func newRound(p *Policy, now time.Time, v *View) *round {
	return &round{
		Policy: p, View: v, now: now, used: v.urgentUse(), full: make(map[fullKey]bool),
		present: make(map[fullKey]map[pool.WorkerID]int), decision: Decision{Waits: make(map[string]int)},
	}
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
	req.NearOnly = r.WaitsNear(r.now, u) && r.everNear(req)
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

// weight returns a demand in cores.
func weight(d graph.Demand) float64 {
	const millicoresPerCore = 1000
	return float64(d.Millicores)/millicoresPerCore + coresPerAccelerator*float64(d.Accelerators)
}

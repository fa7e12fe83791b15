package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/share"
)

// A workspace that submits more than its cap permits would take the site from the
// others, or be kept below its cap by a check that comes after the decision.

type (
	// WorkspaceWait is a workspace and a reason for which its units wait.
	WorkspaceWait struct {
		Workspace, Reason string
	}

	// capUse is the usage of a workspace with a cap in the course of a round.
	capUse struct {
		share.Limit
		// total is the demand of all tasks that may be running or are placed, and soon
		// the part that remains once the stopping ones have ended.
		total, soon graph.Demand
		// kept is what a unit that waits for the cap lacks. Units after it leave it
		// half of the cap in these resources.
		kept graph.Demand
	}
)

// waitsForCap is the reason of a unit that does not fit the cap of its workspace.
const waitsForCap = "cap"

// keptPart is the divisor of the cap up to which units may use a resource that a unit
// before them waits for. A workspace under half of its cap must not be held back, and a
// unit that needs up to half fits once the others are below.
const keptPart = 2

// capUse returns the usage of the unit's workspace, or nil if it has no cap.
func (r *round) capUse(u graph.Unit) *capUse {
	if r.Usage == nil {
		return nil
	}
	workspace := u.Progress.Job.Workspace
	c, known := r.capUses[workspace]
	if known {
		return c
	}
	if limit := r.Limits[workspace]; limit.Cap != (graph.Demand{}) {
		usage := r.Usage.Usage(workspace)
		c = &capUse{Limit: limit, total: usage.Total(), soon: usage.Soon()}
	}
	if r.capUses == nil {
		r.capUses = make(map[string]*capUse)
	}
	r.capUses[workspace] = c
	return c
}

// deadline returns the time by which the unit's occurrence must be completed. Steps that
// are wider than the cap of the workspace permits count as often as they have waves.
func (v *View) deadline(u graph.Unit) time.Time {
	j := u.Progress.Job
	if limit, ok := v.Limits[j.Workspace]; ok && limit.Cap != (graph.Demand{}) {
		return j.DeadlineInWaves(u.Occurrence, limit.Waves)
	}
	return j.Deadline(u.Occurrence)
}

// unitDemand returns what the tasks of u count towards the cap of its workspace.
func unitDemand(u graph.Unit) graph.Demand { return u.Spec().Demand.Times(len(u.Members)) }

// placedDemand returns what the tasks of a placement that have not ended count towards
// the cap of its workspace.
func placedDemand(p *Placement) graph.Demand { return p.Unit.Spec().Demand.Times(len(p.Workers)) }

// withinCap reports whether u may start beside all that may be running.
func (c *capUse) withinCap(u graph.Unit) bool {
	need := unitDemand(u)
	return c.Fits(c.total.Plus(need)) && !c.keptFrom(need)
}

// keptFrom reports whether the demand takes a resource that is kept for a unit that
// waits for the cap.
func (c *capUse) keptFrom(need graph.Demand) bool {
	kept := func(kept, need, used, limit int64) bool { return kept > 0 && need > 0 && keptPart*used >= limit }
	return kept(c.kept.Millicores, need.Millicores, c.total.Millicores, c.Cap.Millicores) ||
		kept(c.kept.MemoryMiB, need.MemoryMiB, c.total.MemoryMiB, c.Cap.MemoryMiB) ||
		kept(c.kept.Accelerators, need.Accelerators, c.total.Accelerators, c.Cap.Accelerators)
}

// keepFor keeps capacity for a unit that waits for the cap. Smaller units after it would
// otherwise take all that becomes free. A unit that needs more than the others leave
// gets nothing kept, since it could wait in vain.
func (c *capUse) keepFor(u graph.Unit) {
	need := unitDemand(u)
	if c.Fits(need.Times(keptPart)) {
		c.kept = c.kept.Plus(c.Excess(c.total.Plus(need)))
	}
}

// placeOverCap places an urgent unit within its guarantee that does not fit the cap of
// its workspace beside what may be running there. It stops others of the workspace if
// what stops already does not suffice. It reports whether u was placed.
func (r *round) placeOverCap(u graph.Unit, c *capUse) bool {
	if !Urgent(u.Progress.Job) || !r.withinGuarantee(u) {
		return false
	}
	req := r.request(u)
	req.LocalOnly = r.waitsForLocality(u) && r.nearFeasible(req)
	if r.stopForCap(u, c, req) {
		return true
	}
	if !req.LocalOnly {
		return false
	}
	req.LocalOnly = false
	return r.stopForCap(u, c, req)
}

// stopForCap places u, and stops what has to stop for the cap and for the capacity. It
// changes nothing if that does not suffice.
func (r *round) stopForCap(u graph.Unit, c *capUse, req pool.Request) bool {
	excess := c.Excess(c.soon.Plus(unitDemand(u)))
	stops, ok := r.stopsForRoom(u, &req)
	if !ok {
		return false
	}
	for _, p := range stops {
		if p.Unit.Progress.Job.Workspace == u.Progress.Job.Workspace {
			excess = excess.Minus(placedDemand(p))
		}
	}
	more, ok := r.stopsForExcess(u, excess, stops)
	if !ok {
		return false
	}
	for _, p := range append(stops, more...) {
		r.recordStop(p, u)
	}
	chosen, near := r.Pool.Choose(req)
	if chosen == nil {
		return false
	}
	reason := "leaving"
	if len(stops)+len(more) > 0 {
		reason = "reclaim"
	}
	r.start(u, chosen, near, reason)
	return true
}

// stopsForRoom returns the units to stop so that u fits on the workers, if any, and
// whether it fits then. Units of the same workspace are preferred, since their stop
// serves the cap as well. It sets how req counts the free capacity.
func (r *round) stopsForRoom(u graph.Unit, req *pool.Request) ([]*Placement, bool) {
	if chosen, _ := r.Pool.Choose(*req); chosen != nil {
		return nil, true
	}
	req.Free = (*pool.Worker).FreeSoon
	if chosen, _ := r.Pool.Choose(*req); chosen != nil {
		return nil, true
	}
	r.onlyWorkspace = u.Progress.Job.Workspace
	stops := r.cheapestVictims(u, *req)
	r.onlyWorkspace = ""
	if stops == nil {
		stops = r.cheapestVictims(u, *req)
	}
	return stops, stops != nil
}

// stopsForExcess returns units of the workspace of u, beside those that stop already,
// whose stop takes away the excess with the least loss of work, and whether there are
// enough.
func (r *round) stopsForExcess(u graph.Unit, excess graph.Demand, stops []*Placement) ([]*Placement, bool) {
	if !positive(excess) {
		return nil, true
	}
	type candidate struct {
		*Placement
		lostWork, cost float64
	}
	var candidates []candidate
	for _, p := range r.Placements {
		job := p.Unit.Progress.Job
		if job.Workspace != u.Progress.Job.Workspace || Urgent(job) || p.Stopping || len(p.Workers) == 0 ||
			slices.Contains(stops, p) || !r.mayPreempt(p, u) || !relieves(placedDemand(p), excess) {
			continue
		}
		lost := r.LostWork(r.now, r.View, p)
		candidates = append(candidates, candidate{p, lost, (1 + lost) / weight(placedDemand(p))})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	var chosen []*Placement
	for _, c := range candidates {
		if !positive(excess) {
			break
		}
		if relieves(placedDemand(c.Placement), excess) {
			chosen, excess = append(chosen, c.Placement), excess.Minus(placedDemand(c.Placement))
		}
	}
	if positive(excess) {
		return nil, false
	}
	// Remove units that are not needed, the most expensive first.
	for i, p := range slices.Backward(chosen) {
		if with := excess.Plus(placedDemand(p)); !positive(with) {
			excess, chosen = with, slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, true
}

// positive reports whether any quantity of d is above 0.
func positive(d graph.Demand) bool { return d.Millicores > 0 || d.MemoryMiB > 0 || d.Accelerators > 0 }

// relieves reports whether the end of tasks with a demand reduces an excess.
func relieves(demand, excess graph.Demand) bool {
	return demand.Millicores > 0 && excess.Millicores > 0 || demand.MemoryMiB > 0 && excess.MemoryMiB > 0 ||
		demand.Accelerators > 0 && excess.Accelerators > 0
}

// countStart counts a unit that the round starts.
func (r *round) countStart(u graph.Unit) {
	if c := r.capUse(u); c != nil {
		c.total, c.soon = c.total.Plus(unitDemand(u)), c.soon.Plus(unitDemand(u))
	}
	r.shares.add(u.Progress.Job.Workspace, unitDemand(u))
}

// countStop counts a placement that the round stops. Tasks that were started count in
// full until their workers have listed their ends.
func (r *round) countStop(p *Placement) {
	demand := placedDemand(p)
	r.shares.add(p.Unit.Progress.Job.Workspace, demand.Times(-1))
	c := r.capUse(p.Unit)
	if c == nil {
		return
	}
	c.soon = c.soon.Minus(demand)
	if p.Since.IsZero() {
		c.total = c.total.Minus(demand)
	}
}

// countWait counts a unit that waits.
func (r *round) countWait(u graph.Unit, reason string) {
	r.decision.Waits[reason]++
	if r.IsSpent != nil && r.unwanted == nil {
		r.waitingWithValue = append(r.waitingWithValue, u)
	}
	if r.Usage == nil {
		return
	}
	if r.decision.WaitsByWorkspace == nil {
		r.decision.WaitsByWorkspace = make(map[WorkspaceWait]int)
	}
	r.decision.WaitsByWorkspace[WorkspaceWait{u.Progress.Job.Workspace, reason}]++
}

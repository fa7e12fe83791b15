package sched

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

const (
	// maxPlacements bounds the placements that are compared for one job.
	maxPlacements = 24
	// maxUnlimitedWorkers is the number of workers up to which a decision has
	// no total bound on its guarantee checks; each single check is always
	// bounded. Today's shards have 17 workers.
	maxUnlimitedWorkers = 64
	// maxCheckSteps bounds the packing steps of all guarantee checks of one
	// decision of a larger shard. After that, jobs that need a check wait for
	// the next decision.
	maxCheckSteps = 4 * shape.PackSteps
	// maxReclaimSearches bounds the jobs outside guarantees, other than urgent
	// ones, for which one decision searches for gangs to reclaim. The queue can
	// be long, and each search compares all placements.
	maxReclaimSearches = 4
	// minConcurrentStarts is the lower limit of the bound on gangs that start
	// at the same time, which otherwise is one for each worker. At the bound, jobs
	// outside guarantees that are not urgent wait. This spreads the refill of a
	// domain that returns to service over several seconds.
	minConcurrentStarts = 8

	noPlacement = "no free place for the shape"
)

// Default returns the policy that the shard owners use.
func Default() Policy {
	return Policy{Name: "default", Decide: decide}
}

// decide schedules the waiting jobs in queue order. A job starts on free
// workers, has lent gangs reclaimed, reserves workers that are being reclaimed,
// or waits. A domain that is out of service is evacuated instead.
func decide(now time.Time, v *View) []Action {
	if !v.InService {
		return evacuate(v)
	}
	p := newPlan(now, v)
	for _, j := range p.orderQueue(v.Waiting) {
		p.schedule(*j)
	}
	return p.actions
}

// schedule decides what happens to one waiting job.
func (p *plan) schedule(j jobs.Job) {
	if !p.canEverRun(j.Spec.Shape) {
		p.moveOrRefuse(j)
		return
	}
	if j.Spec.Guaranteed {
		if i, ok := p.reservations.Match(j.Workspace, j.Spec.Shape); ok && p.placeGuaranteed(j, i) {
			return
		}
		if p.reservations.IsExhausted() {
			// The job must not start on lent capacity unchecked: the next
			// decision would classify it as inside its guarantee.
			p.wait(j, "the guarantee checks of this decision reached their bound")
			return
		}
	}
	p.placeLent(j)
}

// moveOrRefuse moves a job that can never run in this domain to a domain in
// which it fits, and refuses it if there is none.
func (p *plan) moveOrRefuse(j jobs.Job) {
	if to, ok := leastLoadedPeer(p.peers, j); ok {
		p.add(Action{Kind: Move, Job: j, To: to, Reason: "never fits in " + string(p.view.Domain)})
		return
	}
	p.add(Action{Kind: Refuse, Job: j, Reason: "no domain can hold " + j.Spec.Shape.String() + " even when it is empty"})
}

// placeGuaranteed places a job inside the claim with index claimIndex: on free
// workers, else on workers that are already being reclaimed, else on workers
// from which lent gangs are reclaimed. It returns false if no placement leaves
// enough capacity for the other claims.
func (p *plan) placeGuaranteed(j jobs.Job, claimIndex int) bool {
	s := j.Spec.Shape
	keepsClaims := func(slots []jobs.Slot) bool { return p.reservations.Keeps(claimIndex, s, slots) }
	if slots, ok := p.bestPlacement(p.free, j, keepsClaims); ok {
		p.reservations.Take(claimIndex, s, slots)
		p.place(j, slots, "inside a guarantee")
		return true
	}
	if slots, ok := p.bestPlacement(p.afterReclaim, j, keepsClaims); ok {
		p.reservations.Take(claimIndex, s, slots)
		p.reserve(j, slots)
		p.wait(j, "lent capacity is being reclaimed")
		return true
	}
	anyGang := func(*lentGang) bool { return true }
	option, ok := p.cheapestReclaim(j, anyGang, keepsClaims)
	if !ok {
		option, ok = p.packedPlacement(j, claimIndex, anyGang)
	}
	if !ok {
		return false
	}
	p.reservations.Take(claimIndex, s, option.slots)
	if len(option.victims) == 0 && p.fitsNow(s, option.slots) {
		p.place(j, option.slots, "inside a guarantee")
		return true
	}
	p.reclaimFor(j, option)
	return true
}

// placeLent places a job outside guarantees on lent capacity.
func (p *plan) placeLent(j jobs.Job) {
	if j.Spec.Class != jobs.Urgent && p.starting >= max(minConcurrentStarts, len(p.view.Workers)) {
		p.wait(j, "many gangs are starting")
		return
	}
	if !p.noFreePlacement[j.Spec.Shape] {
		if slots, ok := p.bestPlacement(p.free, j, nil); ok {
			p.place(j, slots, "on lent capacity")
			return
		}
		// Free capacity only shrinks during a decision, so equal shapes need
		// not be tried again. A job that avoids workers is no evidence that
		// other jobs of its shape do not fit.
		p.noFreePlacement[j.Spec.Shape] = len(j.FailedOn) == 0
	}
	reclaimable := p.reclaimableFor(&j)
	if reclaimable == nil {
		p.waitOrMove(j, noPlacement)
		return
	}
	if slots, ok := p.bestPlacement(p.afterReclaim, j, nil); ok {
		p.reserve(j, slots)
		p.wait(j, "capacity is being reclaimed")
		return
	}
	if option, ok := p.cheapestReclaim(j, reclaimable, nil); ok {
		p.reclaimFor(j, option)
		return
	}
	p.waitOrMove(j, noPlacement)
}

// bestPlacement returns the best placement of j on the workers for which accept
// returns true. A nil accept admits every placement.
func (p *plan) bestPlacement(workers []fleet.Worker, j jobs.Job, accept func([]jobs.Slot) bool) ([]jobs.Slot, bool) {
	for _, slots := range fleet.Placements(workers, j.Spec.Shape, maxPlacements, avoidFailedOn(j)) {
		if accept == nil || accept(slots) {
			return slots, true
		}
	}
	return nil, false
}

// avoidFailedOn returns a filter for the workers on which j has failed, or nil
// if there are none. A retry on other workers distinguishes a faulty worker
// from a faulty job.
func avoidFailedOn(j jobs.Job) func(ident.Worker) bool {
	if len(j.FailedOn) == 0 {
		return nil
	}
	return func(w ident.Worker) bool { return slices.Contains(j.FailedOn, w) }
}

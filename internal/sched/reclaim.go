package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// reclaimOption is a placement for a job and the lent gangs that must be
// reclaimed for it.
type reclaimOption struct {
	slots   []jobs.Slot
	victims []*lentGang
	cost    time.Duration
}

// restartCost is the time that a checkpoint and a restart take. It is added for
// each gang that is reclaimed, even if no progress is lost.
const restartCost = 10 * time.Second

// reclaimCost returns the accelerator time that reclaiming the gang costs: the
// progress since its last checkpoint plus the restart, times its size. The cost
// is multiplied by the attempt, so that the same job is not reclaimed every
// time.
func reclaimCost(g *Gang) time.Duration {
	lostTime := (max(g.Progress-g.Saved, 0) + restartCost) * time.Duration(max(g.Job.Attempt, 1))
	return lostTime * time.Duration(max(g.Job.Spec.Shape.Total().Accelerators, 1))
}

// cheapestReclaim returns the placement for j with the lowest cost of the lent
// gangs that must be reclaimed, among those gangs for which reclaimable returns
// true. Placements are searched as if all these gangs had ended, on the workers
// with the cheapest gangs first, so that the free capacity of several workers
// can be combined into the shape.
func (p *plan) cheapestReclaim(j jobs.Job, reclaimable func(*lentGang) bool, accept func([]jobs.Slot) bool) (reclaimOption, bool) {
	reclaimed := slices.Clone(p.afterReclaim)
	for i := range p.lentGangs {
		if l := &p.lentGangs[i]; !l.reclaimed && reclaimable(l) {
			p.adjustFree(reclaimed, l.gang.Job.Spec.Shape, l.gang.Job.Slots, 1)
		}
	}
	var best reclaimOption
	found := false
	for _, placements := range [][][]jobs.Slot{
		p.placementsByCost(reclaimed, j, reclaimable),
		fleet.Placements(reclaimed, j.Spec.Shape, maxPlacements, avoidFailedOn(j)),
	} {
		for _, slots := range placements {
			option, ok := p.chooseVictims(j, slots, reclaimable)
			if !ok || (found && option.cost >= best.cost) || (accept != nil && !accept(slots)) {
				continue
			}
			best, found = option, true
		}
	}
	return best, found
}

// placementsByCost returns placements on the workers in ascending order of the
// cost of their reclaimable gangs.
func (p *plan) placementsByCost(reclaimed []fleet.Worker, j jobs.Job, reclaimable func(*lentGang) bool) [][]jobs.Slot {
	cost := make(map[ident.Worker]time.Duration)
	for i := range p.lentGangs {
		l := &p.lentGangs[i]
		if l.reclaimed || !reclaimable(l) {
			continue
		}
		for _, s := range l.gang.Job.Slots {
			cost[s.Worker] += reclaimCost(l.gang)
		}
	}
	sorted := slices.Clone(reclaimed)
	slices.SortStableFunc(sorted, func(a, b fleet.Worker) int {
		return cmp.Or(
			cmp.Compare(cost[a.Spec.ID], cost[b.Spec.ID]),
			strings.Compare(string(a.Spec.ID), string(b.Spec.ID)),
		)
	})
	return fleet.InOrder(sorted, j.Spec.Shape, avoidFailedOn(j))
}

// packedPlacement returns the placement that a packing of all claims gives to j.
func (p *plan) packedPlacement(j jobs.Job, claimIndex int, reclaimable func(*lentGang) bool) (reclaimOption, bool) {
	slots, ok := p.reservations.Place(claimIndex, j.Spec.Shape)
	if !ok {
		return reclaimOption{}, false
	}
	return p.chooseVictims(j, slots, reclaimable)
}

// chooseVictims returns the cheapest gangs that must be reclaimed for j to fit
// on the slots. It goes through the gangs in ascending order of cost and adds
// each one that occupies an overcommitted worker, and then drops those that the
// others make unnecessary.
func (p *plan) chooseVictims(j jobs.Job, slots []jobs.Slot, reclaimable func(*lentGang) bool) (reclaimOption, bool) {
	workers := slices.Clone(p.afterReclaim)
	p.adjustFree(workers, j.Spec.Shape, slots, -1)
	var gangs []*lentGang
	for i := range p.lentGangs {
		if l := &p.lentGangs[i]; !l.reclaimed && reclaimable(l) && shareWorker(l.gang.Job.Slots, slots) {
			gangs = append(gangs, l)
		}
	}
	slices.SortStableFunc(gangs, func(a, b *lentGang) int { return cmp.Compare(reclaimCost(a.gang), reclaimCost(b.gang)) })
	option := reclaimOption{slots: slots}
	for _, l := range gangs {
		if p.isOvercommitted(workers, l.gang.Job.Slots) {
			p.adjustFree(workers, l.gang.Job.Spec.Shape, l.gang.Job.Slots, 1)
			option.victims = append(option.victims, l)
		}
	}
	if p.isOvercommitted(workers, slots) {
		return reclaimOption{}, false
	}
	option.victims = p.necessaryVictims(workers, option.victims, slots)
	for _, l := range option.victims {
		option.cost += reclaimCost(l.gang)
	}
	return option, true
}

// necessaryVictims returns the victims without those that need not be reclaimed
// for the slots to fit. The most expensive victims are dropped first.
func (p *plan) necessaryVictims(workers []fleet.Worker, victims []*lentGang, slots []jobs.Slot) []*lentGang {
	var necessary []*lentGang
	for _, l := range slices.Backward(victims) {
		s := l.gang.Job.Spec.Shape
		p.adjustFree(workers, s, l.gang.Job.Slots, -1)
		if p.isOvercommitted(workers, slots) {
			p.adjustFree(workers, s, l.gang.Job.Slots, 1)
			necessary = append(necessary, l)
		}
	}
	return necessary
}

// fitsNow reports whether the slots fit in the capacity that is free now.
func (p *plan) fitsNow(s shape.Shape, slots []jobs.Slot) bool {
	for _, slot := range slots {
		if !s.Member.Times(slot.Members).Fits(p.free[p.index[slot.Worker]].Free) {
			return false
		}
	}
	return true
}

// isOvercommitted reports whether a worker of the slots has negative free
// capacity.
func (p *plan) isOvercommitted(workers []fleet.Worker, slots []jobs.Slot) bool {
	for _, s := range slots {
		if i, ok := p.index[s.Worker]; ok {
			if free := workers[i].Free; free.Accelerators < 0 || free.Processors < 0 || free.Memory < 0 {
				return true
			}
		}
	}
	return false
}

// shareWorker reports whether a and b have a worker in common.
func shareWorker(a, b []jobs.Slot) bool {
	for _, s := range a {
		if slices.ContainsFunc(b, func(o jobs.Slot) bool { return o.Worker == s.Worker }) {
			return true
		}
	}
	return false
}

// reclaimFor reclaims the victims and reserves the slots for j.
func (p *plan) reclaimFor(j jobs.Job, option reclaimOption) {
	for _, l := range option.victims {
		l.reclaimed = true
		p.adjustFree(p.afterReclaim, l.gang.Job.Spec.Shape, l.gang.Job.Slots, 1)
		p.add(Action{Kind: Reclaim, Job: l.gang.Job, Reason: fmt.Sprintf("for %s/%s", j.Workspace, j.ID)})
	}
	p.reserve(j, option.slots)
	p.wait(j, fmt.Sprintf("%d gangs are being reclaimed", len(option.victims)))
}

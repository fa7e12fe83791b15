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

// choice is a place for a job and the lent gangs that must leave it.
type choice struct {
	slots   []jobs.Slot
	victims []*lent
	cost    time.Duration
}

// stopCost is added for each gang that is reclaimed: it needs the time of a
// checkpoint and of a new start even if no progress is lost.
const stopCost = 10 * time.Second

// lost returns the accelerator time that reclaiming the gang costs: the
// progress since its last checkpoint and the stop itself, times its size. It
// counts more with each attempt, so that no job is the victim every time.
func lost(g *Gang) time.Duration {
	since := (max(g.Progress-g.Saved, 0) + stopCost) * time.Duration(max(g.Job.Attempt, 1))
	return since * time.Duration(max(g.Job.Spec.Shape.Total().Accelerators, 1))
}

// cheapest returns the place for j that loses the least work when lent gangs
// for which gives is true leave it. Places are searched on the workers without
// those gangs, cheapest gangs first, so that holes join up into the shape.
func (p *plan) cheapest(j jobs.Job, gives func(*lent) bool, keeps func([]jobs.Slot) bool) (choice, bool) {
	open := slices.Clone(p.soon)
	for i := range p.lent {
		if l := &p.lent[i]; !l.taken && gives(l) {
			p.change(open, l.gang.Job.Spec.Shape, l.gang.Job.Slots, 1)
		}
	}
	var best choice
	found := false
	for _, places := range [][][]jobs.Slot{
		p.byCost(open, j, gives),
		fleet.Places(open, j.Spec.Shape, maxPlaces, avoided(j)),
	} {
		for _, slots := range places {
			c, ok := p.victims(j, slots, gives)
			if !ok || (found && c.cost >= best.cost) || (keeps != nil && !keeps(slots)) {
				continue
			}
			best, found = c, true
		}
	}
	return best, found
}

// byCost returns places on the workers whose lent gangs are the cheapest.
func (p *plan) byCost(open []fleet.Worker, j jobs.Job, gives func(*lent) bool) [][]jobs.Slot {
	cost := make(map[ident.Worker]time.Duration)
	for i := range p.lent {
		l := &p.lent[i]
		if l.taken || !gives(l) {
			continue
		}
		for _, s := range l.gang.Job.Slots {
			cost[s.Worker] += lost(l.gang)
		}
	}
	sorted := slices.Clone(open)
	slices.SortStableFunc(sorted, func(a, b fleet.Worker) int {
		return cmp.Or(
			cmp.Compare(cost[a.Spec.ID], cost[b.Spec.ID]),
			strings.Compare(string(a.Spec.ID), string(b.Spec.ID)),
		)
	})
	return fleet.InOrder(sorted, j.Spec.Shape, avoided(j))
}

// packed returns the place that the packing of all claims gives to j.
func (p *plan) packed(j jobs.Job, claim int, gives func(*lent) bool) (choice, bool) {
	slots, ok := p.book.Place(claim, j.Spec.Shape)
	if !ok {
		return choice{}, false
	}
	return p.victims(j, slots, gives)
}

// victims returns the cheapest gangs that must leave so that j fits on the
// slots. Of the gangs on a worker it takes those that lose the least, and then
// drops each one whose place the others make up for.
func (p *plan) victims(j jobs.Job, slots []jobs.Slot, gives func(*lent) bool) (choice, bool) {
	soon := slices.Clone(p.soon)
	p.change(soon, j.Spec.Shape, slots, -1)
	var on []*lent
	for i := range p.lent {
		if l := &p.lent[i]; !l.taken && gives(l) && touches(l.gang.Job.Slots, slots) {
			on = append(on, l)
		}
	}
	slices.SortStableFunc(on, func(a, b *lent) int { return cmp.Compare(lost(a.gang), lost(b.gang)) })
	c := choice{slots: slots}
	for _, l := range on {
		if p.short(soon, l.gang.Job.Slots) {
			p.change(soon, l.gang.Job.Spec.Shape, l.gang.Job.Slots, 1)
			c.victims = append(c.victims, l)
		}
	}
	if p.short(soon, slots) {
		return choice{}, false
	}
	c.victims = p.spared(soon, c.victims, slots)
	for _, l := range c.victims {
		c.cost += lost(l.gang)
	}
	return c, true
}

// spared drops the victims, dearest first, without which the place still fits.
func (p *plan) spared(soon []fleet.Worker, victims []*lent, slots []jobs.Slot) []*lent {
	var kept []*lent
	for _, l := range slices.Backward(victims) {
		s := l.gang.Job.Spec.Shape
		p.change(soon, s, l.gang.Job.Slots, -1)
		if p.short(soon, slots) {
			p.change(soon, s, l.gang.Job.Slots, 1)
			kept = append(kept, l)
		}
	}
	return kept
}

// fitsNow reports whether the slots are free.
func (p *plan) fitsNow(s shape.Shape, slots []jobs.Slot) bool {
	for _, slot := range slots {
		if !s.Member.Times(slot.Members).Fits(p.free[p.index[slot.Worker]].Free) {
			return false
		}
	}
	return true
}

// short reports whether a worker of the slots holds less than nothing.
func (p *plan) short(workers []fleet.Worker, slots []jobs.Slot) bool {
	for _, s := range slots {
		if i, ok := p.index[s.Worker]; ok {
			if f := workers[i].Free; f.Accelerators < 0 || f.Processors < 0 || f.Memory < 0 {
				return true
			}
		}
	}
	return false
}

func touches(a, b []jobs.Slot) bool {
	for _, s := range a {
		if slices.ContainsFunc(b, func(o jobs.Slot) bool { return o.Worker == s.Worker }) {
			return true
		}
	}
	return false
}

// reclaim takes the victims down and holds the place for j.
func (p *plan) reclaim(j jobs.Job, c choice) {
	for _, l := range c.victims {
		l.taken = true
		p.change(p.soon, l.gang.Job.Spec.Shape, l.gang.Job.Slots, 1)
		p.add(Action{Kind: Reclaim, Job: l.gang.Job, Reason: fmt.Sprintf("for %s/%s", j.Workspace, j.ID)})
	}
	p.hold(j, c.slots)
	p.wait(j, fmt.Sprintf("%d gangs are being reclaimed", len(c.victims)))
}

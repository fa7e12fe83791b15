package sched

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// plan is the state of one decision.
	plan struct {
		view *View
		now  time.Time
		// free is what a job can use now, and soon what it can use once the
		// gangs that are being reclaimed have ended. Held places count as used.
		free  []fleet.Worker
		soon  []fleet.Worker
		index map[ident.Worker]int
		book  *quota.Book
		lent  []lent
		peers []Peer
		bias  map[biasKey]float64
		// full holds the shapes for which nothing free is left, and ever
		// whether a shape fits in the empty domain.
		full map[shape.Shape]bool
		ever map[shape.Shape]bool
		// searched is the number of searches for victims outside guarantees.
		searched int
		// starting is the number of gangs that are about to start.
		starting int
		actions  []Action
	}

	// lent is a gang on lent capacity.
	lent struct {
		gang *Gang
		// taken is set once this decision reclaims the gang.
		taken bool
	}
)

func newPlan(now time.Time, v *View) *plan {
	p := &plan{
		view:  v,
		now:   now,
		free:  slices.Clone(v.Workers),
		soon:  slices.Clone(v.Workers),
		index: make(map[ident.Worker]int, len(v.Workers)),
		book:  quota.NewBook(v.Workers, v.Guarantees),
		peers: slices.Clone(v.Peers),
		bias:  biases(v.Past),
		full:  make(map[shape.Shape]bool),
		ever:  make(map[shape.Shape]bool),
	}
	for i, w := range v.Workers {
		p.index[w.Spec.ID] = i
	}
	for i := range v.Gangs {
		g := &v.Gangs[i]
		if g.Reclaiming {
			p.change(p.soon, g.Job.Spec.Shape, g.Job.Slots, 1)
		}
		if g.Job.State == jobs.Starting {
			p.starting++
		}
	}
	p.classify()
	// The bound begins here: if it could end the classification, a gang inside
	// a guarantee would count as lent.
	if len(v.Workers) > exactWorkers {
		p.book.Limit(checkSteps)
	}
	return p
}

// classify tells the gangs inside guarantees from those on lent capacity. A
// guaranteed gang is inside while its workspace has an unused claim for it and
// the other claims fit beside it. The oldest gangs come first, so a gang that
// is inside stays inside. Claims that do not fit anyway, because workers were
// lost, turn no gang into a lent one.
func (p *plan) classify() {
	var inside []*Gang
	for i := range p.view.Gangs {
		g := &p.view.Gangs[i]
		switch {
		case g.Reclaiming:
		case g.Job.Spec.Guaranteed:
			inside = append(inside, g)
		default:
			p.lent = append(p.lent, lent{gang: g})
		}
	}
	slices.SortFunc(inside, func(a, b *Gang) int { return compareStarts(&a.Job, &b.Job) })
	if p.insideTogether(inside) {
		return
	}
	holds := p.book.Holds()
	for _, g := range inside {
		s := g.Job.Spec.Shape
		i, ok := p.book.Match(g.Job.Workspace, s)
		switch {
		case ok && !holds:
			p.book.Take(i, s, g.Job.Slots)
		case ok && p.book.Use(i, s, g.Job.Slots):
		default:
			p.lent = append(p.lent, lent{gang: g})
		}
	}
}

// insideTogether takes the claims of all gangs at once and reports whether the
// others still fit, which is the usual case. Then they also fit beside each
// part of the gangs, since the rest of them have their places, so one check is
// enough. Otherwise nothing is taken.
func (p *plan) insideTogether(gangs []*Gang) bool {
	book := p.book.Clone()
	for _, g := range gangs {
		i, ok := book.Match(g.Job.Workspace, g.Job.Spec.Shape)
		if !ok {
			return false
		}
		book.Take(i, g.Job.Spec.Shape, g.Job.Slots)
	}
	if !book.Holds() {
		return false
	}
	p.book = book
	return true
}

func compareStarts(a, b *jobs.Job) int {
	return cmp.Or(
		a.Started.Compare(b.Started),
		strings.Compare(string(a.Workspace), string(b.Workspace)),
		strings.Compare(string(a.ID), string(b.ID)),
	)
}

// canEver reports whether s fits in the domain when it is empty and healthy.
func (p *plan) canEver(s shape.Shape) bool {
	ok, known := p.ever[s]
	if !known {
		ok = fleet.CanEver(p.view.Workers, s)
		p.ever[s] = ok
	}
	return ok
}

func (p *plan) add(a Action) { p.actions = append(p.actions, a) }

func (p *plan) wait(j jobs.Job, reason string) {
	p.add(Action{Kind: Wait, Job: j, Reason: reason})
}

func (p *plan) start(j jobs.Job, slots []jobs.Slot, reason string) {
	p.starting++
	p.change(p.free, j.Spec.Shape, slots, -1)
	p.change(p.soon, j.Spec.Shape, slots, -1)
	p.add(Action{Kind: Place, Job: j, Slots: slots, Reason: reason})
}

// hold keeps the slots for j. What is free now may be used by others only as
// far as what is being reclaimed suffices for j.
func (p *plan) hold(j jobs.Job, slots []jobs.Slot) {
	p.change(p.soon, j.Spec.Shape, slots, -1)
	for _, s := range slots {
		i := p.index[s.Worker]
		p.free[i].Free = least(p.free[i].Free, p.soon[i].Free)
	}
}

func (p *plan) change(workers []fleet.Worker, s shape.Shape, slots []jobs.Slot, sign int) {
	for _, slot := range slots {
		if i, ok := p.index[slot.Worker]; ok {
			workers[i].Free = workers[i].Free.Add(s.Member.Times(sign * slot.Members))
		}
	}
}

func least(a, b shape.Resources) shape.Resources {
	return shape.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		Processors:   min(a.Processors, b.Processors),
		Memory:       min(a.Memory, b.Memory),
	}
}

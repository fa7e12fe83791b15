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
	// plan is the working state of one decision.
	plan struct {
		view *View
		now  time.Time
		// free has the capacity that a job can use now, and afterReclaim the
		// capacity once the gangs that are being reclaimed have ended. Slots
		// that are reserved for waiting jobs count as used.
		free         []fleet.Worker
		afterReclaim []fleet.Worker
		index        map[ident.Worker]int
		reservations *quota.Reservations
		lentGangs    []lentGang
		peers        []Peer
		bias         map[biasGroup]float64
		// noFreePlacement holds the shapes that no longer fit on free workers,
		// and fitsEmpty whether a shape fits in the empty domain.
		noFreePlacement map[shape.Shape]bool
		fitsEmpty       map[shape.Shape]bool
		// reclaimSearches counts the searches for gangs to reclaim for jobs
		// outside guarantees, other than urgent ones.
		reclaimSearches int
		// starting is the number of gangs that are starting, including those
		// placed by this decision.
		starting int
		actions  []Action
	}

	// lentGang is a gang on lent capacity.
	lentGang struct {
		gang *Gang
		// reclaimed is set once this decision reclaims the gang.
		reclaimed bool
	}
)

func newPlan(now time.Time, v *View) *plan {
	p := &plan{
		view:            v,
		now:             now,
		free:            slices.Clone(v.Workers),
		afterReclaim:    slices.Clone(v.Workers),
		index:           make(map[ident.Worker]int, len(v.Workers)),
		reservations:    quota.NewReservations(v.Workers, v.Guarantees),
		peers:           slices.Clone(v.Peers),
		bias:            runTimeBiases(v.CompletedRuns),
		noFreePlacement: make(map[shape.Shape]bool),
		fitsEmpty:       make(map[shape.Shape]bool),
	}
	for i, w := range v.Workers {
		p.index[w.Spec.ID] = i
	}
	for i := range v.Gangs {
		g := &v.Gangs[i]
		if g.Reclaiming {
			p.adjustFree(p.afterReclaim, g.Job.Spec.Shape, g.Job.Slots, 1)
		}
		if g.Job.State == jobs.Starting {
			p.starting++
		}
	}
	p.classifyGangs()
	// The limit is set after the classification: if it were reached during the
	// classification, gangs inside guarantees would be classified as lent.
	if len(v.Workers) > maxUnlimitedWorkers {
		p.reservations.Limit(maxCheckSteps)
	}
	return p
}

// classifyGangs separates the gangs inside guarantees from those on lent
// capacity. A guaranteed gang is inside its guarantee if its workspace has an
// unused claim for it and the other claims fit beside it. Gangs are classified
// in order of their start, so that a gang inside its guarantee remains there.
// If the claims do not fit even without the gangs, because workers were lost,
// the check is skipped and no gang is classified as lent for that reason.
func (p *plan) classifyGangs() {
	var guaranteed []*Gang
	for i := range p.view.Gangs {
		g := &p.view.Gangs[i]
		switch {
		case g.Reclaiming:
		case g.Job.Spec.Guaranteed:
			guaranteed = append(guaranteed, g)
		default:
			p.lentGangs = append(p.lentGangs, lentGang{gang: g})
		}
	}
	slices.SortFunc(guaranteed, func(a, b *Gang) int { return compareStartTimes(&a.Job, &b.Job) })
	if p.claimTogether(guaranteed) {
		return
	}
	claimsFit := p.reservations.AllFit()
	for _, g := range guaranteed {
		s := g.Job.Spec.Shape
		i, ok := p.reservations.Match(g.Job.Workspace, s)
		switch {
		case ok && !claimsFit:
			p.reservations.Take(i, s, g.Job.Slots)
		case ok && p.reservations.Use(i, s, g.Job.Slots):
		default:
			p.lentGangs = append(p.lentGangs, lentGang{gang: g})
		}
	}
}

// claimTogether takes the claims of all gangs at once and reports whether the
// remaining claims still fit, which is the usual case. One check is enough: the
// claims then also fit beside any subset of the gangs, because the claim of a gang
// that is left out fits where that gang runs. If they do not fit, no claim is
// taken.
func (p *plan) claimTogether(gangs []*Gang) bool {
	reservations := p.reservations.Clone()
	for _, g := range gangs {
		i, ok := reservations.Match(g.Job.Workspace, g.Job.Spec.Shape)
		if !ok {
			return false
		}
		reservations.Take(i, g.Job.Spec.Shape, g.Job.Slots)
	}
	if !reservations.AllFit() {
		return false
	}
	p.reservations = reservations
	return true
}

// compareStartTimes orders jobs by start time, with names as tie-breakers.
func compareStartTimes(a, b *jobs.Job) int {
	return cmp.Or(
		a.Started.Compare(b.Started),
		strings.Compare(string(a.Workspace), string(b.Workspace)),
		strings.Compare(string(a.ID), string(b.ID)),
	)
}

// canEverRun reports whether s fits in the domain when all its workers are free
// and healthy.
func (p *plan) canEverRun(s shape.Shape) bool {
	ok, known := p.fitsEmpty[s]
	if !known {
		ok = fleet.CanEver(p.view.Workers, s)
		p.fitsEmpty[s] = ok
	}
	return ok
}

func (p *plan) add(a Action) { p.actions = append(p.actions, a) }

func (p *plan) wait(j jobs.Job, reason string) {
	p.add(Action{Kind: Wait, Job: j, Reason: reason})
}

// place starts j on the slots.
func (p *plan) place(j jobs.Job, slots []jobs.Slot, reason string) {
	p.starting++
	p.adjustFree(p.free, j.Spec.Shape, slots, -1)
	p.adjustFree(p.afterReclaim, j.Spec.Shape, slots, -1)
	p.add(Action{Kind: Place, Job: j, Slots: slots, Reason: reason})
}

// reserve reserves the slots for j until the gangs on them have been reclaimed.
// Other jobs can use the capacity of these workers that is free now only as far
// as the capacity after the reclaim exceeds the reservation.
func (p *plan) reserve(j jobs.Job, slots []jobs.Slot) {
	p.adjustFree(p.afterReclaim, j.Spec.Shape, slots, -1)
	for _, s := range slots {
		i := p.index[s.Worker]
		p.free[i].Free = minResources(p.free[i].Free, p.afterReclaim[i].Free)
	}
}

// adjustFree adds the resources of the slots, multiplied by sign, to the free
// capacity of the workers.
func (p *plan) adjustFree(workers []fleet.Worker, s shape.Shape, slots []jobs.Slot, sign int) {
	for _, slot := range slots {
		if i, ok := p.index[slot.Worker]; ok {
			workers[i].Free = workers[i].Free.Add(s.Member.Times(sign * slot.Members))
		}
	}
}

func minResources(a, b shape.Resources) shape.Resources {
	return shape.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		Processors:   min(a.Processors, b.Processors),
		Memory:       min(a.Memory, b.Memory),
	}
}

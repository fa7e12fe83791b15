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
	// maxPlaces bounds the places that are compared for one job.
	maxPlaces = 24
	// exactWorkers is the size of a shard up to which only each guarantee check
	// is bounded, and not all of a decision together. Today's shards have 17
	// workers.
	exactWorkers = 64
	// checkSteps bounds the guarantee checks of one decision of a larger shard.
	// Beyond it the jobs that need a check wait for the next decision.
	checkSteps = 4 * shape.PackSteps
	// searches bounds the jobs outside guarantees, other than urgent ones, for
	// which one decision looks for victims. The queue can be long, and each
	// search compares all places.
	searches = 4
	// minStarts bounds from below how many gangs may be starting at once
	// before lent work waits; otherwise the bound is one for each worker. It
	// spreads the refill of a domain that returns over several seconds.
	minStarts = 8

	noPlace = "no free place for the shape"
)

// Default returns the policy that the shard owners use.
func Default() Policy {
	return Policy{Name: "default", Decide: decide}
}

// decide considers the waiting jobs in order. A job starts where it fits, takes
// lent capacity back, holds a place, or waits.
func decide(now time.Time, v *View) []Action {
	if !v.InService {
		return leave(v)
	}
	p := newPlan(now, v)
	for _, j := range p.ordered(v.Waiting) {
		p.consider(*j)
	}
	return p.actions
}

func (p *plan) consider(j jobs.Job) {
	if !p.canEver(j.Spec.Shape) {
		p.elsewhere(j)
		return
	}
	if j.Spec.Guaranteed {
		if i, ok := p.book.Match(j.Workspace, j.Spec.Shape); ok && p.claim(j, i) {
			return
		}
		if p.book.IsSpent() {
			// Without a check the job must not start on lent capacity either:
			// it would count as inside its guarantee from the next decision on.
			p.wait(j, "the guarantee checks of this decision reached their bound")
			return
		}
	}
	p.lend(j)
}

// elsewhere moves a job that never fits here to a domain where it does, and
// refuses it if there is none.
func (p *plan) elsewhere(j jobs.Job) {
	if to, ok := target(p.peers, j); ok {
		p.add(Action{Kind: Move, Job: j, To: to, Reason: "never fits in " + string(p.view.Domain)})
		return
	}
	p.add(Action{Kind: Refuse, Job: j, Reason: "no domain can hold " + j.Spec.Shape.String() + " even when it is empty"})
}

// claim serves a job inside a guarantee: on free workers, else on workers that
// are being reclaimed, else on workers that lent work must give back. It
// reports false if the job cannot have a place that keeps the other claims.
func (p *plan) claim(j jobs.Job, i int) bool {
	s := j.Spec.Shape
	keeps := func(slots []jobs.Slot) bool { return p.book.Keeps(i, s, slots) }
	if slots, ok := p.first(p.free, j, keeps); ok {
		p.book.Take(i, s, slots)
		p.start(j, slots, "inside a guarantee")
		return true
	}
	if slots, ok := p.first(p.soon, j, keeps); ok {
		p.book.Take(i, s, slots)
		p.hold(j, slots)
		p.wait(j, "lent capacity is being reclaimed")
		return true
	}
	any := func(*lent) bool { return true }
	c, ok := p.cheapest(j, any, keeps)
	if !ok {
		c, ok = p.packed(j, i, any)
	}
	if !ok {
		return false
	}
	p.book.Take(i, s, c.slots)
	if len(c.victims) == 0 && p.fitsNow(s, c.slots) {
		p.start(j, c.slots, "inside a guarantee")
		return true
	}
	p.reclaim(j, c)
	return true
}

// lend serves a job outside guarantees.
func (p *plan) lend(j jobs.Job) {
	if j.Spec.Class != jobs.Urgent && p.starting >= max(minStarts, len(p.view.Workers)) {
		p.wait(j, "many gangs are starting")
		return
	}
	if !p.full[j.Spec.Shape] {
		if slots, ok := p.first(p.free, j, nil); ok {
			p.start(j, slots, "on lent capacity")
			return
		}
		// Free capacity only shrinks in a decision, so equal shapes need not
		// be tried again. A job that avoids workers says nothing of others.
		p.full[j.Spec.Shape] = len(j.FailedOn) == 0
	}
	gives := p.gives(&j)
	if gives == nil {
		p.stay(j, noPlace)
		return
	}
	if slots, ok := p.first(p.soon, j, nil); ok {
		p.hold(j, slots)
		p.wait(j, "capacity is being reclaimed")
		return
	}
	if c, ok := p.cheapest(j, gives, nil); ok {
		p.reclaim(j, c)
		return
	}
	p.stay(j, noPlace)
}

// first returns the best place on the workers for which keeps is true.
func (p *plan) first(workers []fleet.Worker, j jobs.Job, keeps func([]jobs.Slot) bool) ([]jobs.Slot, bool) {
	for _, slots := range fleet.Places(workers, j.Spec.Shape, maxPlaces, avoided(j)) {
		if keeps == nil || keeps(slots) {
			return slots, true
		}
	}
	return nil, false
}

// avoided keeps a job away from workers on which it has failed, so that a bad
// worker and a bad job can be told apart.
func avoided(j jobs.Job) func(ident.Worker) bool {
	if len(j.FailedOn) == 0 {
		return nil
	}
	return func(w ident.Worker) bool { return slices.Contains(j.FailedOn, w) }
}

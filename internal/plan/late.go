package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
)

// Under a load that the site cannot serve, work that ends too late to have any value
// takes the capacity of work that is late and still has some.

// lateness tells what value a unit can still have.
type lateness int

const (
	// inTime units can meet their deadline.
	inTime lateness = iota
	// late units can end within valueFactor times their objective.
	late
	// spent units can do neither.
	spent
)

const (
	// valueFactor times the objective is the time after which a job has no value. The
	// users' documentation gives 3 for all kinds of work.
	valueFactor = 3
	// maxSpentWait is the time after the end of its value after which the oldest
	// spent step of a service is ordered as one in time, so that it starts however
	// long the overload lasts. One such step runs at a time.
	maxSpentWait = time.Minute
)

// latenessOf returns the lateness of u by its expected run time and that of the steps
// that follow it.
func latenessOf(now time.Time, v *View, u graph.Unit) lateness {
	j := u.Progress.Job
	due, deadline := j.Due(u.Occurrence), v.deadline(u)
	end := now.Add(v.remainingPath(u))
	switch {
	case !end.After(deadline):
		return inTime
	case !end.After(due.Add(valueFactor * deadline.Sub(due))):
		return late
	}
	return spent
}

// remainingPath returns the expected time from the start of u to the end of its job:
// the longest path from its step to a last one.
func (v *View) remainingPath(u graph.Unit) time.Duration {
	steps := u.Progress.Job.Steps
	if u.Step == len(steps)-1 {
		return v.runTime(u)
	}
	// after[i] is the longest path that follows step i. Steps depend on preceding ones
	// only.
	after := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i > u.Step; i-- {
		path := after[i] + v.runTime(graph.Unit{Progress: u.Progress, Occurrence: u.Occurrence, Step: i})
		for _, a := range steps[i].After {
			after[a] = max(after[a], path)
		}
	}
	return v.runTime(u) + after[u.Step]
}

// IsSpent reports whether u can end only after its job has lost all value. Urgent units
// within the guarantee of their workspace never count as spent, since a guarantee holds
// whatever the value, nor do long-running ones, whose value does not come with their end.
func IsSpent(now time.Time, v *View, u graph.Unit) bool {
	j := u.Progress.Job
	if u.Spec().LongRunning || Urgent(j) && accelerators(u) <= v.Guarantees[j.Workspace] {
		return false
	}
	return latenessOf(now, v, u) == spent
}

// LatenessGroup returns the group of u in the order of OrderByLateness.
func LatenessGroup(now time.Time, v *View, u graph.Unit) int {
	l := latenessOf(now, v, u)
	if l == spent && !IsSpent(now, v, u) {
		l = late
	}
	return int(l)
}

// lateUnit is a unit with the properties that decide its place in the order.
type lateUnit struct {
	rankedUnit
	lateness lateness
}

// OrderByLateness sorts the waiting units as Order does, but has late units that can
// still end within valueFactor times their objective precede those that cannot.
func OrderByLateness(now time.Time, v *View) {
	list := rankByLateness(now, v)
	slices.SortStableFunc(list, func(a, b lateUnit) int {
		return cmp.Or(cmp.Compare(a.lateness, b.lateness), a.compare(&b.rankedUnit))
	})
	for i := range list {
		v.Waiting[i] = list[i].Unit
	}
}

// rankByLateness returns the waiting units with their ranks.
func rankByLateness(now time.Time, v *View) []lateUnit {
	list := make([]lateUnit, len(v.Waiting))
	for i, u := range v.Waiting {
		// The units of a step, which share their rank, are adjacent.
		if i > 0 && stepKeyOf(u) == stepKeyOf(v.Waiting[i-1]) {
			list[i] = list[i-1]
			list[i].Unit = u
			continue
		}
		j := u.Progress.Job
		l := lateUnit{rankedUnit: rankedUnit{Unit: u, urgent: Urgent(j), deadline: v.deadline(u)}}
		l.lateness = lateness(LatenessGroup(now, v, u))
		list[i] = l
	}
	promoteOldest(now, v, list)
	return list
}

// promoteOldest ranks the step of each service that has been spent for longest as in
// time if that was maxSpentWait ago. While such a step runs, it is that step.
func promoteOldest(now time.Time, v *View, list []lateUnit) {
	oldest := make(map[string]*lateUnit)
	for i := range list {
		l := &list[i]
		if l.lateness != spent || !v.overdue(now, l.Unit) {
			continue
		}
		service := l.Progress.Job.Service
		if o := oldest[service]; o == nil || l.deadline.Before(o.deadline) {
			oldest[service] = l
		}
	}
	if len(oldest) == 0 {
		return
	}
	running := v.overdueSteps(now)
	for service, o := range oldest {
		key, runs := running[service]
		if !runs {
			key = stepKeyOf(o.Unit)
		}
		for i := range list {
			if stepKeyOf(list[i].Unit) == key {
				list[i].lateness = inTime
			}
		}
	}
}

// overdueSteps returns an overdue step that runs, by service.
func (v *View) overdueSteps(now time.Time) map[string]stepKey {
	running := make(map[string]stepKey)
	for _, p := range v.Placements {
		if v.overdue(now, p.Unit) {
			running[p.Unit.Progress.Job.Service] = stepKeyOf(p.Unit)
		}
	}
	return running
}

// overdue reports whether the job of u lost its value maxSpentWait ago. Long-running units,
// which would hold the turn of the overdue ones for good, never count.
func (v *View) overdue(now time.Time, u graph.Unit) bool {
	if u.Spec().LongRunning {
		return false
	}
	due := u.Progress.Job.Due(u.Occurrence)
	return now.Sub(due) > valueFactor*v.deadline(u).Sub(due)+maxSpentWait
}

// yields reports whether u is spent and the accelerators that no waiting unit with value
// wants are too few for it. While under half of its service is in use no unit yields,
// since the users count a job as lost that has to wait then.
func (r *round) yields(u graph.Unit) bool {
	if r.IsSpent == nil || !r.IsSpent(r.now, r.View, u) {
		return false
	}
	service := u.Progress.Job.Service
	if r.overdue(r.now, u) && r.startsOverdue(service, stepKeyOf(u)) {
		return false
	}
	if r.unwanted == nil {
		r.unwanted = make(map[string]int64)
		r.Pool.Each(func(w *pool.Worker) {
			if !w.Closed && !r.now.Before(w.QuarantinedUntil) {
				r.unwanted[w.Service] += max(w.Free().Accelerators, 0)
			}
		})
		for _, waiting := range r.waitingWithValue {
			r.unwanted[waiting.Progress.Job.Service] -= accelerators(waiting)
		}
	}
	if accelerators(u) <= r.unwanted[service] {
		r.unwanted[service] -= accelerators(u)
		return false
	}
	return !r.isUnderHalfUsed(service)
}

// startsOverdue reports whether an overdue step may start whoever else waits: no other
// one of its service runs.
func (r *round) startsOverdue(service string, key stepKey) bool {
	if r.overdueRunning == nil {
		r.overdueRunning = r.overdueSteps(r.now)
	}
	running, runs := r.overdueRunning[service]
	return !runs || running == key
}

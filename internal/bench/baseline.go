package bench

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// Policies returns the default policy, which is the first, and the baselines.
func Policies() []sched.Policy {
	return []sched.Policy{
		sched.Default(),
		{Name: "firstFit", Decide: firstFit},
		{Name: "backfill", Decide: backfill},
	}
}

// firstFit starts jobs strictly in the order of submission on the first
// workers that fit. It reclaims gangs only when the domain is out of service.
func firstFit(_ time.Time, v *sched.View) []sched.Action {
	if !v.InService {
		return evacuate(v)
	}
	free := slices.Clone(v.Workers)
	var actions []sched.Action
	for _, j := range bySubmission(v.Waiting) {
		placements := fleet.InOrder(free, j.Spec.Shape, failedWorkers(j))
		if len(placements) == 0 {
			if !fleet.CanEver(v.Workers, j.Spec.Shape) {
				actions = append(actions, sched.Action{Kind: sched.Refuse, Job: *j})
				continue
			}
			return actions
		}
		adjustFree(free, j.Spec.Shape, placements[0], -1)
		actions = append(actions, sched.Action{Kind: sched.Place, Job: *j, Slots: placements[0]})
	}
	return actions
}

// backfill is EASY backfilling. It starts jobs in the order of submission, each
// with the placement that fleet.Fit prefers. The first job that does not fit gets
// a reservation for the placement that is free first by the declared run times. A
// later job may start if by its declared run time it ends before the reservation
// begins, or if it does not use the reserved capacity.
func backfill(now time.Time, v *sched.View) []sched.Action {
	if !v.InService {
		return evacuate(v)
	}
	free := slices.Clone(v.Workers)
	var actions []sched.Action
	var reservedFrom time.Time
	var spare []fleet.Worker
	blocked := make(map[shape.Shape]bool) // shapes that do not fit now
	for _, j := range bySubmission(v.Waiting) {
		s := j.Spec.Shape
		if blocked[s] {
			continue
		}
		slots, ok := fleet.Fit(free, s, failedWorkers(j))
		if !ok {
			blocked[s] = len(j.FailedOn) == 0
			if !fleet.CanEver(v.Workers, s) {
				actions = append(actions, sched.Action{Kind: sched.Refuse, Job: *j})
				blocked[s] = false
				continue
			}
			if spare == nil {
				reservedFrom, spare = reservation(now, v, free, j)
			}
			continue
		}
		if spare != nil && now.Add(j.Spec.RunTime).After(reservedFrom) {
			if slots, ok = fleet.Fit(spare, s, failedWorkers(j)); !ok {
				continue
			}
			adjustFree(spare, s, slots, -1)
		}
		adjustFree(free, s, slots, -1)
		actions = append(actions, sched.Action{Kind: sched.Place, Job: *j, Slots: slots})
	}
	return actions
}

// reservation returns the time from which j fits by the declared run times, and
// the workers with the capacity that is free now beside its placement. If j does
// not fit even after all gangs have ended, it reserves nothing.
func reservation(now time.Time, v *sched.View, free []fleet.Worker, j *jobs.Job) (time.Time, []fleet.Worker) {
	gangs := slices.Clone(v.Gangs)
	expectedEnd := func(g sched.Gang) time.Time {
		end := g.Job.Started.Add(g.Job.Spec.RunTime - g.Job.Saved)
		if end.Before(now) {
			return now
		}
		return end
	}
	slices.SortStableFunc(gangs, func(a, b sched.Gang) int { return expectedEnd(a).Compare(expectedEnd(b)) })
	future := slices.Clone(free)
	for _, g := range gangs {
		adjustFree(future, g.Job.Spec.Shape, g.Job.Slots, 1)
		if slots, ok := fleet.Fit(future, j.Spec.Shape, failedWorkers(j)); ok {
			spare := slices.Clone(free)
			adjustFree(spare, j.Spec.Shape, slots, -1)
			return expectedEnd(g), spare
		}
	}
	return now, slices.Clone(free)
}

// evacuate reclaims all gangs and moves each waiting job to the peer in service
// with the least waiting work beyond its free capacity.
func evacuate(v *sched.View) []sched.Action {
	var actions []sched.Action
	for _, g := range v.Gangs {
		if !g.Reclaiming {
			actions = append(actions, sched.Action{Kind: sched.Reclaim, Job: g.Job})
		}
	}
	peers := slices.Clone(v.Peers)
	for _, j := range bySubmission(v.Waiting) {
		best := -1
		for i, p := range peers {
			if p.InService && (best < 0 || p.Waiting-p.Free < peers[best].Waiting-peers[best].Free) {
				best = i
			}
		}
		if best >= 0 {
			peers[best].Waiting += j.Spec.Shape.Total().Accelerators
			actions = append(actions, sched.Action{Kind: sched.Move, Job: *j, To: peers[best].Domain})
		}
	}
	return actions
}

// bySubmission returns pointers to the jobs, sorted by the time of submission and
// the ID.
func bySubmission(waiting []jobs.Job) []*jobs.Job {
	sorted := make([]*jobs.Job, len(waiting))
	for i := range waiting {
		sorted[i] = &waiting[i]
	}
	slices.SortFunc(sorted, func(a, b *jobs.Job) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), strings.Compare(string(a.ID), string(b.ID)))
	})
	return sorted
}

// failedWorkers returns a filter for the workers on which j has failed.
func failedWorkers(j *jobs.Job) func(ident.Worker) bool {
	return func(w ident.Worker) bool { return slices.Contains(j.FailedOn, w) }
}

// adjustFree adds the resources of a gang of shape s on the slots, times sign, to
// the free resources of the workers.
func adjustFree(workers []fleet.Worker, s shape.Shape, slots []jobs.Slot, sign int) {
	for _, slot := range slots {
		for i := range workers {
			if workers[i].Spec.ID == slot.Worker {
				workers[i].Free = workers[i].Free.Add(s.Member.Times(sign * slot.Members))
			}
		}
	}
}

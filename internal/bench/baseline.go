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

// Policies returns the product's policy and the baselines.
func Policies() []sched.Policy {
	return []sched.Policy{
		sched.Default(),
		{Name: "firstFit", Decide: firstFit},
		{Name: "backfill", Decide: backfill},
	}
}

// firstFit starts jobs strictly in the order of submission on the first
// workers that fit, and reclaims nothing.
func firstFit(_ time.Time, v *sched.View) []sched.Action {
	if !v.InService {
		return evacuate(v)
	}
	free := slices.Clone(v.Workers)
	var actions []sched.Action
	for _, j := range fifo(v.Waiting) {
		places := fleet.InOrder(free, j.Spec.Shape, avoid(j))
		if len(places) == 0 {
			if !fleet.CanEver(v.Workers, j.Spec.Shape) {
				actions = append(actions, sched.Action{Kind: sched.Refuse, Job: *j})
				continue
			}
			return actions
		}
		change(free, j.Spec.Shape, places[0], -1)
		actions = append(actions, sched.Action{Kind: sched.Place, Job: *j, Slots: places[0]})
	}
	return actions
}

// backfill starts jobs in the order of submission on the tightest place. The
// first job that does not fit reserves the place that is free the earliest by
// the declared run times. Later jobs may start if by their declared run time
// they end before, or if they leave that place alone.
func backfill(now time.Time, v *sched.View) []sched.Action {
	if !v.InService {
		return evacuate(v)
	}
	free := slices.Clone(v.Workers)
	var actions []sched.Action
	var shadow time.Time
	var beside []fleet.Worker
	full := make(map[shape.Shape]bool) // shapes for which nothing is free
	for _, j := range fifo(v.Waiting) {
		s := j.Spec.Shape
		if full[s] {
			continue
		}
		slots, ok := fleet.Fit(free, s, avoid(j))
		if !ok {
			full[s] = len(j.FailedOn) == 0
			if !fleet.CanEver(v.Workers, s) {
				actions = append(actions, sched.Action{Kind: sched.Refuse, Job: *j})
				full[s] = false
				continue
			}
			if beside == nil {
				shadow, beside = reserve(now, v, free, j)
			}
			continue
		}
		if beside != nil && now.Add(j.Spec.RunTime).After(shadow) {
			if slots, ok = fleet.Fit(beside, s, avoid(j)); !ok {
				continue
			}
			change(beside, s, slots, -1)
		}
		change(free, s, slots, -1)
		actions = append(actions, sched.Action{Kind: sched.Place, Job: *j, Slots: slots})
	}
	return actions
}

// reserve returns the instant at which j fits by the declared run times, and
// what is free now beside its place.
func reserve(now time.Time, v *sched.View, free []fleet.Worker, j *jobs.Job) (time.Time, []fleet.Worker) {
	gangs := slices.Clone(v.Gangs)
	end := func(g sched.Gang) time.Time {
		e := g.Job.Started.Add(g.Job.Spec.RunTime - g.Job.Saved)
		if e.Before(now) {
			return now
		}
		return e
	}
	slices.SortStableFunc(gangs, func(a, b sched.Gang) int { return end(a).Compare(end(b)) })
	later := slices.Clone(free)
	for _, g := range gangs {
		change(later, g.Job.Spec.Shape, g.Job.Slots, 1)
		if slots, ok := fleet.Fit(later, j.Spec.Shape, avoid(j)); ok {
			beside := slices.Clone(free)
			change(beside, j.Spec.Shape, slots, -1)
			return end(g), beside
		}
	}
	return now, slices.Clone(free)
}

// evacuate takes all gangs down and moves the waiting jobs to the peer with the
// least waiting work.
func evacuate(v *sched.View) []sched.Action {
	var actions []sched.Action
	for _, g := range v.Gangs {
		if !g.Reclaiming {
			actions = append(actions, sched.Action{Kind: sched.Reclaim, Job: g.Job})
		}
	}
	peers := slices.Clone(v.Peers)
	for _, j := range fifo(v.Waiting) {
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

func fifo(waiting []jobs.Job) []*jobs.Job {
	sorted := make([]*jobs.Job, len(waiting))
	for i := range waiting {
		sorted[i] = &waiting[i]
	}
	slices.SortFunc(sorted, func(a, b *jobs.Job) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), strings.Compare(string(a.ID), string(b.ID)))
	})
	return sorted
}

func avoid(j *jobs.Job) func(ident.Worker) bool {
	return func(w ident.Worker) bool { return slices.Contains(j.FailedOn, w) }
}

func change(workers []fleet.Worker, s shape.Shape, slots []jobs.Slot, sign int) {
	for _, slot := range slots {
		for i := range workers {
			if workers[i].Spec.ID == slot.Worker {
				workers[i].Free = workers[i].Free.Add(s.Member.Times(sign * slot.Members))
			}
		}
	}
}

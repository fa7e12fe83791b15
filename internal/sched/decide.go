package sched

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
)

// Default returns the policy that the shard owners use.
func Default() Policy {
	return Policy{Name: "default", Decide: decide}
}

// decide considers the waiting jobs in order and places each one that fits.
func decide(_ time.Time, v *View) []Action {
	if !v.InService {
		return waitAll(v.Waiting, "the failure domain is out of service")
	}
	free := slices.Clone(v.Workers)
	var actions []Action
	for _, j := range ordered(v.Waiting) {
		slots, ok := fleet.Fit(free, j.Spec.Shape, avoided(j))
		if !ok {
			actions = append(actions, Action{Kind: Wait, Job: j, Reason: "no free place for " + j.Spec.Shape.String()})
			continue
		}
		take(free, j, slots)
		actions = append(actions, Action{Kind: Place, Job: j, Slots: slots, Reason: "fits"})
	}
	return actions
}

// ordered returns the jobs by class, then by the time of submission.
func ordered(waiting []jobs.Job) []jobs.Job {
	sorted := slices.Clone(waiting)
	slices.SortFunc(sorted, func(a, b jobs.Job) int {
		return cmp.Or(
			cmp.Compare(a.Spec.Class, b.Spec.Class),
			a.Submitted.Compare(b.Submitted),
			strings.Compare(string(a.Workspace), string(b.Workspace)),
			strings.Compare(string(a.ID), string(b.ID)),
		)
	})
	return sorted
}

// avoided keeps a job away from workers on which it has failed, so that a bad
// worker and a bad job can be told apart.
func avoided(j jobs.Job) func(ident.Worker) bool {
	return func(w ident.Worker) bool { return slices.Contains(j.FailedOn, w) }
}

// take subtracts the slots from the free resources of the workers.
func take(workers []fleet.Worker, j jobs.Job, slots []jobs.Slot) {
	for _, s := range slots {
		i := slices.IndexFunc(workers, func(w fleet.Worker) bool { return w.Spec.ID == s.Worker })
		workers[i].Free = workers[i].Free.Sub(j.Spec.Shape.Member.Times(s.Members))
	}
}

func waitAll(waiting []jobs.Job, reason string) []Action {
	var actions []Action
	for _, j := range waiting {
		actions = append(actions, Action{Kind: Wait, Job: j, Reason: reason})
	}
	return actions
}

package owner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/sched"
)

// decideActions asks the policy for the actions of this round. The policy is not
// called if the domain is in service and no job waits.
func (s *Shard) decideActions(_ context.Context, r *round) error {
	v := s.view(r)
	if len(v.Waiting) > 0 || !v.InService {
		s.addGangs(r, v)
		v.Peers, v.CompletedRuns = s.deps.Peers(), s.completedRuns()
		sched.SortView(v)
		r.actions = s.deps.Policy.Decide(r.now, v)
	}
	s.updateSummary(v)
	return nil
}

// view returns the state of the shard for the policy, without the gangs, the
// peers and the completed runs.
func (s *Shard) view(r *round) *sched.View {
	domain, known := r.config.Domain(s.deps.Domain)
	v := &sched.View{
		Domain:     s.deps.Domain,
		InService:  known && domain.InService,
		Guarantees: quota.HomesIn(r.config, s.deps.Domain),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tw := range s.workers {
		w := tw.policyView()
		if w.Health == fleet.Healthy && s.failureTracker.IsQuarantined(w.Spec.ID, r.now) {
			w.Health = fleet.Quarantined
		}
		v.Workers = append(v.Workers, w)
	}
	for _, rec := range s.jobs {
		if rec.job.State == jobs.Pending && !rec.job.CancelRequested {
			v.Waiting = append(v.Waiting, rec.job)
		}
	}
	return v
}

// addGangs adds the jobs that hold workers. They are added only if the policy is
// called, because they make up most of the view.
func (s *Shard) addGangs(r *round, v *sched.View) {
	for _, rec := range s.placedJobs() {
		verdict := r.verdicts[keyOf(rec.job)]
		v.Gangs = append(v.Gangs, sched.Gang{Job: rec.job, Progress: verdict.Progress, Saved: verdict.Saved})
	}
}

// policyView returns the worker for the policy. Only a worker that answered in
// this round and is fenced can take new work.
func (tw *trackedWorker) policyView() fleet.Worker {
	w := fleet.Worker{Spec: tw.spec, Free: tw.spec.Capacity, Health: fleet.Healthy}
	if !tw.answered || !tw.fenced {
		w.Health = fleet.Silent
	}
	for _, st := range tw.report.Statuses {
		if st.State.Holds() {
			w.Free = w.Free.Sub(st.Member.Times(st.Members))
		}
	}
	return w
}

// unmetGuarantees returns a reason for each guarantee that does not fit on the
// workers in service. The check is repeated only when the workers in service or
// the guarantees change.
func (s *Shard) unmetGuarantees(v *sched.View) []string {
	var healthy []ident.Worker
	for _, w := range v.Workers {
		if w.Health == fleet.Healthy {
			healthy = append(healthy, w.Spec.ID)
		}
	}
	slices.Sort(healthy)
	s.mu.Lock()
	last := s.lastUnmet
	s.mu.Unlock()
	if slices.Equal(last.healthy, healthy) && slices.Equal(last.guarantees, v.Guarantees) {
		return last.reasons
	}
	next := unmetResult{healthy: healthy, guarantees: v.Guarantees}
	for _, c := range quota.Unmet(v.Workers, v.Guarantees) {
		next.reasons = append(next.reasons, fmt.Sprintf(
			"%s/%s: %d of %v do not fit on the workers in service", c.Workspace, c.Name, c.Count, c.Shape))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUnmet = next
	return next.reasons
}

func (s *Shard) completedRuns() []sched.CompletedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runHistory)
}

// recordRunTime records the run time of a job that is done.
func (s *Shard) recordRunTime(j jobs.Job, actual time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runHistory = append(s.runHistory, sched.CompletedRun{
		Workspace: j.Workspace, Class: j.Spec.Class, Declared: j.Spec.RunTime, Actual: actual,
	})
	s.runHistory = s.runHistory[max(len(s.runHistory)-runHistoryLimit, 0):]
}

func (s *Shard) updateSummary(v *sched.View) {
	sum := sched.Summary{
		Domain: s.deps.Domain, Workers: len(v.Workers),
		WaitingJobs: len(v.Waiting), RunningJobs: len(s.placedJobs()),
	}
	for _, w := range v.Workers {
		if w.Health == fleet.Healthy {
			sum.Accelerators += w.Spec.Capacity.Accelerators
			sum.FreeAccelerators += w.Free.Accelerators
		}
	}
	for _, j := range v.Waiting {
		sum.WaitingAccelerators += j.Spec.Shape.Total().Accelerators
	}
	sum.Unmet = s.unmetGuarantees(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	sum.Epoch = s.epoch
	s.summary = sum
}

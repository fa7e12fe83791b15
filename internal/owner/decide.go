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

// decide asks the policy what to do with the present state.
func (s *Shard) decide(_ context.Context, r *round) error {
	v := s.view(r)
	if len(v.Waiting) > 0 || !v.InService {
		s.addGangs(r, v)
		v.Peers, v.Past = s.deps.Peers(), s.pastRuns()
		sched.SortView(v)
		r.actions = s.deps.Policy.Decide(r.now, v)
	}
	s.summarise(v)
	return nil
}

// view returns the state of the shard as the policy sees it.
func (s *Shard) view(r *round) *sched.View {
	domain, known := r.config.Domain(s.deps.Domain)
	v := &sched.View{
		Domain:     s.deps.Domain,
		InService:  known && domain.InService,
		Guarantees: quota.HomesIn(r.config, s.deps.Domain),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.workers {
		w := t.viewed()
		if w.Health == fleet.Healthy && s.records.IsBarred(w.Spec.ID, r.now) {
			w.Health = fleet.Barred
		}
		v.Workers = append(v.Workers, w)
	}
	for _, h := range s.jobs {
		if h.job.State == jobs.Pending && !h.job.CancelRequested {
			v.Waiting = append(v.Waiting, h.job)
		}
	}
	return v
}

// addGangs adds the jobs that hold workers. They are left out of a round with
// nothing to place, because they are most of the view.
func (s *Shard) addGangs(r *round, v *sched.View) {
	for _, h := range s.placed() {
		verdict := r.verdicts[keyOf(h.job)]
		v.Gangs = append(v.Gangs, sched.Gang{Job: h.job, Progress: verdict.Progress, Saved: verdict.Saved})
	}
}

// viewed returns the worker as the policy sees it. Only a worker that answered
// in this round and is fenced can take new work.
func (t *tracked) viewed() fleet.Worker {
	w := fleet.Worker{Spec: t.spec, Free: t.spec.Capacity, Health: fleet.Healthy}
	if !t.answered || !t.fenced {
		w.Health = fleet.Silent
	}
	for _, st := range t.report.Statuses {
		if st.State.Holds() {
			w.Free = w.Free.Sub(st.Member.Times(st.Members))
		}
	}
	return w
}

// unmetIn returns the guarantees that do not fit on the workers in service. The
// check is repeated only when the workers in service or the guarantees change.
func (s *Shard) unmetIn(v *sched.View) []string {
	var healthy []ident.Worker
	for _, w := range v.Workers {
		if w.Health == fleet.Healthy {
			healthy = append(healthy, w.Spec.ID)
		}
	}
	slices.Sort(healthy)
	s.mu.Lock()
	last := s.unmet
	s.mu.Unlock()
	if slices.Equal(last.healthy, healthy) && slices.Equal(last.claims, v.Guarantees) {
		return last.reasons
	}
	next := unmet{healthy: healthy, claims: v.Guarantees}
	for _, c := range quota.Unmet(v.Workers, v.Guarantees) {
		next.reasons = append(next.reasons, fmt.Sprintf(
			"%s/%s: %d of %v do not fit on the workers in service", c.Workspace, c.Name, c.Count, c.Shape))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unmet = next
	return next.reasons
}

func (s *Shard) pastRuns() []sched.Past {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.past)
}

// learn keeps the run time of a job that is done.
func (s *Shard) learn(j jobs.Job, actual time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past = append(s.past, sched.Past{
		Workspace: j.Workspace, Class: j.Spec.Class, Declared: j.Spec.RunTime, Actual: actual,
	})
	s.past = s.past[max(len(s.past)-pastKept, 0):]
}

func (s *Shard) summarise(v *sched.View) {
	sum := sched.Summary{
		Domain: s.deps.Domain, Workers: len(v.Workers),
		WaitingJobs: len(v.Waiting), RunningJobs: len(s.placed()),
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
	sum.Unmet = s.unmetIn(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	sum.Epoch = s.epoch
	s.summary = sum
}

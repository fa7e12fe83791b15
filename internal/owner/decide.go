package owner

import (
	"context"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/gang"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/sched"
)

// decide asks the policy what to do with the present state.
func (s *Shard) decide(_ context.Context, r *round) error {
	v := s.view(r)
	r.actions = s.deps.Policy.Decide(r.now, v)
	s.summarise(v)
	return nil
}

// view returns the state of the shard as the policy sees it.
func (s *Shard) view(r *round) *sched.View {
	domain, known := r.config.Domain(s.deps.Domain)
	v := &sched.View{
		Domain:     s.deps.Domain,
		InService:  known && domain.InService,
		Guarantees: homesIn(r.config, s.deps.Domain),
	}
	for _, h := range s.placed() {
		verdict := gang.Judge(r.now, h.job, func(w ident.Worker) gang.Sight { return s.see(h.job, w) })
		v.Gangs = append(v.Gangs, sched.Gang{Job: h.job, Progress: verdict.Progress, Saved: verdict.Saved})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.workers {
		v.Workers = append(v.Workers, t.viewed())
	}
	for _, h := range s.jobs {
		if h.job.State == jobs.Pending && !h.job.CancelRequested {
			v.Waiting = append(v.Waiting, h.job)
		}
	}
	sched.SortView(v)
	return v
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

// homesIn returns the guaranteed shapes that have their home in the domain.
func homesIn(c *config.Config, d ident.Domain) []sched.Home {
	var homes []sched.Home
	for _, w := range c.Workspaces {
		for _, g := range w.Guarantees {
			n := 0
			for _, home := range g.Homes {
				if home == d {
					n++
				}
			}
			if n > 0 {
				homes = append(homes, sched.Home{Workspace: w.Name, Name: g.Name, Shape: g.Shape, Count: n})
			}
		}
	}
	return homes
}

func (s *Shard) summarise(v *sched.View) {
	sum := sched.Summary{
		Domain: s.deps.Domain, Workers: len(v.Workers),
		WaitingJobs: len(v.Waiting), RunningJobs: len(v.Gangs),
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
	s.mu.Lock()
	defer s.mu.Unlock()
	sum.Epoch = s.epoch
	s.summary = sum
}

package matrix

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/sched"
)

// policy returns the policy of the instance's shards. Its decisions count as
// calls, so that a fault can begin between a decision and its first message.
func (in *Instance) policy() sched.Policy {
	p := WithReclaim(sched.Default())
	if in.world.setup.Policy != nil {
		p = in.world.setup.Policy()
	}
	decide := p.Decide
	p.Decide = func(now time.Time, v *sched.View) []sched.Action {
		actions := decide(now, v)
		in.report(v.Domain, actions, sched.Place, OpPlace)
		in.report(v.Domain, actions, sched.Reclaim, OpReclaim)
		return actions
	}
	return p
}

func (in *Instance) report(d ident.Domain, actions []sched.Action, k sched.Kind, op Op) {
	if !slices.ContainsFunc(actions, func(a sched.Action) bool { return a.Kind == k }) {
		return
	}
	n := in.world.net
	if n.Before != nil {
		n.Before(Call{From: in.self.Instance, To: string(d), Region: regionOf(d), Op: op})
	}
	n.pass(in.self.Instance)
}

// WithReclaim adds to a policy that a guaranteed job whose shape has its home
// in the domain takes the places of work on lent capacity. It stands for the
// reclaim of the product's policy, which sched.Default does not have yet, and
// leaves a decision alone that reclaims already.
func WithReclaim(p sched.Policy) sched.Policy {
	return sched.Policy{Name: p.Name + "Reclaim", Decide: func(now time.Time, v *sched.View) []sched.Action {
		actions := p.Decide(now, v)
		if !v.InService || slices.ContainsFunc(actions, func(a sched.Action) bool { return a.Kind == sched.Reclaim }) {
			return actions
		}
		for _, a := range actions {
			if a.Kind == sched.Wait && a.Job.Spec.Guaranteed && hasHome(v, a) {
				return append(actions, reclaimFor(v, a)...)
			}
		}
		return actions
	}}
}

func hasHome(v *sched.View, a sched.Action) bool {
	return slices.ContainsFunc(v.Guarantees, func(h sched.Home) bool {
		return h.Workspace == a.Job.Workspace && h.Shape == a.Job.Spec.Shape
	})
}

// reclaimFor takes gangs on lent capacity down until the job fits.
func reclaimFor(v *sched.View, a sched.Action) []sched.Action {
	free := slices.Clone(v.Workers)
	var actions []sched.Action
	for _, g := range v.Gangs {
		if g.Job.Spec.Guaranteed {
			continue
		}
		if _, ok := fleet.Fit(free, a.Job.Spec.Shape, nil); ok {
			break
		}
		for _, s := range g.Job.Slots {
			i := slices.IndexFunc(free, func(w fleet.Worker) bool { return w.Spec.ID == s.Worker })
			if i >= 0 {
				free[i].Free = free[i].Free.Add(g.Job.Spec.Shape.Member.Times(s.Members))
			}
		}
		actions = append(actions, sched.Action{Kind: sched.Reclaim, Job: g.Job, Reason: "guarantee of " + string(a.Job.ID)})
	}
	return actions
}

package matrix

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/sched"
)

// policy returns the policy of the instance's shards. Its decisions count as
// calls, so that a fault can begin between a decision and its first message.
func (in *Instance) policy() sched.Policy {
	p := sched.Default()
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

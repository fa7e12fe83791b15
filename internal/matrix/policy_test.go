package matrix

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/sched"
)

// policy returns the policy of the instance's shards. Its decisions to place and
// to reclaim count as calls, so that a fault can begin between a decision and
// the first message that carries it out.
func (in *Instance) policy() sched.Policy {
	p := sched.Default()
	if in.sim.setup.Policy != nil {
		p = in.sim.setup.Policy()
	}
	decide := p.Decide
	p.Decide = func(now time.Time, v *sched.View) []sched.Action {
		actions := decide(now, v)
		in.reportDecision(v.Domain, actions, sched.Place, OpPlace)
		in.reportDecision(v.Domain, actions, sched.Reclaim, OpReclaim)
		return actions
	}
	return p
}

// reportDecision reports a call to the network if the actions include one of the
// kind, and blocks while the instance is paused.
func (in *Instance) reportDecision(d ident.Domain, actions []sched.Action, k sched.Kind, op Op) {
	if !slices.ContainsFunc(actions, func(a sched.Action) bool { return a.Kind == k }) {
		return
	}
	n := in.sim.network
	if n.BeforeEffect != nil {
		n.BeforeEffect(Call{From: in.self.Instance, To: string(d), Region: regionOf(d), Op: op})
	}
	n.awaitRunning(in.self.Instance)
}

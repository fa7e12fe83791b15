package sched

import (
	"cmp"
	"slices"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// reclaimsAtOnce bounds the gangs of a domain that save their progress at the
// same time when the domain goes out of service.
const reclaimsAtOnce = 8

// leave empties a domain that is out of service: gangs are reclaimed in the
// order that loses the least work, and waiting jobs move.
func leave(v *View) []Action {
	var actions []Action
	var gangs []*Gang
	under := 0
	for i := range v.Gangs {
		if v.Gangs[i].Reclaiming {
			under++
		} else {
			gangs = append(gangs, &v.Gangs[i])
		}
	}
	slices.SortStableFunc(gangs, func(a, b *Gang) int {
		return cmp.Or(cmp.Compare(lost(a), lost(b)), compareAge(&a.Job, &b.Job))
	})
	for _, g := range gangs[:min(len(gangs), max(reclaimsAtOnce-under, 0))] {
		actions = append(actions, Action{Kind: Reclaim, Job: g.Job, Reason: "the failure domain is out of service"})
	}
	peers := slices.Clone(v.Peers)
	for _, j := range v.Waiting {
		if to, ok := target(peers, j); ok {
			actions = append(actions, Action{Kind: Move, Job: j, To: to, Reason: "the failure domain is out of service"})
			continue
		}
		actions = append(actions, Action{Kind: Wait, Job: j, Reason: "the failure domain is out of service"})
	}
	return actions
}

// target returns the domain in service that can hold j and whose waiting work
// is the smallest share of its capacity. The sums in peers are raised by j, so
// that the jobs of one decision spread over the domains.
func target(peers []Peer, j jobs.Job) (ident.Domain, bool) {
	return pick(peers, j, func(Peer) bool { return true })
}

// roomy is target among the domains with enough free accelerators for j beside
// what waits there.
func roomy(peers []Peer, j jobs.Job) (ident.Domain, bool) {
	need := j.Spec.Shape.Total().Accelerators
	return pick(peers, j, func(p Peer) bool { return p.Free-p.Waiting >= need })
}

func pick(peers []Peer, j jobs.Job, fits func(Peer) bool) (ident.Domain, bool) {
	best := -1
	for i, p := range peers {
		if !p.InService || !fits(p) || !canEver(p.Workers, j) {
			continue
		}
		if best < 0 || load(p) < load(peers[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	peers[best].Waiting += j.Spec.Shape.Total().Accelerators
	return peers[best].Domain, true
}

// load is the work that waits in a domain beyond its free capacity, for each
// accelerator.
func load(p Peer) float64 {
	sum := 0
	for _, w := range p.Workers {
		sum += w.Capacity.Accelerators
	}
	return float64(p.Waiting-p.Free) / float64(max(sum, 1))
}

func canEver(workers []worker.Spec, j jobs.Job) bool {
	empty := make([]fleet.Worker, len(workers))
	for i, w := range workers {
		empty[i] = fleet.Worker{Spec: w}
	}
	return fleet.CanEver(empty, j.Spec.Shape)
}

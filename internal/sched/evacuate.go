package sched

import (
	"cmp"
	"slices"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// maxConcurrentReclaims bounds the gangs that checkpoint at the same time while
// a domain is evacuated.
const maxConcurrentReclaims = 8

// evacuate empties a domain that is out of service: gangs are reclaimed in
// ascending order of lost work, and waiting jobs move to other domains.
func evacuate(v *View) []Action {
	var actions []Action
	var gangs []*Gang
	reclaiming := 0
	for i := range v.Gangs {
		if v.Gangs[i].Reclaiming {
			reclaiming++
		} else {
			gangs = append(gangs, &v.Gangs[i])
		}
	}
	slices.SortStableFunc(gangs, func(a, b *Gang) int {
		return cmp.Or(cmp.Compare(reclaimCost(a), reclaimCost(b)), compareSubmission(&a.Job, &b.Job))
	})
	for _, g := range gangs[:min(len(gangs), max(maxConcurrentReclaims-reclaiming, 0))] {
		actions = append(actions, Action{Kind: Reclaim, Job: g.Job, Reason: "the failure domain is out of service"})
	}
	peers := slices.Clone(v.Peers)
	for _, j := range v.Waiting {
		if to, ok := leastLoadedPeer(peers, j); ok {
			actions = append(actions, Action{Kind: Move, Job: j, To: to, Reason: "the failure domain is out of service"})
			continue
		}
		actions = append(actions, Action{Kind: Wait, Job: j, Reason: "the failure domain is out of service"})
	}
	return actions
}

// leastLoadedPeer returns the domain in service that can hold j and has the
// lowest backlog. It adds j to the waiting accelerators of that peer, so that
// the jobs of one decision spread over the domains.
func leastLoadedPeer(peers []Peer, j jobs.Job) (ident.Domain, bool) {
	return pickPeer(peers, j, func(Peer) bool { return true })
}

// leastLoadedPeerWithCapacity is leastLoadedPeer restricted to the domains whose
// free accelerators suffice for j in addition to the jobs that wait there.
func leastLoadedPeerWithCapacity(peers []Peer, j jobs.Job) (ident.Domain, bool) {
	need := j.Spec.Shape.Total().Accelerators
	return pickPeer(peers, j, func(p Peer) bool { return p.Free-p.Waiting >= need })
}

// pickPeer returns the peer with the lowest backlog among those that are in
// service, can hold j when empty and satisfy fits.
func pickPeer(peers []Peer, j jobs.Job, fits func(Peer) bool) (ident.Domain, bool) {
	best := -1
	for i, p := range peers {
		if !p.InService || !fits(p) || !canEverRun(p.Workers, j) {
			continue
		}
		if best < 0 || backlog(p) < backlog(peers[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	peers[best].Waiting += j.Spec.Shape.Total().Accelerators
	return peers[best].Domain, true
}

// backlog returns the waiting accelerators of a domain beyond its free ones, as
// a fraction of all its accelerators.
func backlog(p Peer) float64 {
	capacity := 0
	for _, w := range p.Workers {
		capacity += w.Capacity.Accelerators
	}
	return float64(p.Waiting-p.Free) / float64(max(capacity, 1))
}

// canEverRun reports whether j fits on the workers when all of them are free
// and healthy.
func canEverRun(workers []worker.Spec, j jobs.Job) bool {
	empty := make([]fleet.Worker, len(workers))
	for i, w := range workers {
		empty[i] = fleet.Worker{Spec: w}
	}
	return fleet.CanEver(empty, j.Spec.Shape)
}

package bench

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/sched"
)

// decide asks the policy for a decision on the shard and applies its actions.
func (sim *simulation) decide(s *shard) {
	v := sim.view(s)
	actions := sim.policy.Decide(sim.now, &v)
	s.changed = false
	s.lastDecision = sim.now
	for _, a := range actions {
		sim.apply(s, a)
	}
	sim.checker.checkClaimsFit(sim, s)
}

func (sim *simulation) view(s *shard) sched.View {
	v := sched.View{
		Domain:        s.domain,
		InService:     s.inService,
		Workers:       slices.Clone(s.workers),
		Guarantees:    quota.HomesIn(sim.config, s.domain),
		CompletedRuns: sim.completedRuns,
		Waiting:       make([]jobs.Job, 0, len(s.waiting)),
	}
	for _, q := range s.waiting {
		v.Waiting = append(v.Waiting, q.job)
	}
	for _, g := range s.gangs {
		v.Gangs = append(v.Gangs, sched.Gang{
			Job: g.job, Progress: g.progress(sim.now), Saved: g.checkpointedProgress(sim.now), Reclaiming: !g.stopsAt.IsZero(),
		})
	}
	for _, o := range sim.shards {
		if o != s {
			v.Peers = append(v.Peers, o.peer())
		}
	}
	return v
}

func (s *shard) peer() sched.Peer {
	p := sched.Peer{Domain: s.domain, InService: s.inService, Waiting: s.queuedAccelerators(), Workers: s.specs}
	for _, x := range s.workers {
		if x.Health == fleet.Healthy {
			p.Free += x.Free.Accelerators
		}
	}
	return p
}

func (s *shard) queuedAccelerators() int {
	n := 0
	for _, q := range s.waiting {
		n += q.job.Spec.Shape.Total().Accelerators
	}
	return n
}

func (sim *simulation) apply(s *shard, a sched.Action) {
	switch a.Kind {
	case sched.Place:
		sim.place(s, a)
	case sched.Reclaim:
		for _, g := range s.gangs {
			if sameJob(g.job, a.Job) && g.stopsAt.IsZero() {
				g.stopsAt = sim.now.Add(stopDelay)
				sim.stats.reclaims++
			}
		}
	case sched.Move:
		if q := s.dequeue(a.Job); q != nil {
			sim.move(a, q)
		}
	case sched.Wait:
		for _, q := range s.waiting {
			if sameJob(q.job, a.Job) {
				q.waitReason = a.Reason
			}
		}
	case sched.Refuse:
		if q := s.dequeue(a.Job); q != nil {
			sim.unfinished--
			sim.stats.refused++
		}
	}
}

func (sim *simulation) move(a sched.Action, q *request) {
	for _, o := range sim.shards {
		if o.domain == a.To {
			o.waiting = append(o.waiting, q)
			o.changed = true
		}
	}
}

func (sim *simulation) place(s *shard, a sched.Action) {
	q := s.dequeue(a.Job)
	if q == nil {
		return
	}
	q.job.State = jobs.Starting
	q.job.Attempt++
	q.job.Started = sim.now
	q.job.Slots = a.Slots
	g := &gang{request: q, startsAt: sim.now.Add(startDelay)}
	if q.job.Saved > 0 {
		g.startsAt = g.startsAt.Add(resumeDelay)
		sim.stats.addLost(sim.now, resumeDelay, q.job.Spec.Shape)
	}
	if slices.ContainsFunc(a.Slots, func(x jobs.Slot) bool { return sim.badWorkers[x.Worker] }) {
		g.failsAt = g.startsAt.Add(failDelay)
	}
	s.adjustFree(q.job, -1)
	s.gangs = append(s.gangs, g)
	sim.checker.checkStart(sim, s, g)
	sim.stats.recordStart(q, g.startsAt)
}

func (s *shard) dequeue(j jobs.Job) *request {
	i := slices.IndexFunc(s.waiting, func(q *request) bool { return sameJob(q.job, j) })
	if i < 0 {
		return nil
	}
	q := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return q
}

func sameJob(a, b jobs.Job) bool { return a.ID == b.ID && a.Workspace == b.Workspace }

// assign chooses the shard for a submitted job, as the submit path does: a
// guaranteed job goes to the shard with the most unused claims for it. Other
// jobs, and ties, go to the shard in service with the least waiting work beyond
// its free capacity, per worker. A job that fits in no shard in service is
// refused.
func (sim *simulation) assign(q *request) {
	var best *shard
	mostUnused, lowestLoad := 0, 0.0
	for _, s := range sim.shards {
		if !s.inService || !s.canHold(q.job) {
			continue
		}
		unused := 0
		if q.job.Spec.Guaranteed {
			unused = max(sim.unusedClaims(s, q.job), 0)
		}
		load := float64(s.queuedAccelerators()-s.peer().Free) / float64(len(s.workers))
		if best == nil || unused > mostUnused || (unused == mostUnused && load < lowestLoad) {
			best, mostUnused, lowestLoad = s, unused, load
		}
	}
	if best == nil {
		sim.unfinished--
		sim.stats.refused++
		return
	}
	best.waiting = append(best.waiting, q)
	best.changed = true
}

// unusedClaims returns the number of claims with their home in s that cover j,
// less the guaranteed jobs of its workspace that wait or run there.
func (sim *simulation) unusedClaims(s *shard, j jobs.Job) int {
	n := 0
	for _, c := range quota.HomesIn(sim.config, s.domain) {
		if c.Workspace == j.Workspace && quota.Covers(c.Shape, j.Spec.Shape) {
			n += c.Count
		}
	}
	for _, q := range s.waiting {
		if q.job.Spec.Guaranteed && q.job.Workspace == j.Workspace {
			n--
		}
	}
	for _, g := range s.gangs {
		if g.job.Spec.Guaranteed && g.job.Workspace == j.Workspace {
			n--
		}
	}
	return n
}

// canHold reports whether j fits in the shard when all of its workers are free
// and healthy.
func (s *shard) canHold(j jobs.Job) bool {
	return fleet.CanEver(s.workers, j.Spec.Shape)
}

// makespanLowerBound returns a lower bound of the time in which the requests can
// be completed: no job ends before its arrival plus its run time, and the jobs
// that arrive from some time on need at least their total accelerator time
// divided by the number of accelerators. Cancelled jobs are left out.
func makespanLowerBound(requests []*request, accelerators int) time.Duration {
	var bound, work time.Duration
	for _, q := range slices.Backward(requests) {
		if q.cancelledInWave {
			continue
		}
		work += q.actualRunTime * time.Duration(q.job.Spec.Shape.Total().Accelerators)
		bound = max(bound, q.arrival+q.actualRunTime, q.arrival+work/time.Duration(accelerators))
	}
	return bound
}

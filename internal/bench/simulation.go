package bench

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// simulation is one run of a workload on a cluster under a policy.
	simulation struct {
		cluster       cluster
		workload      Workload
		policy        sched.Policy
		config        *config.Config
		specs         []worker.Spec
		shards        []*shard
		badWorkers    map[ident.Worker]bool // every task fails on them
		arrivals      []*request
		completedRuns []sched.CompletedRun
		now           time.Time
		unfinished    int // jobs that have not ended, including those yet to arrive
		stats         *stats
		checker       *checker
		homesAssigned time.Time // time of the last assignment of homes
	}

	// shard is a failure domain with its queue, gangs and workers.
	shard struct {
		domain              ident.Domain
		inService           bool
		workers             []fleet.Worker
		specs               []worker.Spec
		consecutiveFailures map[ident.Worker]int
		quarantinedUntil    map[ident.Worker]time.Time
		waiting             []*request
		gangs               []*gang
		changed             bool // since the last decision
		lastDecision        time.Time
	}

	// gang is an attempt of a job that holds slots, from its placement on.
	gang struct {
		*request
		startsAt time.Time
		// stopsAt is the end of its reclaim, or zero.
		stopsAt time.Time
		// failsAt is the time at which it fails on a bad worker, or zero.
		failsAt time.Time
		// startedWithoutClaim is set by the checker if no claim was left for it
		// when it started.
		startedWithoutClaim bool
	}
)

const (
	// tick is the step of virtual time.
	tick = 500 * time.Millisecond
	// startDelay is the time to reserve the slots of a gang, commit its attempt
	// and start its tasks.
	startDelay = 500 * time.Millisecond
	// resumeDelay is the time to load a checkpoint before an attempt resumes.
	resumeDelay = 5 * time.Second
	// stopDelay is the time to checkpoint and stop a gang.
	stopDelay = 2 * time.Second
	// checkpointInterval is the interval of the checkpoints that a job makes
	// by itself.
	checkpointInterval = 2 * time.Minute
	// failDelay is the time from the start of a task on a bad worker to its
	// failure.
	failDelay = 5 * time.Second
	// quarantineAfter is the number of consecutive failures after which a
	// worker is quarantined, and quarantinePeriod the time until it is used
	// again. One more failure then quarantines it anew.
	quarantineAfter  = 3
	quarantinePeriod = 10 * time.Minute
	// maxDecisionInterval is the longest time between two decisions of a shard.
	maxDecisionInterval = 5 * time.Second
	// maxHistory bounds the finished jobs in a view.
	maxHistory = 200
	// maxDuration is the virtual time after which a simulation ends even if
	// jobs are unfinished.
	maxDuration = 4 * time.Hour
)

// start is the first instant of virtual time.
var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newSimulation(c cluster, workload Workload, policy sched.Policy, seed uint64) *simulation {
	specs := c.workers()
	sim := &simulation{
		cluster: c, workload: workload, policy: policy, specs: specs,
		config:     quota.AssignHomes(c.config(), specs),
		arrivals:   workload.generate(c, seed),
		now:        start,
		stats:      newStats(c, workload),
		checker:    newChecker(),
		badWorkers: make(map[ident.Worker]bool),
	}
	sim.unfinished = len(sim.arrivals)
	sim.stats.makespanBound = makespanLowerBound(sim.arrivals, c.totalAccelerators())
	for i, s := range specs {
		if workload.badWorkerShare > 0 && (i*7+int(seed))%int(1/workload.badWorkerShare) == 0 {
			sim.badWorkers[s.ID] = true
		}
	}
	for _, d := range c.domains {
		s := &shard{domain: d, inService: true, changed: true, consecutiveFailures: make(map[ident.Worker]int), quarantinedUntil: make(map[ident.Worker]time.Time)}
		for _, spec := range specs {
			if spec.Domain == d {
				s.specs = append(s.specs, spec)
				s.workers = append(s.workers, fleet.Worker{Spec: spec, Free: spec.Capacity})
			}
		}
		sim.shards = append(sim.shards, s)
	}
	return sim
}

// run advances virtual time until all jobs have ended or maxDuration is
// reached, and returns the statistics.
func (sim *simulation) run() *stats {
	for sim.unfinished > 0 && sim.now.Sub(start) < maxDuration {
		sim.admitArrivals()
		sim.applyEvents()
		for _, s := range sim.shards {
			sim.advance(s)
		}
		for _, s := range sim.shards {
			if s.changed || sim.now.Sub(s.lastDecision) >= maxDecisionInterval {
				sim.decide(s)
			}
		}
		sim.stats.accumulate(sim)
		sim.checker.checkWaits(sim)
		sim.now = sim.now.Add(tick)
	}
	sim.stats.breaches = sim.checker.breaches
	sim.stats.breachMessages = sim.checker.breachMessages
	sim.stats.unfinished = sim.unfinished
	return sim.stats
}

func (sim *simulation) admitArrivals() {
	for len(sim.arrivals) > 0 && !start.Add(sim.arrivals[0].arrival).After(sim.now) {
		sim.assign(sim.arrivals[0])
		sim.arrivals = sim.arrivals[1:]
	}
}

// applyEvents takes the first domain out of service and back and cancels jobs
// when the workload asks for it, and ends quarantines that have expired.
func (sim *simulation) applyEvents() {
	at := sim.now.Sub(start)
	if sim.workload.outageStart > 0 && at == sim.workload.outageStart {
		sim.setInService(sim.shards[0], false)
	}
	if sim.workload.outageEnd > 0 && at == sim.workload.outageEnd {
		sim.setInService(sim.shards[0], true)
	}
	if sim.workload.cancelAt > 0 && at == sim.workload.cancelAt {
		for _, s := range sim.shards {
			sim.cancelWave(s)
		}
	}
	for _, s := range sim.shards {
		for i := range s.workers {
			id := s.workers[i].Spec.ID
			if until, ok := s.quarantinedUntil[id]; ok && !sim.now.Before(until) {
				delete(s.quarantinedUntil, id)
				s.consecutiveFailures[id] = quarantineAfter - 1
				s.workers[i].Health = fleet.Healthy
				sim.assignHomes()
			}
		}
	}
}

func (sim *simulation) setInService(s *shard, inService bool) {
	s.inService = inService
	sim.config, _ = sim.config.WithDomain(s.domain, inService)
	sim.assignHomes()
}

// assignHomes assigns the homes of the guarantees anew, as the commit of a
// configuration does.
func (sim *simulation) assignHomes() {
	var healthy []worker.Spec
	for _, s := range sim.shards {
		s.changed = true
		for _, x := range s.workers {
			if x.Health == fleet.Healthy {
				healthy = append(healthy, x.Spec)
			}
		}
	}
	sim.config = quota.AssignHomes(sim.config, healthy)
	sim.homesAssigned = sim.now
}

func (sim *simulation) cancelWave(s *shard) {
	s.changed = true
	s.waiting = slices.DeleteFunc(s.waiting, func(q *request) bool {
		if q.cancelledInWave {
			sim.unfinished--
		}
		return q.cancelledInWave
	})
	for _, g := range slices.Clone(s.gangs) {
		if g.cancelledInWave {
			sim.release(s, g)
			sim.unfinished--
		}
	}
}

// advance applies the starts, failures, completions and stops of gangs in the
// shard that are due.
func (sim *simulation) advance(s *shard) {
	for _, g := range slices.Clone(s.gangs) {
		if g.job.State == jobs.Starting && !sim.now.Before(g.startsAt) {
			g.job.State = jobs.Running
			s.changed = true
		}
		switch {
		case !g.failsAt.IsZero() && !sim.now.Before(g.failsAt):
			sim.failGang(s, g)
		case g.failsAt.IsZero() && g.progress(sim.now) >= g.actualRunTime:
			sim.finish(s, g)
		case !g.stopsAt.IsZero() && !sim.now.Before(g.stopsAt):
			sim.requeue(s, g)
		}
	}
}

func (sim *simulation) finish(s *shard, g *gang) {
	sim.release(s, g)
	sim.unfinished--
	for _, slot := range g.job.Slots {
		s.consecutiveFailures[slot.Worker] = 0
	}
	sim.completedRuns = append(sim.completedRuns, sched.CompletedRun{
		Workspace: g.job.Workspace, Class: g.job.Spec.Class, Declared: g.job.Spec.RunTime, Actual: g.actualRunTime,
	})
	sim.completedRuns = sim.completedRuns[max(0, len(sim.completedRuns)-maxHistory):]
	sim.stats.recordEnd(g.request, sim.now)
}

// requeue ends a reclaimed gang and puts its job back into the queue. A job
// that cannot checkpoint loses the progress of the attempt.
func (sim *simulation) requeue(s *shard, g *gang) {
	sim.release(s, g)
	progress := g.progress(sim.now)
	saved := g.job.Saved
	if g.canCheckpoint {
		saved = progress
	}
	sim.stats.addLost(sim.now, progress-saved, g.job.Spec.Shape)
	g.job, _ = jobs.Requeue(g.job, "reclaimed", saved, nil)
	s.waiting = append(s.waiting, g.request)
}

func (sim *simulation) failGang(s *shard, g *gang) {
	sim.release(s, g)
	var failedOn []ident.Worker
	for _, slot := range g.job.Slots {
		if sim.badWorkers[slot.Worker] && len(failedOn) == 0 {
			failedOn = append(failedOn, slot.Worker)
		}
	}
	sim.recordFailure(s, failedOn[0])
	g.job, _ = jobs.Requeue(g.job, "failed", 0, failedOn)
	if g.job.Failures >= jobs.MaxFailures {
		sim.unfinished--
		sim.stats.failed++
		return
	}
	s.waiting = append(s.waiting, g.request)
}

// recordFailure counts a failure of the worker and quarantines it after
// quarantineAfter consecutive ones.
func (sim *simulation) recordFailure(s *shard, id ident.Worker) {
	s.consecutiveFailures[id]++
	if s.consecutiveFailures[id] < quarantineAfter {
		return
	}
	i := slices.IndexFunc(s.workers, func(x fleet.Worker) bool { return x.Spec.ID == id })
	if s.workers[i].Health == fleet.Healthy {
		s.workers[i].Health = fleet.Quarantined
		s.quarantinedUntil[id] = sim.now.Add(quarantinePeriod)
		sim.assignHomes()
	}
}

func (sim *simulation) release(s *shard, g *gang) {
	s.adjustFree(g.job, 1)
	s.gangs = slices.DeleteFunc(s.gangs, func(o *gang) bool { return o == g })
	s.changed = true
}

// adjustFree adds the resources of j's slots, times sign, to the free resources
// of the workers.
func (s *shard) adjustFree(j jobs.Job, sign int) {
	for _, slot := range j.Slots {
		i := slices.IndexFunc(s.workers, func(x fleet.Worker) bool { return x.Spec.ID == slot.Worker })
		s.workers[i].Free = s.workers[i].Free.Add(j.Spec.Shape.Member.Times(sign * slot.Members))
	}
}

// progress returns the run time that the job has completed by now, over all
// attempts and without what was lost.
func (g *gang) progress(now time.Time) time.Duration {
	return g.job.Saved + max(now.Sub(g.startsAt), 0)
}

// checkpointedProgress returns the progress up to the last checkpoint.
func (g *gang) checkpointedProgress(now time.Time) time.Duration {
	if !g.canCheckpoint {
		return g.job.Saved
	}
	return g.job.Saved + max(now.Sub(g.startsAt), 0).Truncate(checkpointInterval)
}

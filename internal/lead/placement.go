package lead

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/expect"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/plan"
	"github.com/baobabquay/baobabquay/internal/pool"
)

type (
	// placement is a unit that is placed on workers, with its run number.
	placement struct {
		plan.Placement
		job     *job
		run     int64
		members []*member
		// placedAt is the time of the decision, zero for a run of an earlier term.
		placedAt time.Time
		// remaining is the number of members that have not ended.
		remaining int
		// stored reports whether the placement is stored, so that a later leader
		// takes it over. It is not started before.
		stored bool
		// expected is what was known about its run time when it was placed, nil if
		// nothing is learned. far reports whether it is known to run away from its data,
		// preempted whether it was stopped for another unit, and observed whether an
		// end of it was seen.
		expected  *expect.Distribution
		far       bool
		preempted bool
		observed  bool
	}

	// member is one task of a placement.
	member struct {
		task      graph.TaskID
		placement *placement
		worker    *worker
		// startSent reports whether its start was sent to the worker.
		startSent bool
		// resumed reports whether the run was started from a checkpoint.
		resumed bool
		// startedAt is the time at which its start was sent.
		startedAt time.Time
		// confirmedAt is the instant from which on the worker's reports must
		// list the run, zero before the worker has answered.
		confirmedAt time.Time
		// generation is the generation of its worker's starts to which the start
		// belongs.
		generation int64
		// endNumber is the number of its end in the worker's reports.
		endNumber    int64
		ended        bool
		percent      int
		progressedAt time.Time // when percent last changed
		listedAt     time.Time // when the worker last listed the run
		// firstPercent is the percent at firstListedAt, when the worker first
		// listed the run.
		firstPercent  int
		firstListedAt time.Time
	}
)

// minStartLease is the shortest lease with which a start is sent. It covers four tries
// without an answer.
const minStartLease = 1600 * time.Millisecond

// place creates the placement of a unit for which plan.Decide has chosen workers.
func (t *term) place(now time.Time, s plan.Start) {
	j := t.jobs[s.Unit.Progress.Job.ID]
	j.lastRun++
	p := &placement{job: j, run: j.lastRun, remaining: len(s.Unit.Members), placedAt: now}
	p.Unit, p.Workers, p.Preemptions = s.Unit, s.Workers, j.preemptions[stepKeyOf(s.Unit)]
	s.Unit.SetBusy(true)
	for i, id := range s.Unit.Tasks() {
		w := t.workers[s.Workers[i].ID]
		m := &member{task: id, placement: p, worker: w}
		p.members = append(p.members, m)
		t.members[id] = m
		w.members[id] = m
	}
	u := t.usageOf(p)
	u.Reserved = u.Reserved.Plus(p.Unit.Spec().Demand.Times(len(p.members)))
	t.placements[p], j.placements[p], t.unstarted[p] = true, true, true
	t.markDirty(j)
	t.startPending = true
	t.Log.With(t.expectUnit(p, s.Near)...).Write(event.UnitPlaced, "job", string(j.progress.Job.ID), "step", s.Unit.Step,
		"occurrence", s.Unit.Occurrence, "tasks", len(p.members), "run", p.run,
		"worker", string(s.Workers[0].ID), "rack", s.Workers[0].Rack,
		"near", s.Near, "reason", s.Reason, "age", now.Sub(j.progress.Job.Due(s.Unit.Occurrence)).String())
}

func stepKeyOf(u graph.Unit) stepKey { return stepKey{u.Occurrence, u.Step} }

// elapsed returns the time since the placement was started, 0 if it was not.
func (p *placement) elapsed(now time.Time) time.Duration {
	if p.Since.IsZero() {
		return 0
	}
	return now.Sub(p.Since)
}

// storedRun returns the form in which a placement is stored.
func (p *placement) storedRun() graph.RunPlacement {
	stored := graph.RunPlacement{Occurrence: p.Unit.Occurrence, Step: p.Unit.Step, Run: p.run}
	for _, m := range p.members {
		if m.ended {
			continue
		}
		stored.Members = append(stored.Members, m.task.Index)
		stored.Workers = append(stored.Workers, string(m.worker.info.ID))
	}
	return stored
}

// stopUnstartedOn stops the unstarted placements on a worker whose attributes have
// changed, since they were chosen by the former ones.
func (t *term) stopUnstartedOn(w *worker) {
	for p := range t.unstarted {
		if slices.ContainsFunc(p.members, func(m *member) bool { return m.worker == w && !m.ended }) {
			t.stopPlacement(p, "attributes")
		}
	}
}

// stopOnClosedWorkers stops unstarted placements on workers that have been closed
// in the meantime.
func (t *term) stopOnClosedWorkers() {
	for p := range t.unstarted {
		for _, w := range p.Workers {
			if w.Closed {
				t.stopPlacement(p, "closed")
				break
			}
		}
	}
}

// startReady starts the placements that are stored, whose capacity is free, and that the
// cap of their workspace and the link permit.
func (t *term) startReady(now time.Time) {
	limits := t.limits()
	t.withdrawOverCap(limits)
	t.startsLimited = false
	if len(t.unstarted) > 0 && !t.canLease(now) {
		t.startsLimited = true
		return
	}
	for _, p := range t.startOrder() {
		if !p.stored || !t.hasCapacity(p) || !t.capPermits(p, limits) {
			continue
		}
		if !t.startLimiter.allow(p, now) {
			t.startsLimited = true
			return
		}
		delete(t.unstarted, p)
		t.startPlacement(p, now)
	}
}

// canLease reports whether a lease that is granted now outlasts the tries of a start.
// The store may not have confirmed for a while that this instance leads.
func (t *term) canLease(now time.Time) bool {
	return t.LastRenewal().Add(t.Limits.Bound).Sub(now) >= min(minStartLease, t.Limits.Bound/2)
}

// hasCapacity reports whether all tasks of p fit beside the runs that may be under
// way.
func (t *term) hasCapacity(p *placement) bool {
	demand := p.Unit.Spec().Footprint()
	need := make(map[*pool.Worker]graph.Demand, len(p.Workers))
	for _, w := range p.Workers {
		need[w] = need[w].Plus(demand)
	}
	for w, d := range need {
		if !d.Fits(w.Capacity.Minus(w.Occupied)) {
			return false
		}
	}
	return true
}

// startPlacement sends the starts of a placement to its workers.
func (t *term) startPlacement(p *placement, now time.Time) {
	demand := p.Unit.Spec().Footprint()
	p.Since = now
	u, counted := t.usageOf(p), p.Unit.Spec().Demand.Times(len(p.members))
	u.Reserved, u.Occupied = u.Reserved.Minus(counted), u.Occupied.Plus(counted)
	for _, m := range p.members {
		w := t.pool.Worker(m.worker.info.ID)
		w.Reserved = w.Reserved.Minus(demand)
		w.Occupied = w.Occupied.Plus(demand)
		m.startSent, m.startedAt, m.progressedAt = true, now, now
		m.worker.updateExpectedRuns()
		saved := p.job.progress.Saved(m.task)
		m.resumed = saved != ""
		m.generation = m.worker.agent.Start(t.ctx, agent.Order{
			Task: m.task, Run: p.run, Spec: p.job.progress.Job.Spec, Saved: saved,
		})
	}
	t.logFirstStart()
	t.Log.Write(event.UnitStarted, "job", string(p.job.progress.Job.ID), "step", p.Unit.Step,
		"occurrence", p.Unit.Occurrence, "run", p.run, "tasks", len(p.members))
}

// markBegun records that a worker has accepted a task of p. A start that was sent may be
// refused, so that the job still waits.
func (t *term) markBegun(p *placement, now time.Time) {
	if p.job.progress.Begun {
		return
	}
	firstStartSeconds.Update(now.Sub(p.job.progress.Job.Due(p.Unit.Occurrence)).Seconds())
	p.job.progress.Begun = true
	t.publishStatus(p.job)
}

// preempt stops a placement to free capacity for another unit. plan.Decide has
// already marked it as stopping, and has released its reservation or counted its
// capacity as stopping. That is undone here, since stopPlacement does the same.
func (t *term) preempt(now time.Time, s plan.Stop) {
	p := t.placementOf(s.Placement)
	countPreemption(p, now)
	p.job.preemptions[stepKeyOf(p.Unit)]++
	p.Stopping, p.preempted = false, true
	demand := p.Unit.Spec().Footprint()
	for _, w := range p.Workers {
		if p.Since.IsZero() {
			w.Reserved = w.Reserved.Plus(demand)
		} else {
			w.Stopping = w.Stopping.Minus(demand)
		}
	}
	t.Log.Write(event.JobReclaimed, "job", string(p.job.progress.Job.ID), "run", p.run,
		"ran", p.elapsed(now).String(), "for", string(s.For.Progress.Job.ID))
	t.stopPlacement(p, "reclaimed")
}

func (t *term) placementOf(planned *plan.Placement) *placement {
	for p := range t.placements {
		if &p.Placement == planned {
			return p
		}
	}
	return nil
}

// stopPlacement stops the runs of a placement. Their capacity is free once the
// workers have reported their ends; members whose start was not sent end at once.
func (t *term) stopPlacement(p *placement, reason string) {
	if p.Stopping {
		return
	}
	p.Stopping = true
	t.pacer.changed = true
	t.Log.Write(event.UnitStopped, "job", string(p.job.progress.Job.ID), "step", p.Unit.Step,
		"occurrence", p.Unit.Occurrence, "run", p.run, "tasks", p.remaining, "reason", reason)
	demand := p.Unit.Spec().Footprint()
	for _, m := range append([]*member(nil), p.members...) {
		switch {
		case t.members[m.task] != m:
			// The member has ended.
		case !m.startSent:
			t.endMember(m, graph.Stopped, "")
		default:
			w := t.pool.Worker(m.worker.info.ID)
			w.Stopping = w.Stopping.Plus(demand)
			u := t.usageOf(p)
			u.Stopping = u.Stopping.Plus(p.Unit.Spec().Demand)
			m.worker.agent.Stop(t.ctx, agent.Order{Task: m.task, Run: p.run})
		}
	}
}

// endMember applies the end of a run: its capacity becomes free, and its task is
// done, has failed, or can be placed again after the whole placement has ended.
func (t *term) endMember(m *member, outcome graph.RunOutcome, saved string) {
	p := m.placement
	if t.members[m.task] != m {
		return
	}
	m.ended = true
	t.pacer.changed = true
	delete(t.members, m.task)
	delete(m.worker.members, m.task)
	m.worker.updateExpectedRuns()
	t.release(m)
	p.remaining--
	if p.job.progress.End(m.task, p.run, outcome, saved) {
		t.markDirty(p.job)
	}
	now := time.Now()
	t.observeRun(m, outcome, now)
	switch outcome {
	case graph.Done:
		t.countSuccess(m)
	case graph.Failed:
		t.countFailedRun(m, now)
	}
	t.Log.Write(event.TaskEnded, "task", m.task.String(), "run", p.run, "worker", string(m.worker.info.ID),
		"how", string(outcome), "number", m.endNumber, "ran", p.elapsed(now).String(), "saved", saved != "")
	if p.remaining > 0 {
		// The other members of a gang end with this one. Stop those whose start was
		// not sent yet and those whose workers do not know of this end.
		if outcome != graph.Done && p.Unit.Spec().Gang {
			t.stopPlacement(p, "gang")
		}
		return
	}
	t.endPlacement(p)
}

// release frees the capacity of a member that has ended.
func (t *term) release(m *member) {
	p := m.placement
	w := t.pool.Worker(m.worker.info.ID)
	if i := slices.Index(p.Workers, w); i >= 0 {
		p.Workers = slices.Delete(p.Workers, i, i+1)
	}
	t.releaseUsage(m)
	demand := p.Unit.Spec().Footprint()
	switch {
	case !m.startSent:
		w.Reserved = w.Reserved.Minus(demand)
	default:
		w.Occupied = w.Occupied.Minus(demand)
		if p.Stopping {
			w.Stopping = w.Stopping.Minus(demand)
		}
	}
}

// endPlacement removes a placement whose members have all ended.
func (t *term) endPlacement(p *placement) {
	delete(t.placements, p)
	delete(t.unstarted, p)
	delete(p.job.placements, p)
	if len(p.job.placements) == 0 {
		p.job.idleSince = time.Now()
	}
	p.Unit.SetBusy(false)
	t.openDue(p.job, time.Now())
	// Members of a gang may end after the end of their job was stored.
	if t.jobs[p.job.progress.Job.ID] == p.job {
		t.finishJob(p.job)
		t.publishStatus(p.job)
	}
}

// idleSince returns the time since which nothing of the unit's job is placed, although
// the unit is due, zero if something is.
func (t *term) idleSince(u graph.Unit) time.Time {
	j := t.jobs[u.Progress.Job.ID]
	if len(j.placements) > 0 {
		return time.Time{}
	}
	if due := u.Progress.Job.Due(u.Occurrence); due.After(j.idleSince) {
		return due
	}
	return j.idleSince
}

// avoidForStep records that the step of p should avoid a worker.
func (t *term) avoidForStep(p *placement, w *worker) {
	key := stepKeyOf(p.Unit)
	if p.job.avoid[key] == nil {
		p.job.avoid[key] = make(map[pool.WorkerID]bool)
	}
	p.job.avoid[key][w.info.ID] = true
}

// avoidedWorkers returns the workers that the unit's step should avoid.
func (t *term) avoidedWorkers(u graph.Unit) map[pool.WorkerID]bool {
	return t.jobs[u.Progress.Job.ID].avoid[stepKeyOf(u)]
}

// tasksByWorker counts the tasks of the unit's step and occurrence by worker.
func (t *term) tasksByWorker(u graph.Unit) map[pool.WorkerID]int {
	counts := make(map[pool.WorkerID]int)
	for id, m := range t.members {
		if id.Job == u.Progress.Job.ID && id.Occurrence == u.Occurrence && id.Step == u.Step {
			counts[m.worker.info.ID]++
		}
	}
	return counts
}

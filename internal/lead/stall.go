package lead

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
)

// Workers report the progress of a run in whole percents. A run without progress is
// either slow or stalled, and a stalled one stalls because of its worker or of itself.
// So the time that a percent may take follows the task, and a worker is judged by the
// tasks of several jobs.

const (
	// minStallLimit is the least time without progress after which a run counts as
	// stalled. A resumed run takes up to 0.6 s until it makes progress.
	minStallLimit = 1500 * time.Millisecond
	// maxStallLimit bounds the limit of a run that has not stalled before.
	maxStallLimit = 1000 * time.Hour
	// stallFactor times the expected time of a percent is the limit. A task takes
	// three times as long away from its data, estimates are rough, and workers may
	// turn slow.
	stallFactor = 8
	// constantStalls is the number of stalls of a unit that leave its limit as it is.
	// Several workers may stand still, one after another.
	constantStalls = 3
	// maxStallDoublings bounds how often the limit of a unit doubles.
	maxStallDoublings = 10
	// suspicionQuarantine is the quarantine of a worker while its task may be the cause.
	// It ends before the users count the job as lost, 3 s after its last run.
	suspicionQuarantine = 2 * time.Second
	// jobsToQuarantine is the number of jobs of which a task has to stall on a
	// worker, without progress of any task there between them, for a quarantine that
	// grows each time. One is enough if the task is known to advance elsewhere.
	jobsToQuarantine = 2
	// minWorkersPerQuarantine is the number of workers of a service for each that
	// is quarantined for stalled tasks, or for failures. If tasks stall on more of
	// them, it is the tasks that are slow, and they find room on the other workers.
	minWorkersPerQuarantine = 4
)

// stallCause is what a stall tells about a worker.
type stallCause struct {
	// onlySuspect reports whether no other worker can be the cause.
	onlySuspect bool
	// soundTask reports whether the task can't be the cause.
	soundTask bool
}

// stopStalled stops placements with a task that makes no progress, so that they
// are placed again, on other workers if there are any.
func (t *term) stopStalled(now time.Time) {
	for p := range t.placements {
		if p.Stopping || p.Since.IsZero() || p.Unit.Spec().LongRunning {
			continue
		}
		if m := p.stalled(); m != nil {
			t.Log.Write(event.TaskStalled, "task", m.task.String(), "run", p.run, "worker", string(m.worker.info.ID),
				"percent", m.percent, "since", m.idle().String(), "limit", m.stallLimit().String())
			t.countStalls(p, m, now)
			t.stopPlacement(p, "stalled")
		}
	}
}

// countStalls counts that the unit of p has stalled, of which m has made the least
// progress. The step avoids the workers that may be the cause.
func (t *term) countStalls(p *placement, m *member, now time.Time) {
	suspects := make(map[*worker]bool)
	for _, other := range p.members {
		if !other.ended && other.percent <= m.percent && !other.worker.advancedAt.After(other.idleSince()) {
			suspects[other.worker] = true
		}
	}
	cause := stallCause{onlySuspect: len(suspects) == 1}
	cause.soundTask = cause.onlySuspect && m.advancesElsewhere()
	p.job.stalls[p.key()]++
	for w := range suspects {
		t.avoidForStep(p, w)
		if !p.Unit.Spec().Backfill {
			// A backfill task makes no progress while others use the processors.
			t.countStall(w, p.job, cause, now)
		}
	}
}

// advancesElsewhere reports whether it is not in the nature of a task that has stalled:
// its run has advanced before, or another task of its step has done so meanwhile.
func (m *member) advancesElsewhere() bool {
	if m.percent > m.firstPercent {
		return true
	}
	p, since := m.placement, m.idleSince()
	for sibling := range p.job.placements {
		if sibling == p || stepKeyOf(sibling.Unit) != stepKeyOf(p.Unit) {
			continue
		}
		for _, other := range sibling.members {
			if other.percent > other.firstPercent && other.progressedAt.After(since) {
				return true
			}
		}
	}
	return false
}

// countStall counts that a task of a job has stalled on a worker. It quarantines the
// worker if the task is sound, or after the tasks of jobsToQuarantine jobs, and for a
// short time if it is the only suspect, unless tasks stall on too many workers.
func (t *term) countStall(w *worker, j *job, cause stallCause, now time.Time) {
	if w.stalledJobs == nil {
		w.stalledJobs = make(map[graph.ID]bool)
	}
	w.stalledJobs[j.progress.Job.ID] = true
	switch {
	case !t.maySpare(w, now):
	case cause.soundTask || len(w.stalledJobs) >= jobsToQuarantine:
		t.quarantine(w, now, quarantinedForStalls)
	case cause.onlySuspect:
		t.suspect(w, now)
	}
}

// maySpare reports whether w may be quarantined for stalled tasks beside the other
// workers of its service that are.
func (t *term) maySpare(w *worker, now time.Time) bool {
	workers, quarantined := t.countQuarantined(w, now, func(p *pool.Worker) bool { return p.Stalled })
	return quarantined*minWorkersPerQuarantine <= workers
}

// key identifies the unit of p.
func (p *placement) key() unitKey { return unitKey{stepKeyOf(p.Unit), p.Unit.Members[0]} }

// stalled returns the member with the least progress among those that have made
// none for longer than their limit, or nil if there are none.
func (p *placement) stalled() *member {
	var slowest *member
	for _, m := range p.members {
		if m.ended || m.percent >= fullPercent || m.idle() < m.stallLimit() {
			continue
		}
		if slowest == nil || m.percent < slowest.percent {
			slowest = m
		}
	}
	return slowest
}

// stallLimit returns the time without progress after which the run of m counts as
// stalled. After constantStalls stops of its unit as stalled it doubles each time, so that
// a task that is slow everywhere is not stopped for ever.
func (m *member) stallLimit() time.Duration {
	p := m.placement
	limit := max(p.expectedStallLimit(), minStallLimit)
	if gained := m.percent - m.firstPercent; gained > 0 {
		pace := m.progressedAt.Sub(m.firstListedAt) / time.Duration(gained)
		limit = max(limit, min(pace, maxStallLimit/stallFactor)*stallFactor)
	}
	return limit << min(max(p.job.stalls[p.key()]-constantStalls, 0), maxStallDoublings)
}

// recordPercent records the progress of m in a report that was received at now, and
// reports whether the run has advanced since the report before.
func (m *member) recordPercent(percent int, now time.Time) bool {
	first := m.listedAt.IsZero()
	m.listedAt = now
	if first {
		m.firstPercent, m.firstListedAt = percent, now
	}
	if percent == m.percent {
		return false
	}
	m.percent, m.progressedAt = percent, now
	return !first
}

// clearStalls records that a task advances on a worker, which therefore does not
// stand still. It ends a quarantine for stalled tasks.
func (t *term) clearStalls(w *worker, now time.Time) {
	w.advancedAt, w.stalledJobs = now, nil
	if p := t.pool.Worker(w.info.ID); p != nil && p.Stalled {
		p.QuarantinedUntil, p.Stalled = time.Time{}, false
		t.pacer.changed = true
	}
}

// idle returns how long the worker's reports have shown no progress.
func (m *member) idle() time.Duration {
	since := m.idleSince()
	if since.IsZero() {
		return 0
	}
	return max(m.listedAt.Sub(since), 0)
}

// idleSince returns the time from which the run should have made progress, or the
// zero time if it can't yet. Tasks of a gang make progress only after the last of
// them has started, so the time counts from then.
func (m *member) idleSince() time.Time {
	from := m.progressedAt
	for _, other := range m.placement.members {
		if other.ended {
			continue
		}
		if other.confirmedAt.IsZero() {
			return time.Time{}
		}
		if other.confirmedAt.After(from) {
			from = other.confirmedAt
		}
	}
	return from
}

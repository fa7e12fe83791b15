package lead

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/pool"
)

// A run fails because of its worker or of itself. A worker is judged by the tasks that
// run elsewhere, so that tasks that fail everywhere do not take the workers from others.

// maxFailingWorkers is the largest number of workers that count as failing when tasks
// of one step fail there without a success between them. If they fail on more, the step
// is at fault.
const maxFailingWorkers = 2

// countFailedRun counts the failure of a run.
func (t *term) countFailedRun(m *member, now time.Time) {
	p := m.placement
	t.avoidForStep(p, m.worker)
	if p.Unit.Spec().LongRunning && m.percent >= fullPercent {
		// Long-running tasks may fail at any time. This one was at work, so the worker
		// is sound.
		t.countSuccess(m)
		return
	}
	if t.failsElsewhere(m) {
		return
	}
	t.countFailure(m.worker, now)
}

// countSuccess counts that a run is done or has been at work.
func (t *term) countSuccess(m *member) {
	m.worker.resetFailures()
	delete(m.placement.job.failedOn, stepKeyOf(m.placement.Unit))
}

// failsElsewhere records that the step of m has failed on its worker, and reports
// whether the step is at fault rather than the worker.
func (t *term) failsElsewhere(m *member) bool {
	j, key := m.placement.job, stepKeyOf(m.placement.Unit)
	if j.failedOn[key] == nil {
		j.failedOn[key] = make(map[pool.WorkerID]bool)
	}
	j.failedOn[key][m.worker.info.ID] = true
	return len(j.failedOn[key]) > maxFailingWorkers
}

// countFailure counts a failed run of a worker, and quarantines the worker after
// quarantineAfter of them, unless many others of its service are.
func (t *term) countFailure(w *worker, now time.Time) {
	w.failures++
	if w.failures < quarantineAfter || !t.maySpareFailing(w, now) {
		return
	}
	t.quarantine(w, now, quarantinedForFailures)
}

// maySpareFailing reports whether w may be quarantined for failures beside the other
// workers of its service that are. A single one always may if there are others.
func (t *term) maySpareFailing(w *worker, now time.Time) bool {
	workers, quarantined := t.countQuarantined(w, now, func(p *pool.Worker) bool { return !p.Stalled })
	return quarantined*minWorkersPerQuarantine <= workers || quarantined == 1 && workers > 1
}

// countQuarantined returns the number of workers of the service of w, and how many of
// them are quarantined for the given reason if w is.
func (t *term) countQuarantined(w *worker, now time.Time, reason func(*pool.Worker) bool) (workers, quarantined int) {
	quarantined = 1
	t.pool.Each(func(other *pool.Worker) {
		if other.Service != w.info.Service {
			return
		}
		workers++
		if other.ID != w.info.ID && reason(other) && now.Before(other.QuarantinedUntil) {
			quarantined++
		}
	})
	return workers, quarantined
}

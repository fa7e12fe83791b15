package fleet

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// FailureTracker tracks failures to distinguish faulty workers, on which
	// all jobs fail, from faulty jobs, which fail on all workers. It is not
	// safe for concurrent use.
	FailureTracker struct {
		workers map[ident.Worker]*failureRecord
	}

	// failureRecord has the failures and quarantines of one worker.
	failureRecord struct {
		// failedJobs are the jobs that have failed on the worker since its last
		// success or quarantine.
		failedJobs []ident.Job
		// duration is the length of the last quarantine.
		duration         time.Duration
		quarantinedUntil time.Time
		// probation is set from the first quarantine to the next success. While
		// it is set, a single failure starts another quarantine.
		probation bool
	}
)

const (
	// quarantineThreshold is the number of different jobs that must fail on a
	// worker in a row. A single faulty job therefore never quarantines a worker
	// that is not on probation.
	quarantineThreshold = 3
	// minQuarantine and maxQuarantine bound the duration of a quarantine, which
	// doubles each time.
	minQuarantine = 10 * time.Minute
	maxQuarantine = 4 * time.Hour
)

// NewFailureTracker returns a tracker without any failure.
func NewFailureTracker() *FailureTracker {
	return &FailureTracker{workers: make(map[ident.Worker]*failureRecord)}
}

// Failed records that a task of the job failed on the worker. It reports whether
// the failure starts a quarantine. After a quarantine, one failure is enough until
// a task succeeds. Failures during a quarantine are ignored.
func (t *FailureTracker) Failed(w ident.Worker, j ident.Job, now time.Time) bool {
	rec := t.recordOf(w)
	if now.Before(rec.quarantinedUntil) {
		return false
	}
	if !slices.Contains(rec.failedJobs, j) {
		rec.failedJobs = append(rec.failedJobs, j)
	}
	if len(rec.failedJobs) < quarantineThreshold && !rec.probation {
		return false
	}
	rec.duration = min(max(2*rec.duration, minQuarantine), maxQuarantine)
	rec.quarantinedUntil = now.Add(rec.duration)
	rec.failedJobs, rec.probation = nil, true
	return true
}

// Succeeded records that a task on the worker succeeded, which clears the record
// of the worker.
func (t *FailureTracker) Succeeded(w ident.Worker) { delete(t.workers, w) }

// ForgetJob removes the failures of a job from all workers. It is meant for a
// job that has failed on so many of them that the job itself is considered
// faulty.
func (t *FailureTracker) ForgetJob(j ident.Job) {
	for _, rec := range t.workers {
		rec.failedJobs = slices.DeleteFunc(rec.failedJobs, func(f ident.Job) bool { return f == j })
	}
}

// IsQuarantined reports whether the worker is quarantined at now.
func (t *FailureTracker) IsQuarantined(w ident.Worker, now time.Time) bool {
	rec, ok := t.workers[w]
	return ok && now.Before(rec.quarantinedUntil)
}

// recordOf returns the record of the worker, a new one if there is none.
func (t *FailureTracker) recordOf(w ident.Worker) *failureRecord {
	rec, ok := t.workers[w]
	if !ok {
		rec = &failureRecord{}
		t.workers[w] = rec
	}
	return rec
}

package fleet

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// Records track failures to distinguish faulty workers, on which all jobs
	// fail, from faulty jobs, which fail on all workers. They are not safe for
	// concurrent use.
	Records struct {
		workers map[ident.Worker]*record
	}

	// record has the failures and quarantines of one worker.
	record struct {
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

// NewRecords returns records without any failure.
func NewRecords() *Records { return &Records{workers: make(map[ident.Worker]*record)} }

// Failed records that a task of the job failed on the worker. It reports whether
// the failure starts a quarantine. After a quarantine, one failure is enough until
// a task succeeds. Failures during a quarantine are ignored.
func (r *Records) Failed(w ident.Worker, j ident.Job, now time.Time) bool {
	rec := r.recordOf(w)
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
func (r *Records) Succeeded(w ident.Worker) { delete(r.workers, w) }

// Excuse removes the failures of a job from all workers. It is meant for a job that
// has failed on so many of them that the job itself is considered faulty.
func (r *Records) Excuse(j ident.Job) {
	for _, rec := range r.workers {
		rec.failedJobs = slices.DeleteFunc(rec.failedJobs, func(f ident.Job) bool { return f == j })
	}
}

// IsBarred reports whether the worker is quarantined at now.
func (r *Records) IsBarred(w ident.Worker, now time.Time) bool {
	rec, ok := r.workers[w]
	return ok && now.Before(rec.quarantinedUntil)
}

// recordOf returns the record of the worker, a new one if there is none.
func (r *Records) recordOf(w ident.Worker) *record {
	rec, ok := r.workers[w]
	if !ok {
		rec = &record{}
		r.workers[w] = rec
	}
	return rec
}

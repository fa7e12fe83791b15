package fleet

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// Records tell workers that fail everything from jobs that fail
	// everywhere. They are not safe for concurrent use.
	Records struct {
		workers map[ident.Worker]*record
	}

	// record is what is known of one worker.
	record struct {
		// failed are the jobs that failed there since the last success.
		failed []ident.Job
		// term is the length of the last quarantine.
		term  time.Duration
		until time.Time
		// proving is set from the end of a quarantine to the first success.
		proving bool
	}
)

const (
	// barAfter is the number of different jobs that must fail on a worker in a
	// row. One bad job alone therefore never bars a worker.
	barAfter = 3
	// firstTerm and lastTerm bound a quarantine, which doubles each time.
	firstTerm = 10 * time.Minute
	lastTerm  = 4 * time.Hour
)

// NewRecords returns records without any failure.
func NewRecords() *Records { return &Records{workers: make(map[ident.Worker]*record)} }

// Failed records that a task of the job failed on the worker. It reports
// whether the worker is quarantined by that. After a quarantine one failure is
// enough.
func (r *Records) Failed(w ident.Worker, j ident.Job, now time.Time) bool {
	rec := r.of(w)
	if now.Before(rec.until) {
		return false
	}
	if !slices.Contains(rec.failed, j) {
		rec.failed = append(rec.failed, j)
	}
	if len(rec.failed) < barAfter && !rec.proving {
		return false
	}
	rec.term = min(max(2*rec.term, firstTerm), lastTerm)
	rec.until = now.Add(rec.term)
	rec.failed, rec.proving = nil, true
	return true
}

// Succeeded records that a task on the worker was done.
func (r *Records) Succeeded(w ident.Worker) { delete(r.workers, w) }

// Excuse removes the failures of a job that failed on too many workers: the
// job is at fault.
func (r *Records) Excuse(j ident.Job) {
	for _, rec := range r.workers {
		rec.failed = slices.DeleteFunc(rec.failed, func(f ident.Job) bool { return f == j })
	}
}

// IsBarred reports whether the worker is quarantined at now.
func (r *Records) IsBarred(w ident.Worker, now time.Time) bool {
	rec, ok := r.workers[w]
	return ok && now.Before(rec.until)
}

func (r *Records) of(w ident.Worker) *record {
	rec, ok := r.workers[w]
	if !ok {
		rec = &record{}
		r.workers[w] = rec
	}
	return rec
}

package owner

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/gang"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
)

// finding is what was learnt of an attempt. Its tasks are stopped before its
// record is written, and a report after the stop no longer tells of them.
type finding struct {
	attempt  int
	reason   string
	saved    time.Duration
	failedOn []ident.Worker
}

// find adds v to what is known of the job's present attempt and returns v with
// all of it. The first reason stays.
func (s *Shard) find(j jobs.Job, v gang.Verdict) gang.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.findings[keyOf(j)]
	if f.attempt != j.Attempt {
		f = finding{attempt: j.Attempt}
	}
	if f.reason == "" {
		f.reason = v.Reason
	}
	if len(f.failedOn) == 0 {
		f.failedOn = v.FailedOn
	}
	f.saved = max(f.saved, v.Saved)
	s.findings[keyOf(j)] = f
	v.Reason, v.Saved, v.FailedOn = f.reason, f.saved, f.failedOn
	return v
}

// noteExtended remembers that a call which can extend leases has ended now.
func (s *Shard) noteExtended(id ident.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.workers[id]; ok {
		t.extended = time.Now()
	}
}

// canRunOn reports whether a task can still run on a worker that could not be
// told to stop it.
func (s *Shard) canRunOn(id ident.Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.workers[id]
	if !ok {
		// The platform does not list the worker and it was never heard.
		return time.Since(s.since) < gang.Lease
	}
	return t.answered || time.Since(t.ranUntil()) < gang.Lease
}

// ranUntil returns the last instant at which the leases of the worker's tasks
// can have been extended.
func (t *tracked) ranUntil() time.Time {
	if t.extended.After(t.seen) {
		return t.extended
	}
	return t.seen
}

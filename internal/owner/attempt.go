package owner

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/gang"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
)

// mergedVerdict accumulates what the verdicts of several rounds established
// about one attempt. The tasks are stopped before the job record is written,
// and reports made after the stop no longer contain them.
type mergedVerdict struct {
	attempt  int
	reason   string
	saved    time.Duration
	failedOn []ident.Worker
}

// mergeVerdict merges v with the earlier verdicts about the job's current
// attempt and returns the result. The first reason is kept.
func (s *Shard) mergeVerdict(j jobs.Job, v gang.Verdict) gang.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	merged := s.mergedVerdicts[keyOf(j)]
	if merged.attempt != j.Attempt {
		merged = mergedVerdict{attempt: j.Attempt}
	}
	if merged.reason == "" {
		merged.reason = v.Reason
	}
	if len(merged.failedOn) == 0 {
		merged.failedOn = v.FailedOn
	}
	merged.saved = max(merged.saved, v.Saved)
	s.mergedVerdicts[keyOf(j)] = merged
	v.Reason, v.Saved, v.FailedOn = merged.reason, merged.saved, merged.failedOn
	return v
}

// recordLeaseExtension records that a call that may have extended the leases
// of the worker's tasks has just ended.
func (s *Shard) recordLeaseExtension(id ident.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tw, ok := s.workers[id]; ok {
		tw.leasesExtendedAt = time.Now()
	}
}

// canStillRun reports whether a task may still be running on a worker that did
// not confirm the stop of the task.
func (s *Shard) canStillRun(id ident.Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	tw, ok := s.workers[id]
	if !ok {
		// The platform does not list the worker, and it has not answered in
		// this epoch. The leases of its tasks count as extended when the epoch
		// began.
		return time.Since(s.leaseAcquiredAt) < gang.TaskLease
	}
	return tw.answered || time.Since(tw.lastLeaseExtension()) < gang.TaskLease
}

// lastLeaseExtension returns the latest time at which the leases of the
// worker's tasks may have been extended.
func (tw *trackedWorker) lastLeaseExtension() time.Time {
	if tw.leasesExtendedAt.After(tw.answeredAt) {
		return tw.leasesExtendedAt
	}
	return tw.answeredAt
}

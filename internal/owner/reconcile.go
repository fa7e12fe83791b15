package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/gang"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/worker"
	"golang.org/x/sync/errgroup"
)

const (
	// maxInlineResult is the size in bytes of the largest result that is stored
	// in the job's row. Larger results go to the object store.
	maxInlineResult = 4 << 10
	// reconcileBudget is the time after which a round reconciles no further
	// jobs, so that waiting jobs are placed even while many jobs end. The
	// remaining jobs are left to the next round.
	reconcileBudget = time.Second
	// resultTimeout limits the write of a result to the object store.
	resultTimeout = 2 * time.Second
)

// reconcileJobs brings the job records in the store and the tasks on the workers
// into agreement. If a change fails, the next round evaluates the job again.
func (s *Shard) reconcileJobs(ctx context.Context, r *round) error {
	s.stopOrphans(ctx, r)
	deadline := time.Now().Add(reconcileBudget)
	_ = forEach(s.gangsToReconcile(r), maxConcurrentActions, func(rec jobRecord) error {
		if time.Now().After(deadline) {
			return nil
		}
		s.applyVerdict(ctx, r, rec, r.verdicts[keyOf(rec.job)])
		return nil
	})
	_ = forEach(s.cancelledJobs(), maxConcurrentActions, func(rec jobRecord) error {
		if time.Now().After(deadline) {
			return nil
		}
		s.endJob(ctx, r, rec, jobs.Cancelled, "cancelled by the caller", nil)
		return nil
	})
	return nil
}

// gangsToReconcile returns the gangs whose verdicts require a change.
func (s *Shard) gangsToReconcile(r *round) []jobRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gangs []jobRecord
	for k, v := range r.verdicts {
		if rec, ok := s.jobs[k]; ok && v.Kind != gang.Keep && rec.job.State.Placed() {
			gangs = append(gangs, rec)
		}
	}
	return gangs
}

// forEach calls f for all values, at most limit at once, and returns the first
// error.
func forEach[T any](values []T, limit int, f func(T) error) error {
	var group errgroup.Group
	group.SetLimit(limit)
	for _, v := range values {
		group.Go(func() error { return f(v) })
	}
	return group.Wait()
}

// applyVerdict makes the change that the verdict about a gang requires.
func (s *Shard) applyVerdict(ctx context.Context, r *round, rec jobRecord, v gang.Verdict) {
	switch v.Kind {
	case gang.Confirm:
		s.confirmStart(ctx, r, rec)
	case gang.Finish:
		s.recordRunTime(rec.job, v.Progress)
		s.recordSuccess(rec.job)
		s.endJob(ctx, r, rec, jobs.Done, "", v.Result)
	case gang.Cancel:
		if s.stopAll(ctx, r, rec.job) {
			s.endJob(ctx, r, rec, jobs.Cancelled, v.Reason, nil)
		}
	case gang.TakeDown:
		s.takeDown(ctx, r, rec, v)
	case gang.Keep:
	}
}

// confirmStart stores that all members of a starting gang run.
func (s *Shard) confirmStart(ctx context.Context, r *round, rec jobRecord) {
	next, err := jobs.Confirm(rec.job)
	if err != nil {
		return
	}
	if s.commit(ctx, r, rec, next) != nil {
		return
	}
	s.deps.Log.Write(event.JobStarted, "workspace", next.Workspace, "job", next.ID,
		"domain", s.deps.Domain, "attempt", next.Attempt, "wait", next.Started.Sub(next.Submitted).String())
}

// takeDown stops all members and puts the job back in the queue, or ends it
// after jobs.MaxFailures failures.
func (s *Shard) takeDown(ctx context.Context, r *round, rec jobRecord, v gang.Verdict) {
	v = s.mergeVerdict(rec.job, v)
	if !s.stopAll(ctx, r, rec.job) {
		return
	}
	s.recordFailures(r, rec.job, v.FailedOn)
	if len(v.FailedOn) > 0 && rec.job.Failures+1 >= jobs.MaxFailures {
		s.clearFailures(rec.job)
		reason := fmt.Sprintf("failed %d times, last: %s", rec.job.Failures+1, v.Reason)
		s.endJob(ctx, r, rec, jobs.Failed, reason, nil)
		return
	}
	s.requeue(ctx, r, rec, v)
}

// recordFailures records the failures of a job's tasks and logs the workers that
// are quarantined because of them.
func (s *Shard) recordFailures(r *round, j jobs.Job, failedOn []ident.Worker) {
	for _, w := range failedOn {
		s.mu.Lock()
		quarantined := s.failureTracker.Failed(w, j.ID, r.now)
		s.mu.Unlock()
		if quarantined {
			s.deps.Log.Write(event.WorkerBarred, "worker", w, "domain", s.deps.Domain, "lastJob", j.ID)
		}
	}
}

// clearFailures removes the failures of a job from the failure tracker: the job is
// at fault, not the workers.
func (s *Shard) clearFailures(j jobs.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureTracker.ForgetJob(j.ID)
}

func (s *Shard) recordSuccess(j jobs.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slot := range j.Slots {
		s.failureTracker.Succeeded(slot.Worker)
	}
}

// requeue puts a job back in the queue, with the progress that it has saved.
func (s *Shard) requeue(ctx context.Context, r *round, rec jobRecord, v gang.Verdict) {
	next, err := jobs.Requeue(rec.job, v.Reason, v.Saved, v.FailedOn)
	if err != nil || s.commit(ctx, r, rec, next) != nil {
		return
	}
	s.deps.Log.Write(event.JobRequeued, "workspace", next.Workspace, "job", next.ID,
		"domain", s.deps.Domain, "attempt", next.Attempt, "reason", v.Reason, "saved", next.Saved.String())
}

// endJob stores the final state of a job, then stops the attempt so that the
// workers remove it.
func (s *Shard) endJob(ctx context.Context, r *round, rec jobRecord, state jobs.State, reason string, result []byte) {
	next, err := jobs.End(rec.job, state, reason, result, r.now)
	if err != nil {
		return
	}
	if len(result) > maxInlineResult {
		if s.storeResult(ctx, next, result) != nil {
			return
		}
		next.Result, next.ResultStored = nil, true
	}
	if s.commit(ctx, r, rec, next) != nil {
		return
	}
	s.deps.Log.Write(event.JobEnded, "workspace", next.Workspace, "job", next.ID,
		"domain", s.deps.Domain, "state", next.State.String(), "attempt", next.Attempt, "reason", reason)
	s.stopAll(ctx, r, rec.job)
}

// storeResult writes a result that is too large for the job's row to the object
// store.
func (s *Shard) storeResult(ctx context.Context, j jobs.Job, result []byte) error {
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	if err := s.deps.Objects.Put(ctx, record.ResultKey(j.Workspace, j.ID), result); err != nil {
		return fmt.Errorf("store result of job %s: %w", j.ID, err)
	}
	return nil
}

// stopAll stops the attempt on all workers of the job. It returns false if the
// attempt may still run on one of them: a task on a worker that cannot be
// reached runs until its lease expires.
func (s *Shard) stopAll(ctx context.Context, r *round, j jobs.Job) bool {
	stopped := true
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, slot := range j.Slots {
		calls.Go(func() {
			err := s.stopOn(ctx, r, slot.Worker, []worker.Attempt{attemptOf(j)})
			if err != nil && s.canStillRun(slot.Worker) {
				mu.Lock()
				stopped = false
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	return stopped
}

func (s *Shard) stopOn(ctx context.Context, r *round, id ident.Worker, attempts []worker.Attempt) error {
	agent, ok := s.agentOf(id)
	if !ok {
		return fmt.Errorf("stop on %s: %w", id, errUnlistedWorker)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := agent.Stop(ctx, worker.Stop{Header: s.header(r), Attempts: attempts}); err != nil {
		s.handleEpochRefusal(err)
		return fmt.Errorf("stop on %s: %w", id, err)
	}
	return nil
}

// stopOrphans stops the attempts that are not the current attempt of any job
// record. Only this owner starts attempts, and it does so later in the round,
// so an attempt without a record at this point is left over from before.
func (s *Shard) stopOrphans(ctx context.Context, r *round) {
	var calls sync.WaitGroup
	for id, attempts := range s.orphans() {
		calls.Go(func() {
			// A failed stop is repeated in the next round.
			_ = s.stopOn(ctx, r, id, attempts)
		})
	}
	calls.Wait()
}

// orphans returns the attempts to stop on the workers that answer. It skips the
// jobs whose rows cannot be decoded, as their current attempt is not known.
func (s *Shard) orphans() map[ident.Worker][]worker.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	orphans := make(map[ident.Worker][]worker.Attempt)
	for id, tw := range s.workers {
		if !tw.answered || !tw.fenced {
			continue
		}
		for _, st := range tw.report.Statuses {
			k := jobKey{st.Attempt.Workspace, st.Attempt.Job}
			if _, isUnreadable := s.unreadable[k]; isUnreadable {
				continue
			}
			rec, ok := s.jobs[k]
			if !ok || !rec.job.State.Placed() || rec.job.Attempt != st.Attempt.Number {
				orphans[id] = append(orphans[id], st.Attempt)
			}
		}
	}
	return orphans
}

// cancelledJobs returns the waiting jobs that their callers have cancelled.
func (s *Shard) cancelledJobs() []jobRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var cancelled []jobRecord
	for _, rec := range s.jobs {
		if rec.job.State == jobs.Pending && rec.job.CancelRequested {
			cancelled = append(cancelled, rec)
		}
	}
	return cancelled
}

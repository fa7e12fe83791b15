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
	// maxRowResult is the largest result in bytes that is kept in the job's row.
	maxRowResult = 4 << 10
	// settleTime is the time of a round after which no more jobs are settled,
	// so that waiting jobs are placed while many end. The next round goes on.
	settleTime = time.Second
	// resultTimeout bounds the write of a result to the object store.
	resultTimeout = 2 * time.Second
)

// reconcile brings the records of the jobs and the tasks on the workers into
// agreement. A job whose change fails is judged again in the next round.
func (s *Shard) reconcile(ctx context.Context, r *round) error {
	s.stopOrphans(ctx, r)
	until := time.Now().Add(settleTime)
	_ = each(s.unsettled(r), actLimit, func(h held) error {
		if time.Now().After(until) {
			return nil
		}
		s.apply(ctx, r, h, r.verdicts[keyOf(h.job)])
		return nil
	})
	_ = each(s.cancelled(), actLimit, func(h held) error {
		if time.Now().After(until) {
			return nil
		}
		s.end(ctx, r, h, jobs.Cancelled, "cancelled by the caller", nil)
		return nil
	})
	return nil
}

// unsettled returns the gangs about which something has to be done.
func (s *Shard) unsettled(r *round) []held {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []held
	for k, v := range r.verdicts {
		if h, ok := s.jobs[k]; ok && v.Kind != gang.Keep && h.job.State.Placed() {
			all = append(all, h)
		}
	}
	return all
}

// each calls f for all values, at most limit at once, and returns the first
// error.
func each[T any](all []T, limit int, f func(T) error) error {
	var group errgroup.Group
	group.SetLimit(limit)
	for _, v := range all {
		group.Go(func() error { return f(v) })
	}
	return group.Wait()
}

func (s *Shard) apply(ctx context.Context, r *round, h held, v gang.Verdict) {
	switch v.Kind {
	case gang.Confirm:
		s.confirm(ctx, r, h)
	case gang.Finish:
		s.learn(h.job, v.Progress)
		s.noteSuccess(h.job)
		s.end(ctx, r, h, jobs.Done, "", v.Result)
	case gang.Cancel:
		if s.stopAll(ctx, r, h.job) {
			s.end(ctx, r, h, jobs.Cancelled, v.Reason, nil)
		}
	case gang.TakeDown:
		s.takeDown(ctx, r, h, v)
	case gang.Keep:
	}
}

func (s *Shard) confirm(ctx context.Context, r *round, h held) {
	next, err := jobs.Confirm(h.job)
	if err != nil {
		return
	}
	if s.commit(ctx, r, h, next) != nil {
		return
	}
	s.deps.Log.Write(event.JobStarted, "workspace", next.Workspace, "job", next.ID,
		"domain", s.deps.Domain, "attempt", next.Attempt, "wait", next.Started.Sub(next.Submitted).String())
}

// takeDown stops all members and puts the job back in the queue, or ends it if
// it has failed too often.
func (s *Shard) takeDown(ctx context.Context, r *round, h held, v gang.Verdict) {
	v = s.find(h.job, v)
	if !s.stopAll(ctx, r, h.job) {
		return
	}
	s.noteFailures(r, h.job, v.FailedOn)
	if len(v.FailedOn) > 0 && h.job.Failures+1 >= jobs.MaxFailures {
		s.excuse(h.job)
		reason := fmt.Sprintf("failed %d times, last: %s", h.job.Failures+1, v.Reason)
		s.end(ctx, r, h, jobs.Failed, reason, nil)
		return
	}
	s.requeue(ctx, r, h, v)
}

// noteFailures records the failures of a job's tasks and logs the workers that
// are quarantined by them.
func (s *Shard) noteFailures(r *round, j jobs.Job, on []ident.Worker) {
	for _, w := range on {
		s.mu.Lock()
		barred := s.records.Failed(w, j.ID, r.now)
		s.mu.Unlock()
		if barred {
			s.deps.Log.Write(event.WorkerBarred, "worker", w, "domain", s.deps.Domain, "lastJob", j.ID)
		}
	}
}

func (s *Shard) excuse(j jobs.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.Excuse(j.ID)
}

func (s *Shard) noteSuccess(j jobs.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slot := range j.Slots {
		s.records.Succeeded(slot.Worker)
	}
}

func (s *Shard) requeue(ctx context.Context, r *round, h held, v gang.Verdict) {
	next, err := jobs.Requeue(h.job, v.Reason, v.Saved, v.FailedOn)
	if err != nil || s.commit(ctx, r, h, next) != nil {
		return
	}
	s.deps.Log.Write(event.JobRequeued, "workspace", next.Workspace, "job", next.ID,
		"domain", s.deps.Domain, "attempt", next.Attempt, "reason", v.Reason, "saved", next.Saved.String())
}

// end records the final state, then lets the workers forget the attempt.
func (s *Shard) end(ctx context.Context, r *round, h held, state jobs.State, reason string, result []byte) {
	next, err := jobs.End(h.job, state, reason, result, r.now)
	if err != nil {
		return
	}
	if len(result) > maxRowResult {
		if s.storeResult(ctx, next, result) != nil {
			return
		}
		next.Result, next.ResultStored = nil, true
	}
	if s.commit(ctx, r, h, next) != nil {
		return
	}
	s.deps.Log.Write(event.JobEnded, "workspace", next.Workspace, "job", next.ID,
		"domain", s.deps.Domain, "state", next.State.String(), "attempt", next.Attempt, "reason", reason)
	s.stopAll(ctx, r, h.job)
}

// storeResult writes a result that is too large for the row.
func (s *Shard) storeResult(ctx context.Context, j jobs.Job, result []byte) error {
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	if err := s.deps.Objects.Put(ctx, record.ResultKey(j.Workspace, j.ID), result); err != nil {
		return fmt.Errorf("store result of job %s: %w", j.ID, err)
	}
	return nil
}

// stopAll stops the attempt on all workers of the job. It returns false if it
// can still run on one of them: a task on a worker that cannot be reached ends
// with its lease.
func (s *Shard) stopAll(ctx context.Context, r *round, j jobs.Job) bool {
	ok := true
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, slot := range j.Slots {
		calls.Go(func() {
			err := s.stopOn(ctx, r, slot.Worker, []worker.Attempt{attemptOf(j)})
			if err != nil && s.canRunOn(slot.Worker) {
				mu.Lock()
				ok = false
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	return ok
}

func (s *Shard) stopOn(ctx context.Context, r *round, id ident.Worker, as []worker.Attempt) error {
	agent, ok := s.agentOf(id)
	if !ok {
		return fmt.Errorf("stop on %s: %w", id, errWorker)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := agent.Stop(ctx, worker.Stop{Header: s.header(r), Attempts: as}); err != nil {
		s.lostEpoch(err)
		return fmt.Errorf("stop on %s: %w", id, err)
	}
	return nil
}

// stopOrphans stops the attempts that no record of a job names. Only this
// owner starts attempts, and it does so later in the round, so an attempt
// that is not recorded now is left over.
func (s *Shard) stopOrphans(ctx context.Context, r *round) {
	var calls sync.WaitGroup
	for id, as := range s.orphans() {
		calls.Go(func() {
			// A stop that is lost is repeated in the next round.
			_ = s.stopOn(ctx, r, id, as)
		})
	}
	calls.Wait()
}

func (s *Shard) orphans() map[ident.Worker][]worker.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[ident.Worker][]worker.Attempt)
	for id, t := range s.workers {
		if !t.answered || !t.fenced {
			continue
		}
		for _, st := range t.report.Statuses {
			k := jobKey{st.Attempt.Workspace, st.Attempt.Job}
			if _, unread := s.unread[k]; unread {
				continue
			}
			h, ok := s.jobs[k]
			if !ok || !h.job.State.Placed() || h.job.Attempt != st.Attempt.Number {
				found[id] = append(found[id], st.Attempt)
			}
		}
	}
	return found
}

// cancelled returns the waiting jobs that their callers cancelled.
func (s *Shard) cancelled() []held {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []held
	for _, h := range s.jobs {
		if h.job.State == jobs.Pending && h.job.CancelRequested {
			all = append(all, h)
		}
	}
	return all
}

package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/worker"
)

const (
	// reservationTTL is the time after which a reservation expires. It is long
	// enough to commit the start to a slow store, and it limits the lifetime of
	// a gang of which only some members were started.
	reservationTTL = 10 * time.Second
	// maxConfigAge is the greatest age of the configuration at which a placement
	// begins. It leaves time to reserve capacity and to store and send the start
	// before its permit, the proof that the domain is in service, is older than
	// worker.MaxPermitAge. Workers refuse older permits.
	maxConfigAge = worker.MaxPermitAge / 2
)

// performActions performs the actions of the policy, at most
// maxConcurrentActions at once.
func (s *Shard) performActions(ctx context.Context, r *round) error {
	actionsByJob := make(map[jobKey]sched.Action, len(r.actions))
	var recs []jobRecord
	for _, a := range r.actions {
		rec, ok := s.cachedJob(keyOf(a.Job))
		if !ok {
			continue
		}
		actionsByJob[keyOf(a.Job)] = a
		recs = append(recs, rec)
	}
	return forEach(recs, maxConcurrentActions, func(rec jobRecord) error {
		s.performAction(ctx, r, rec, actionsByJob[keyOf(rec.job)])
		return nil
	})
}

// cachedJob returns a job as last read or written, and whether it is known.
func (s *Shard) cachedJob(k jobKey) (jobRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.jobs[k]
	return rec, ok
}

func (s *Shard) performAction(ctx context.Context, r *round, rec jobRecord, a sched.Action) {
	switch a.Kind {
	case sched.Place:
		s.place(ctx, r, rec, a)
	case sched.Reclaim:
		s.reclaim(ctx, r, rec, a)
	case sched.Move:
		s.move(ctx, r, rec, a)
	case sched.Refuse, sched.Wait:
		// An accepted job fitted on the workers listed when it was submitted.
		// Missing workers or an incomplete list must not end it, so a refusal
		// by the policy leaves it waiting.
		s.recordWait(rec, a.Reason)
	}
}

// place makes a reservation on each worker, stores the start and starts all
// members. If a step fails, the attempt is stopped on all of its workers. On
// workers that cannot be reached, it ends when its reservation or first lease
// expires.
func (s *Shard) place(ctx context.Context, r *round, rec jobRecord, a sched.Action) {
	if time.Since(r.configReadAt) > maxConfigAge {
		// The workers would refuse the start. The next round reads new reports
		// and the configuration again.
		s.Wake()
		return
	}
	next, err := jobs.Begin(s.skipAbortedAttempts(rec.job), r.lease.Epoch, a.Slots, r.now)
	if err != nil {
		return
	}
	s.deps.Log.Write(event.JobPlaced, "workspace", next.Workspace, "job", next.ID, "domain", s.deps.Domain,
		"attempt", next.Attempt, "slots", fmt.Sprint(a.Slots), "reason", a.Reason)
	if err := s.forEachSlot(next, func(w ident.Worker, _ int, members int) error {
		return s.reserveOn(ctx, r, next, w, members)
	}); err != nil {
		s.abortAttempt(ctx, r, next, err)
		return
	}
	if err := s.commit(ctx, r, rec, next); err != nil {
		s.abortAttempt(ctx, r, next, err)
		return
	}
	if err := s.forEachSlot(next, func(w ident.Worker, first int, _ int) error {
		return s.startOn(ctx, r, next, w, first)
	}); err != nil {
		// The start has been stored. The next round finds the gang
		// incomplete and takes it down.
		s.abortAttempt(ctx, r, next, err)
	}
	s.Wake()
}

// abortAttempt logs and records that an attempt has failed to start and stops it
// on all of its workers.
func (s *Shard) abortAttempt(ctx context.Context, r *round, j jobs.Job, cause error) {
	s.deps.Log.Write(event.JobAborted, "workspace", j.Workspace, "job", j.ID,
		"domain", s.deps.Domain, "attempt", j.Attempt, "reason", cause.Error())
	s.mu.Lock()
	s.abortedAttempts[keyOf(j)] = max(s.abortedAttempts[keyOf(j)], j.Attempt)
	s.mu.Unlock()
	s.stopAll(ctx, r, j)
}

// skipAbortedAttempts returns j with its attempt number raised to that of the
// last aborted attempt, so that the next attempt gets a higher number. Attempts
// that an earlier owner aborted are not known here: if their number is used, a
// worker refuses it and this owner aborts the attempt too.
func (s *Shard) skipAbortedAttempts(j jobs.Job) jobs.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.Attempt = max(j.Attempt, s.abortedAttempts[keyOf(j)])
	return j
}

// forEachSlot calls f concurrently for all slots of the job and returns the
// error of the first slot that failed. first is the number of the first member
// on the worker.
func (s *Shard) forEachSlot(j jobs.Job, f func(w ident.Worker, first, members int) error) error {
	errs := make([]error, len(j.Slots))
	var calls sync.WaitGroup
	first := 0
	for i, slot := range j.Slots {
		offset := first
		calls.Go(func() { errs[i] = f(slot.Worker, offset, slot.Members) })
		first += slot.Members
	}
	calls.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// reserveOn reserves capacity for the members of the job on one worker.
func (s *Shard) reserveOn(ctx context.Context, r *round, j jobs.Job, id ident.Worker, members int) error {
	agent, ok := s.agentOf(id)
	if !ok {
		return fmt.Errorf("reserve on %s: %w", id, errUnlistedWorker)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := agent.Reserve(ctx, worker.Reserve{
		Header: s.header(r), Attempt: attemptOf(j), Members: members,
		Member: j.Spec.Shape.Member, Hold: reservationTTL,
	})
	if err != nil {
		s.handleEpochRefusal(err)
		return fmt.Errorf("reserve on %s: %w", id, err)
	}
	return nil
}

// startOn starts the reserved members of the job on one worker. The call echoes
// the uptime in the worker's report, which proves how recent the configuration
// is.
func (s *Shard) startOn(ctx context.Context, r *round, j jobs.Job, id ident.Worker, first int) error {
	agent, ok := s.agentOf(id)
	if !ok {
		return fmt.Errorf("start on %s: %w", id, errUnlistedWorker)
	}
	domain, _ := r.config.Domain(s.deps.Domain)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := agent.Start(ctx, worker.Start{
		Header: s.header(r), Attempt: attemptOf(j), First: first, Uptime: r.clockReadings[id].uptime,
		Incarnation: r.clockReadings[id].incarnation,
		InService:   domain.InService, Saved: j.Saved, Payload: j.Spec.Payload,
	})
	if err != nil {
		s.handleEpochRefusal(err)
		return fmt.Errorf("start on %s: %w", id, err)
	}
	return nil
}

// reclaim saves the progress of a gang by a checkpoint, stops it and puts the
// job back in the queue.
func (s *Shard) reclaim(ctx context.Context, r *round, rec jobRecord, a sched.Action) {
	if !rec.job.State.Placed() {
		return
	}
	// A failed checkpoint loses progress but must not delay the reclaim.
	_ = s.forEachSlot(rec.job, func(w ident.Worker, _, _ int) error { return s.checkpointOn(ctx, r, rec.job, w) })
	s.refreshReports(ctx, r, rec.job)
	v := s.evaluateGang(rec.job)
	v.Reason, v.FailedOn = a.Reason, nil
	v = s.mergeVerdict(rec.job, v)
	if !s.stopAll(ctx, r, rec.job) {
		return
	}
	s.deps.Log.Write(event.JobReclaimed, "workspace", rec.job.Workspace, "job", rec.job.ID,
		"domain", s.deps.Domain, "reason", a.Reason, "lost", (v.Progress - v.Saved).String())
	s.requeue(ctx, r, rec, v)
}

func (s *Shard) checkpointOn(ctx context.Context, r *round, j jobs.Job, id ident.Worker) error {
	agent, ok := s.agentOf(id)
	if !ok {
		return fmt.Errorf("checkpoint on %s: %w", id, errUnlistedWorker)
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.Limits.CheckpointLimit)
	defer cancel()
	if err := agent.Checkpoint(ctx, worker.Checkpoint{Header: s.header(r), Attempt: attemptOf(j)}); err != nil {
		return fmt.Errorf("checkpoint on %s: %w", id, err)
	}
	return nil
}

// refreshReports polls the workers of a job again.
func (s *Shard) refreshReports(ctx context.Context, r *round, j jobs.Job) {
	wanted := make(map[ident.Worker]bool, len(j.Slots))
	for _, slot := range j.Slots {
		wanted[slot.Worker] = true
	}
	var calls sync.WaitGroup
	for _, tw := range s.snapshot() {
		if wanted[tw.spec.ID] {
			calls.Go(func() { s.pollWorker(ctx, r, tw, false) })
		}
	}
	calls.Wait()
}

// recordWait records why a job waits and logs the reason when it changes.
func (s *Shard) recordWait(rec jobRecord, reason string) {
	k := keyOf(rec.job)
	s.mu.Lock()
	changed := s.waitReasons[k] != reason
	s.waitReasons[k] = reason
	s.mu.Unlock()
	if changed {
		s.deps.Log.Write(event.JobWaits, "workspace", rec.job.Workspace, "job", rec.job.ID,
			"domain", s.deps.Domain, "reason", reason)
	}
}

// move moves a waiting job to another shard and notifies the owner of that
// shard.
func (s *Shard) move(ctx context.Context, r *round, rec jobRecord, a sched.Action) {
	next := rec.job
	next.Domain = a.To
	if next.State != jobs.Pending || s.commit(ctx, r, rec, next) != nil {
		return
	}
	s.deps.Log.Write(event.JobMoved, "workspace", next.Workspace, "job", next.ID,
		"domain", s.deps.Domain, "to", a.To, "reason", a.Reason)
	s.deps.Notify(a.To, next.Workspace, next.ID)
}

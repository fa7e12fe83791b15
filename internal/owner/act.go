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
	// reserveHold is long enough for the start record with a slow store, and
	// it bounds the life of a gang that is left half started.
	reserveHold = 10 * time.Second
	// startBy leaves a placement the time to reserve, record and start before
	// its proof of service is too old for the workers.
	startBy = worker.MaxPermitAge / 2
)

// act performs the actions, at most actLimit at once.
func (s *Shard) act(ctx context.Context, r *round) error {
	byKey := make(map[jobKey]sched.Action, len(r.actions))
	var all []held
	for _, a := range r.actions {
		h, ok := s.heldJob(keyOf(a.Job))
		if !ok {
			continue
		}
		byKey[keyOf(a.Job)] = a
		all = append(all, h)
	}
	return each(all, actLimit, func(h held) error {
		s.perform(ctx, r, h, byKey[keyOf(h.job)])
		return nil
	})
}

func (s *Shard) heldJob(k jobKey) (held, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.jobs[k]
	return h, ok
}

func (s *Shard) perform(ctx context.Context, r *round, h held, a sched.Action) {
	switch a.Kind {
	case sched.Place:
		s.place(ctx, r, h, a)
	case sched.Reclaim:
		s.reclaim(ctx, r, h, a)
	case sched.Move:
		s.move(ctx, r, h, a)
	case sched.Refuse, sched.Wait:
		// A job that was accepted fitted then. Workers that are missing now,
		// or a list that is not complete, must not end it.
		s.wait(h, a.Reason)
	}
}

// place reserves on every worker, records the start and starts every member.
// Whatever fails on the way, the attempt is stopped everywhere; what cannot be
// reached expires.
func (s *Shard) place(ctx context.Context, r *round, h held, a sched.Action) {
	if time.Since(r.proven) > startBy {
		// The start would be refused. The next round has a fresh proof.
		s.Wake()
		return
	}
	next, err := jobs.Begin(s.afterAborted(h.job), r.lease.Epoch, a.Slots, r.now)
	if err != nil {
		return
	}
	s.deps.Log.Write(event.JobPlaced, "workspace", next.Workspace, "job", next.ID, "domain", s.deps.Domain,
		"attempt", next.Attempt, "slots", fmt.Sprint(a.Slots), "reason", a.Reason)
	if err := s.onAll(next, func(w ident.Worker, _ int, members int) error {
		return s.reserveOn(ctx, r, next, w, members)
	}); err != nil {
		s.abort(ctx, r, next, err)
		return
	}
	if err := s.commit(ctx, r, h, next); err != nil {
		s.abort(ctx, r, next, err)
		return
	}
	if err := s.onAll(next, func(w ident.Worker, first int, _ int) error {
		return s.startOn(ctx, r, next, w, first)
	}); err != nil {
		// The record stands. The next round finds the gang incomplete and
		// takes it down.
		s.abort(ctx, r, next, err)
	}
	s.Wake()
}

func (s *Shard) abort(ctx context.Context, r *round, j jobs.Job, cause error) {
	s.deps.Log.Write(event.JobAborted, "workspace", j.Workspace, "job", j.ID,
		"domain", s.deps.Domain, "attempt", j.Attempt, "reason", cause.Error())
	s.mu.Lock()
	s.aborted[keyOf(j)] = max(s.aborted[keyOf(j)], j.Attempt)
	s.mu.Unlock()
	s.stopAll(ctx, r, j)
}

// afterAborted returns j with the highest attempt that must not be used again.
// An attempt that an earlier owner aborted is unknown here; a worker refuses
// its number, which aborts it here as well.
func (s *Shard) afterAborted(j jobs.Job) jobs.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.Attempt = max(j.Attempt, s.aborted[keyOf(j)])
	return j
}

// onAll calls f for all slots at once and returns the first error.
func (s *Shard) onAll(j jobs.Job, f func(w ident.Worker, first, members int) error) error {
	errs := make([]error, len(j.Slots))
	var calls sync.WaitGroup
	first := 0
	for i, slot := range j.Slots {
		at := first
		calls.Go(func() { errs[i] = f(slot.Worker, at, slot.Members) })
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

func (s *Shard) reserveOn(ctx context.Context, r *round, j jobs.Job, id ident.Worker, members int) error {
	agent, ok := s.agentOf(id)
	if !ok {
		return fmt.Errorf("reserve on %s: %w", id, errWorker)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := agent.Reserve(ctx, worker.Reserve{
		Header: s.header(r), Attempt: attemptOf(j), Members: members,
		Member: j.Spec.Shape.Member, Hold: reserveHold,
	})
	if err != nil {
		s.lostEpoch(err)
		return fmt.Errorf("reserve on %s: %w", id, err)
	}
	return nil
}

func (s *Shard) startOn(ctx context.Context, r *round, j jobs.Job, id ident.Worker, first int) error {
	agent, ok := s.agentOf(id)
	if !ok {
		return fmt.Errorf("start on %s: %w", id, errWorker)
	}
	domain, _ := r.config.Domain(s.deps.Domain)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := agent.Start(ctx, worker.Start{
		Header: s.header(r), Attempt: attemptOf(j), First: first, Tick: r.ticks[id].at, Boot: r.ticks[id].boot,
		InService: domain.InService, Saved: j.Saved, Payload: j.Spec.Payload,
	})
	if err != nil {
		s.lostEpoch(err)
		return fmt.Errorf("start on %s: %w", id, err)
	}
	return nil
}

// reclaim saves the progress of a gang, stops it and puts it back in the queue.
func (s *Shard) reclaim(ctx context.Context, r *round, h held, a sched.Action) {
	if !h.job.State.Placed() {
		return
	}
	// A checkpoint that fails costs progress but must not hold the reclaim up.
	_ = s.onAll(h.job, func(w ident.Worker, _, _ int) error { return s.checkpointOn(ctx, r, h.job, w) })
	s.refresh(ctx, r, h.job)
	v := s.judge(h.job)
	v.Reason, v.FailedOn = a.Reason, nil
	v = s.find(h.job, v)
	if !s.stopAll(ctx, r, h.job) {
		return
	}
	s.deps.Log.Write(event.JobReclaimed, "workspace", h.job.Workspace, "job", h.job.ID,
		"domain", s.deps.Domain, "reason", a.Reason, "lost", (v.Progress - v.Saved).String())
	s.requeue(ctx, r, h, v)
}

func (s *Shard) checkpointOn(ctx context.Context, r *round, j jobs.Job, id ident.Worker) error {
	agent, ok := s.agentOf(id)
	if !ok {
		return fmt.Errorf("checkpoint on %s: %w", id, errWorker)
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.Limits.CheckpointLimit)
	defer cancel()
	if err := agent.Checkpoint(ctx, worker.Checkpoint{Header: s.header(r), Attempt: attemptOf(j)}); err != nil {
		return fmt.Errorf("checkpoint on %s: %w", id, err)
	}
	return nil
}

// refresh reads the reports of the workers of a job again.
func (s *Shard) refresh(ctx context.Context, r *round, j jobs.Job) {
	wanted := make(map[ident.Worker]bool, len(j.Slots))
	for _, slot := range j.Slots {
		wanted[slot.Worker] = true
	}
	var calls sync.WaitGroup
	for _, t := range s.snapshot() {
		if wanted[t.spec.ID] {
			calls.Go(func() { s.ask(ctx, r, t, false) })
		}
	}
	calls.Wait()
}

// wait remembers why a job waits and logs it when the reason changes.
func (s *Shard) wait(h held, reason string) {
	k := keyOf(h.job)
	s.mu.Lock()
	changed := s.waits[k] != reason
	s.waits[k] = reason
	s.mu.Unlock()
	if changed {
		s.deps.Log.Write(event.JobWaits, "workspace", h.job.Workspace, "job", h.job.ID,
			"domain", s.deps.Domain, "reason", reason)
	}
}

// move gives a waiting job to another shard.
func (s *Shard) move(ctx context.Context, r *round, h held, a sched.Action) {
	next := h.job
	next.Domain = a.To
	if next.State != jobs.Pending || s.commit(ctx, r, h, next) != nil {
		return
	}
	s.deps.Log.Write(event.JobMoved, "workspace", next.Workspace, "job", next.ID,
		"domain", s.deps.Domain, "to", a.To, "reason", a.Reason)
	s.deps.Notify(a.To, next.Workspace, next.ID)
}

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
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/pkg/errors"
)

// observe fences the workers that have not accepted the epoch yet and reads
// the reports of all.
func (s *Shard) observe(ctx context.Context, r *round) error {
	s.track(r.now)
	var calls sync.WaitGroup
	for _, t := range s.snapshot() {
		calls.Go(func() { s.ask(ctx, r, t) })
	}
	calls.Wait()
	if !s.deps.Lease.State().Held {
		s.lose("a worker has accepted a higher epoch")
		return errNotOwner
	}
	s.noteReady(r)
	return nil
}

// track adds the workers that the platform lists and drops those that it no
// longer lists and that do not answer.
func (s *Shard) track(now time.Time) {
	listed := make(map[ident.Worker]bool)
	for _, spec := range s.deps.Workers() {
		listed[spec.ID] = true
		s.mu.Lock()
		t, ok := s.workers[spec.ID]
		if !ok {
			t = &tracked{seen: s.since}
			s.workers[spec.ID] = t
		}
		if !ok || t.spec != spec {
			t.spec, t.agent, t.fenced = spec, s.deps.Agent(spec), false
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.workers {
		if !listed[id] && now.Sub(t.seen) >= gang.Lease {
			delete(s.workers, id)
		}
	}
}

// snapshot returns copies of the tracked workers.
func (s *Shard) snapshot() []tracked {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]tracked, 0, len(s.workers))
	for _, t := range s.workers {
		all = append(all, *t)
	}
	return all
}

func (s *Shard) ask(ctx context.Context, r *round, t tracked) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := s.call(ctx, r, t)
	switch {
	case worker.RefusedFor(err) == worker.ReasonEpoch, err == nil && report.Epoch > r.lease.Epoch:
		s.deps.Lease.Lost()
		return
	case err != nil:
		s.noteSilent(t, err)
		return
	}
	s.noteAnswer(r, t, report)
}

func (s *Shard) call(ctx context.Context, r *round, t tracked) (worker.Report, error) {
	if t.fenced {
		report, err := t.agent.Report(ctx)
		if err != nil {
			return worker.Report{}, fmt.Errorf("report: %w", err)
		}
		return report, nil
	}
	report, err := t.agent.Fence(ctx, worker.Fence{Header: s.header(r)})
	if err != nil {
		return worker.Report{}, fmt.Errorf("fence: %w", err)
	}
	return report, nil
}

func (s *Shard) noteAnswer(r *round, t tracked, report worker.Report) {
	s.mu.Lock()
	w, ok := s.workers[t.spec.ID]
	if !ok || s.epoch != r.lease.Epoch {
		s.mu.Unlock()
		return
	}
	wasSilent := !w.answered
	// A restarted worker has forgotten the epoch and is fenced again.
	w.fenced = report.Epoch == r.lease.Epoch
	w.report, w.seen, w.answered = report, time.Now(), true
	s.mu.Unlock()
	if wasSilent {
		s.deps.Log.Write(event.WorkerBack, "worker", t.spec.ID, "domain", s.deps.Domain, "epoch", report.Epoch)
	}
}

func (s *Shard) noteSilent(t tracked, err error) {
	s.mu.Lock()
	w, ok := s.workers[t.spec.ID]
	wasAnswering := ok && w.answered
	if ok {
		w.answered = false
	}
	s.mu.Unlock()
	if wasAnswering {
		s.deps.Log.Write(event.WorkerLost, "worker", t.spec.ID, "domain", s.deps.Domain, "reason", err.Error())
	}
}

// noteReady logs once that every worker that answers is fenced.
func (s *Shard) noteReady(r *round) {
	s.mu.Lock()
	fenced := 0
	for _, t := range s.workers {
		if t.answered && t.fenced {
			fenced++
		}
	}
	first := !s.ready && len(s.workers) > 0
	s.ready = s.ready || first
	total := len(s.workers)
	s.mu.Unlock()
	if first {
		s.deps.Log.Write(event.ShardReady, "domain", s.deps.Domain, "epoch", r.lease.Epoch,
			"workers", total, "fenced", fenced)
	}
}

// see returns what is known of the job's present attempt on a worker.
func (s *Shard) see(j jobs.Job, id ident.Worker) gang.Sight {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.workers[id]
	if !ok {
		// The platform does not list the worker and it was never heard.
		return gang.Sight{Seen: s.since}
	}
	sight := gang.Sight{Answered: t.answered && t.fenced, Seen: t.seen}
	a := attemptOf(j)
	for _, st := range t.report.Statuses {
		if st.Attempt == a {
			sight.Present, sight.Status = true, st
		}
	}
	return sight
}

func (s *Shard) header(r *round) worker.Header {
	h := worker.Header{Epoch: r.lease.Epoch}
	if r.config != nil {
		h.Config = r.config.Version
	}
	return h
}

// agentOf returns the calls to a worker, and whether it may be called with the
// present epoch.
func (s *Shard) agentOf(id ident.Worker) (worker.Agent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.workers[id]
	if !ok {
		return worker.Agent{}, false
	}
	return t.agent, true
}

// lostEpoch gives the lease up if a worker has refused the epoch.
func (s *Shard) lostEpoch(err error) {
	if worker.RefusedFor(err) == worker.ReasonEpoch {
		s.deps.Lease.Lost()
	}
}

// errWorker is the error for a worker that is no longer listed.
var errWorker = errors.New("worker is not listed")

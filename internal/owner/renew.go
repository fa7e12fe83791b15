package owner

import (
	"context"
	"sync"

	"github.com/baobabquay/baobabquay/internal/gang"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// renew extends the leases of the tasks of complete gangs on the workers where
// observe has not done so, with one call a worker. It uses what earlier rounds
// read, so it goes on without the store.
func (s *Shard) renew(ctx context.Context, r *round) error {
	attempts := make(map[ident.Worker][]worker.Attempt)
	for _, h := range s.placed() {
		if !r.verdicts[keyOf(h.job)].Complete || s.allRenewed(h.job) {
			continue
		}
		for _, slot := range h.job.Slots {
			if !s.needsRenewal(slot.Worker) {
				continue
			}
			attempts[slot.Worker] = append(attempts[slot.Worker], attemptOf(h.job))
		}
	}
	var calls sync.WaitGroup
	for id, as := range attempts {
		calls.Go(func() { s.renewOn(ctx, r, id, as) })
	}
	calls.Wait()
	return nil
}

func (s *Shard) renewOn(ctx context.Context, r *round, id ident.Worker, as []worker.Attempt) {
	agent, ok := s.agentOf(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A renewal that is lost is repeated in the next round.
	err := agent.Renew(ctx, worker.Renew{Header: s.header(r), Attempts: as, Lease: gang.Lease})
	s.noteExtended(id)
	s.lostEpoch(err)
}

func (s *Shard) allRenewed(j jobs.Job) bool {
	for _, slot := range j.Slots {
		if !s.isRenewed(slot.Worker) {
			return false
		}
	}
	return true
}

func (s *Shard) isRenewed(id ident.Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.workers[id]
	return ok && t.answered && t.renewed
}

// needsRenewal reports whether the worker answered in this round and its leases
// are not extended yet. A silent worker is left alone: a renewal that reaches
// it unheard would only delay the next attempt of its gangs.
func (s *Shard) needsRenewal(id ident.Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.workers[id]
	return ok && t.answered && t.fenced && !t.renewed
}

// placed returns the jobs that hold workers.
func (s *Shard) placed() []held {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []held
	for _, h := range s.jobs {
		if h.job.State.Placed() {
			all = append(all, h)
		}
	}
	return all
}

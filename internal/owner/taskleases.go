package owner

import (
	"context"
	"sync"

	"github.com/baobabquay/baobabquay/internal/gang"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// renewTaskLeases extends the leases of the tasks of complete gangs, with one
// call for each worker whose heartbeat has not extended them. It needs only the
// jobs in memory, so it works while the store does not answer.
func (s *Shard) renewTaskLeases(ctx context.Context, r *round) error {
	byWorker := make(map[ident.Worker][]worker.Attempt)
	for _, rec := range s.placedJobs() {
		if !r.verdicts[keyOf(rec.job)].Complete || s.allLeasesRenewed(rec.job) {
			continue
		}
		for _, slot := range rec.job.Slots {
			if !s.needsRenewal(slot.Worker) {
				continue
			}
			byWorker[slot.Worker] = append(byWorker[slot.Worker], attemptOf(rec.job))
		}
	}
	var calls sync.WaitGroup
	for id, attempts := range byWorker {
		calls.Go(func() { s.renewOn(ctx, r, id, attempts) })
	}
	calls.Wait()
	return nil
}

func (s *Shard) renewOn(ctx context.Context, r *round, id ident.Worker, attempts []worker.Attempt) {
	agent, ok := s.agentOf(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A failed renewal is repeated in the next round.
	err := agent.Renew(ctx, worker.Renew{Header: s.header(r), Attempts: attempts, Lease: gang.TaskLease})
	s.recordLeaseExtension(id)
	s.handleEpochRefusal(err)
}

// allLeasesRenewed reports whether heartbeats have extended the leases of the
// job's tasks on all of its workers.
func (s *Shard) allLeasesRenewed(j jobs.Job) bool {
	for _, slot := range j.Slots {
		if !s.leasesRenewedOn(slot.Worker) {
			return false
		}
	}
	return true
}

func (s *Shard) leasesRenewedOn(id ident.Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	tw, ok := s.workers[id]
	return ok && tw.answered && tw.leasesRenewed
}

// needsRenewal reports whether the worker answered in this round and its leases
// have not been extended yet. Silent workers get no renewal: if it arrived but
// its answer did not, it would only delay the next attempt of the worker's gangs.
func (s *Shard) needsRenewal(id ident.Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	tw, ok := s.workers[id]
	return ok && tw.answered && tw.fenced && !tw.leasesRenewed
}

// placedJobs returns the jobs that hold workers.
func (s *Shard) placedJobs() []jobRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var placed []jobRecord
	for _, rec := range s.jobs {
		if rec.job.State.Placed() {
			placed = append(placed, rec)
		}
	}
	return placed
}

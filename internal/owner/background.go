package owner

import (
	"context"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/worker"
)

// renewInBackground keeps renewing the lease of the shard and the leases of the
// tasks while the rest of the round runs. A slow store, a checkpoint or many
// cancellations can make a round longer than the lease of the shard (4 s) and
// the leases of the tasks (12 s). It ends the round if the shard lease is lost.
func (s *Shard) renewInBackground(ctx context.Context, r *round) error {
	// Calls to workers are not cancelled at the end of the round: a worker whose
	// call is cancelled would count as silent.
	workerCtx := context.WithoutCancel(ctx)
	r.background.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(s.pollInterval()):
			}
			if !s.renewOnce(ctx, workerCtx, r.lease.Epoch) {
				r.cancel()
				return
			}
		}
	})
	return nil
}

// renewOnce renews the lease of the shard and the leases of the tasks of
// complete gangs. It returns false if the shard lease is lost.
func (s *Shard) renewOnce(ctx, workerCtx context.Context, epoch int64) bool {
	r := &round{now: time.Now(), lease: s.deps.Lease.State()}
	if !r.lease.Held || r.lease.Epoch != epoch {
		return false
	}
	leaseCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// An error of the store leaves the lease held. The owner then carries on,
	// because no other instance can acquire the lease without the store either.
	state, _ := s.deps.Lease.Step(leaseCtx, r.now, 0)
	if !state.Held || state.Epoch != epoch {
		return false
	}
	s.pollWorkers(workerCtx, r)
	if !s.deps.Lease.State().Held {
		return false
	}
	_ = s.evaluateGangs(workerCtx, r)
	_ = s.renewTaskLeases(workerCtx, r)
	return true
}

// pollWorkers reads the reports of all workers, by a heartbeat that renews their
// task leases where this is allowed.
func (s *Shard) pollWorkers(ctx context.Context, r *round) {
	eligible := s.heartbeatWorkers()
	var calls sync.WaitGroup
	for _, polled := range s.snapshot() {
		calls.Go(func() { s.pollWorker(ctx, r, polled, eligible[polled.spec.ID]) })
	}
	calls.Wait()
}

// isOlder reports whether a worker made report a before report b. The answers to
// concurrent calls can arrive in any order.
func isOlder(a, b worker.Report) bool { return a.Incarnation == b.Incarnation && a.Uptime < b.Uptime }

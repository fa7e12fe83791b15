package owner

import (
	"context"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/worker"
)

// tend goes on renewing while the rest of the round runs. A slow store, a
// checkpoint or many cancellations can make it longer than the lease of the
// shard (4 s) and those of the tasks (12 s). It ends the round when the lease
// is lost.
func (s *Shard) tend(ctx context.Context, r *round) error {
	// Calls to workers are not cut off at the end of the round: each would
	// count as a worker that does not answer.
	calls := context.WithoutCancel(ctx)
	r.tending.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(s.paced()):
			}
			if !s.tendOnce(ctx, calls, r.lease.Epoch) {
				r.stop()
				return
			}
		}
	})
	return nil
}

// tendOnce renews the lease of the shard and those of complete gangs. It
// returns false if the shard is lost.
func (s *Shard) tendOnce(ctx, calls context.Context, epoch int64) bool {
	t := &round{now: time.Now(), lease: s.deps.Lease.State()}
	if !t.lease.Held || t.lease.Epoch != epoch {
		return false
	}
	step, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// Without an answer of the store the owner goes on, as in hold.
	state, _ := s.deps.Lease.Step(step, t.now, 0)
	if !state.Held || state.Epoch != epoch {
		return false
	}
	s.askAll(calls, t)
	if !s.deps.Lease.State().Held {
		return false
	}
	_ = s.judgeAll(calls, t)
	_ = s.renew(calls, t)
	return true
}

// askAll reads the reports of all workers.
func (s *Shard) askAll(ctx context.Context, r *round) {
	steady := s.steady()
	var calls sync.WaitGroup
	for _, t := range s.snapshot() {
		calls.Go(func() { s.ask(ctx, r, t, steady[t.spec.ID]) })
	}
	calls.Wait()
}

// isOlder reports whether a worker made report a before report b. Answers to
// calls that overlap can arrive in any order.
func isOlder(a, b worker.Report) bool { return a.Boot == b.Boot && a.Tick < b.Tick }

package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/lease"
	"github.com/pkg/errors"
)

// hold takes or renews the lease. It ends the round if the lease is not held.
// A holder goes on without the store: nobody else can take the lease then.
func (s *Shard) hold(ctx context.Context, r *round) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rank := s.deps.Rank(r.now)
	state, err := s.deps.Lease.Step(ctx, r.now, rank)
	if errors.Is(err, lease.ErrLost) {
		s.lose("the store shows another holder")
	}
	if !state.Held {
		s.lose("the lease is not held")
		if err != nil {
			return fmt.Errorf("not held: %w", err)
		}
		return errNotOwner
	}
	r.lease = state
	if s.currentEpoch() != state.Epoch {
		s.reset(state.Epoch, r.now)
		s.deps.Log.Write(event.LeaseTaken, "domain", s.deps.Domain, "epoch", state.Epoch)
	}
	if s.isOutranked(rank, r.now) {
		return s.handOver(ctx)
	}
	return nil
}

func (s *Shard) handOver(ctx context.Context) error {
	if err := s.Release(ctx); err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	return errNotOwner
}

// isOutranked reports whether another instance has been preferred for long.
func (s *Shard) isOutranked(rank int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rank == 0 {
		s.outrank = time.Time{}
		return false
	}
	if s.outrank.IsZero() {
		s.outrank = now
	}
	return now.Sub(s.outrank) >= outrankedFor
}

// lose forgets the state of a shard that this instance no longer owns.
func (s *Shard) lose(reason string) {
	epoch := s.currentEpoch()
	if epoch == 0 {
		return
	}
	s.deps.Log.Write(event.LeaseLost, "domain", s.deps.Domain, "epoch", epoch, "reason", reason)
	s.reset(0, time.Time{})
}

func (s *Shard) currentEpoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

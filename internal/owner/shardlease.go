package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/lease"
	"github.com/pkg/errors"
)

// holdLease acquires or renews the lease of the shard and ends the round if this
// instance does not hold it. If the store does not answer, the holder carries
// on, because no other instance can acquire the lease without the store either.
func (s *Shard) holdLease(ctx context.Context, r *round) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rank := s.deps.Rank(r.now)
	state, err := s.deps.Lease.Step(ctx, r.now, rank)
	if errors.Is(err, lease.ErrLost) {
		s.handleLeaseLoss("the store shows another holder")
	}
	if !state.Held {
		s.handleLeaseLoss("the lease is not held")
		if err != nil {
			return fmt.Errorf("lease not held: %w", err)
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

// handOver releases the lease to a preferred instance and ends the round.
func (s *Shard) handOver(ctx context.Context) error {
	if err := s.Release(ctx); err != nil {
		return fmt.Errorf("hand over shard: %w", err)
	}
	return errNotOwner
}

// isOutranked reports whether another instance has been the preferred owner,
// which has rank 0, for at least handOverDelay.
func (s *Shard) isOutranked(rank int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rank == 0 {
		s.outrankedSince = time.Time{}
		return false
	}
	if s.outrankedSince.IsZero() {
		s.outrankedSince = now
	}
	return now.Sub(s.outrankedSince) >= handOverDelay
}

// handleLeaseLoss logs the loss of the lease and clears the state of the shard.
// It does nothing if this instance does not own the shard.
func (s *Shard) handleLeaseLoss(reason string) {
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

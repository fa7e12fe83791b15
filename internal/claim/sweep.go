package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// Sweeper deletes expired claims of all instances. It is run by one
	// instance, the owner of the shard of the first failure domain. Two sweeps
	// at the same time are harmless, because each deletion checks the version
	// of its row.
	Sweeper struct {
		Table store.Table
		// Retention is Settings.Retention. The sweeper waits twice as long, so
		// that clock differences of up to Retention between the claimant and
		// the sweeper do not shorten the retention.
		Retention time.Duration
		// MaxBatch bounds the deletions of one transaction.
		MaxBatch int
	}
)

// sweepFactor is the multiple of the retention after which the sweeper deletes
// a claim.
const sweepFactor = 2

// Sweep deletes the claims that have expired at now and returns their number. A
// conflict or another error in a batch ends the sweep. The next sweep deletes
// the remaining claims.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (int, error) {
	rows, err := s.Table.Scan(ctx, record.ClaimPrefix)
	if err != nil {
		return 0, fmt.Errorf("scan claims: %w", err)
	}
	deleted := 0
	var t store.Txn
	flush := func() error {
		if len(t.Deletes) == 0 {
			return nil
		}
		if _, err := s.Table.Commit(ctx, t); err != nil {
			return fmt.Errorf("delete %d claims: %w", len(t.Deletes), err)
		}
		deleted += len(t.Deletes)
		t = store.Txn{}
		return nil
	}
	for _, row := range rows {
		if !s.isExpired(row, now) {
			continue
		}
		t.Checks = append(t.Checks, store.Check{Key: row.Key, Version: row.Version})
		t.Deletes = append(t.Deletes, row.Key)
		if len(t.Deletes) < s.MaxBatch {
			continue
		}
		if err := flush(); err != nil {
			return deleted, err
		}
	}
	err = flush()
	return deleted, err
}

// isExpired reports whether a claim may be deleted. A row that cannot be decoded
// is kept.
func (s *Sweeper) isExpired(row store.Row, now time.Time) bool {
	c, err := record.DecodeClaim(row.Value)
	return err == nil && now.Sub(c.Taken) >= sweepFactor*s.Retention
}

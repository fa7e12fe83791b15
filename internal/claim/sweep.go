package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// Sweeper deletes old claims of all instances. It is run by one instance
	// at a time, the owner of the first failure domain's shard. Two at a time
	// do no harm, because each deletion checks the version of its row.
	Sweeper struct {
		Table store.Table
		// Retention is that of Settings. The sweeper waits twice as long, so
		// that clocks which differ by less never shorten the retention.
		Retention time.Duration
		// MaxBatch bounds the deletions of one transaction.
		MaxBatch int
	}
)

// sweepFactor is the multiple of the retention after which a claim is swept.
const sweepFactor = 2

// Sweep deletes the claims that are old at now. It returns the number of
// deleted rows. A batch that meets a conflict or an error ends the sweep; the
// next one continues.
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
		if !s.isOld(row, now) {
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

// isOld reports whether a claim may be deleted. A row that cannot be read is kept.
func (s *Sweeper) isOld(row store.Row, now time.Time) bool {
	c, err := record.DecodeClaim(row.Value)
	return err == nil && now.Sub(c.Taken) >= sweepFactor*s.Retention
}

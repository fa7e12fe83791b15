package store

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// The bounds of the exponential back-off of CommitResolved, without its jitter.
const (
	minCommitRetryDelay = 50 * time.Millisecond
	maxCommitRetryDelay = time.Second
)

// CommitResolved commits t and finds out whether t took effect if the store's
// answer is lost. The first put of t must have a check on its own key and a
// value that no other writer writes.
//
// A transaction whose answer was lost is committed again; its check lets it
// take effect only once. If the repetition conflicts, CommitResolved reads the
// row of the first put and compares the value to find out whether an earlier
// attempt took effect. The error wraps ErrUncertain if the row has another
// value by then or is absent, or if ctx ends before the store answers.
func CommitResolved(ctx context.Context, table Table, t Txn) (int64, error) {
	uncertain := false
	for delay := minCommitRetryDelay; ; delay = min(2*delay, maxCommitRetryDelay) {
		version, err := table.Commit(ctx, t)
		switch {
		case err == nil:
			return version, nil
		case IsConflict(err) && uncertain:
			return resolveUncertain(ctx, table, t)
		case errors.Is(err, ErrUncertain):
			uncertain = true
		case !uncertain:
			return 0, fmt.Errorf("commit %s: %w", t.Puts[0].Key, err)
		}
		if err := sleepJittered(ctx, delay); err != nil {
			return 0, fmt.Errorf("commit %s: %w: %w", t.Puts[0].Key, ErrUncertain, err)
		}
	}
}

// resolveUncertain reads the row of the first put of t to find out whether t took
// effect, after a commit of t with a lost answer and one that conflicted. It retries
// until the store answers or ctx ends.
func resolveUncertain(ctx context.Context, table Table, t Txn) (int64, error) {
	put := t.Puts[0]
	for delay := minCommitRetryDelay; ; delay = min(2*delay, maxCommitRetryDelay) {
		row, err := table.Get(ctx, put.Key)
		switch {
		case err == nil && bytes.Equal(row.Value, put.Value):
			return row.Version, nil
		case err == nil, errors.Is(err, ErrNotFound):
			return 0, fmt.Errorf("commit %s: row has another value or is absent: %w", put.Key, ErrUncertain)
		}
		if err := sleepJittered(ctx, delay); err != nil {
			return 0, fmt.Errorf("commit %s: %w: %w", put.Key, ErrUncertain, err)
		}
	}
}

// sleepJittered waits for jitter(d) or until ctx ends. The jitter prevents the
// clients of a store that recovers from calling it at the same time.
func sleepJittered(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(jitter(d)):
		return nil
	}
}

// jitter returns a random duration from d/2 up to d.
func jitter(d time.Duration) time.Duration { return d/2 + time.Duration(rand.Int64N(int64(d/2))) }

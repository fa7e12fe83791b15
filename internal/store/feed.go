package store

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

type (
	// Change is a row that was written or, if Deleted, removed.
	Change struct {
		Row     Row
		Deleted bool
	}

	// Changes are the changes of one table up to Version, or all rows of the table
	// at Version.
	Changes struct {
		Rows    []Change
		Version int64
	}

	// Feed reads tables and the changes made to them.
	Feed struct {
		// Read returns all rows of a table as of one version.
		Read func(ctx context.Context, table string) (Changes, error)
		// Wait returns the changes after a version, in their order. It waits up
		// to maxWait for the first one and then returns none. The error is
		// ErrCompacted if the store has dropped the changes.
		Wait func(ctx context.Context, table string, after int64, maxWait time.Duration) (Changes, error)
	}

	// Follower calls Apply with a snapshot of a table and then with the changes to
	// it, as long as Run runs.
	Follower struct {
		Feed  Feed
		Table string
		// MinVersion is the minimum version of the first snapshot. Later
		// snapshots are also not older than the changes applied before.
		MinVersion int64
		// StartVersion is the version of the rows that the caller already has,
		// 0 if it has none. If set, the follower begins with the changes after
		// it instead of a snapshot.
		StartVersion int64
		// KnownVersion, if not nil, returns a version of the store that is
		// known from another source. While the store can return neither the
		// changes before that version nor a snapshot at it, the follower skips
		// the former and applies the changes after it.
		KnownVersion func() int64
		// ReadSkipped, if not nil, is called after changes were skipped, until it
		// returns nil or a snapshot was read. It applies what can be read of
		// them by other means.
		ReadSkipped func(ctx context.Context) error
		// MaxWait is the maximum duration of one wait for changes.
		MaxWait time.Duration
		// Apply is called with changes. If snapshot is true, c has all rows of
		// the table, and all other rows have been deleted.
		Apply func(c Changes, snapshot bool)
		// OnResult is called with the error of each failed call and with nil after
		// each successful call, once its changes have been applied.
		OnResult func(err error)
		// OnVersion, if not nil, is called after each successful call with the
		// version up to which all changes have been applied.
		OnVersion func(version int64)
		// ObserveLatency, if not nil, is called with the time that the store
		// took to answer, beyond the wait for a change. It is not called for
		// waits that a change ended.
		ObserveLatency func(took time.Duration)

		// skipped reports whether changes were skipped that neither ReadSkipped
		// nor a snapshot has covered yet.
		skipped bool
	}
)

const (
	// readTimeout bounds the time until the answer to a read of a whole table begins.
	readTimeout = 3 * time.Second
	// answerMargin is added to the wait for a change in the time until the answer
	// begins. It allows for a round trip between regions and a slow store.
	answerMargin = 700 * time.Millisecond
	// answerStall bounds the time between two parts of an answer, and maxTransfer that
	// of the whole answer, in which 10 MB arrive at 10 Mbit/s.
	answerStall = time.Second
	maxTransfer = 8 * time.Second
	// feedRetryDelay is the pause after a failed call. It is short because a follower
	// must see a new configuration within 2.5 s of the store's recovery.
	feedRetryDelay = 150 * time.Millisecond
	// maxRereadDelay bounds the pause between snapshots while the store keeps
	// dropping its history. The pause starts at feedRetryDelay and doubles.
	maxRereadDelay = 600 * time.Millisecond
)

// RowName returns the part of a key after the name of the table and the slash.
func RowName(key string) string {
	_, name, _ := strings.Cut(key, "/")
	return name
}

var (
	// ErrCompacted means that the store no longer has the requested changes.
	ErrCompacted = errors.New("history dropped")
	// ErrStale means that the store answered a read with an older state than one
	// that is known already.
	ErrStale = errors.New("read is out of date")
)

// IsLagging reports whether err means that the store answers but cannot currently
// return the latest state of a table.
func IsLagging(err error) bool { return errors.Is(err, ErrCompacted) || errors.Is(err, ErrStale) }

// ReadSince returns all rows of a table at minVersion or a later version. The error
// wraps ErrStale if the store cannot currently return them.
func (f *Feed) ReadSince(ctx context.Context, table string, minVersion int64) (Changes, error) {
	c, err := f.Read(ctx, table)
	if err != nil {
		return Changes{}, err
	}
	return f.catchUp(ctx, table, c, minVersion)
}

// catchUp applies the changes up to minVersion or a later version to a snapshot c. A
// store whose reads are stale still returns the changes after them, unless it has
// dropped that part of its history.
func (f *Feed) catchUp(ctx context.Context, table string, c Changes, minVersion int64) (Changes, error) {
	if c.Version >= minVersion {
		return c, nil
	}
	readVersion := c.Version
	rows := make(map[string]Row, len(c.Rows))
	for _, change := range c.Rows {
		rows[change.Row.Key] = change.Row
	}
	for version := c.Version; version < minVersion; version = c.Version {
		var err error
		if c, err = f.Wait(ctx, table, version, 0); err != nil {
			return Changes{}, fmt.Errorf("%w: snapshot at version %d, need %d or later: %w", ErrStale, readVersion, minVersion, err)
		}
		if c.Version <= version {
			return Changes{}, fmt.Errorf("%w: changes up to version %d, need %d or later", ErrStale, version, minVersion)
		}
		for _, change := range c.Rows {
			switch {
			case change.Row.Version < rows[change.Row.Key].Version:
				// The snapshot has a newer row, from a later page of its read.
			case change.Deleted:
				delete(rows, change.Row.Key)
			default:
				rows[change.Row.Key] = change.Row
			}
		}
	}
	snapshot := Changes{Version: c.Version}
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		snapshot.Rows = append(snapshot.Rows, Change{Row: rows[key]})
	}
	return snapshot, nil
}

// Run calls f.Apply with the rows and the changes of the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	version, snapshot := max(f.MinVersion, f.StartVersion), f.StartVersion == 0
	// rereadDelay is the pause before the next snapshot, 0 for none.
	rereadDelay := time.Duration(0)
	for ctx.Err() == nil {
		var c Changes
		var err error
		if snapshot {
			c, err = f.read(ctx, version)
		} else {
			c, err = f.wait(ctx, version, f.MaxWait)
		}
		if err == nil && (snapshot || len(c.Rows) > 0) {
			f.Apply(c, snapshot)
		}
		f.OnResult(err)
		switch {
		case err == nil:
			if snapshot {
				f.skipped = false
			} else {
				rereadDelay = 0
			}
			version, snapshot = max(version, c.Version), false
			if f.OnVersion != nil {
				f.OnVersion(version)
			}
		case IsLagging(err):
			// The first snapshot after a dropped history is read at once. If the
			// reads of the store lag so far that the changes after the snapshot
			// have been dropped too, a pause precedes each further one.
			if rereadDelay > 0 {
				version = f.pauseBeforeRead(ctx, version, rereadDelay)
			}
			snapshot, rereadDelay = true, min(max(2*rereadDelay, feedRetryDelay), maxRereadDelay)
		default:
			if sleepJittered(ctx, feedRetryDelay) != nil {
				return
			}
		}
	}
}

// read returns a snapshot of the table at minVersion or a later version.
func (f *Follower) read(ctx context.Context, minVersion int64) (Changes, error) {
	ctx, cancel := AnswerTimeout{First: readTimeout, Stall: answerStall, Transfer: maxTransfer}.Context(ctx)
	defer cancel()
	start := time.Now()
	c, err := f.Feed.Read(ctx, f.Table)
	if err != nil {
		return Changes{}, err
	}
	if f.ObserveLatency != nil {
		f.ObserveLatency(time.Since(start))
	}
	return f.Feed.catchUp(ctx, f.Table, c, minVersion)
}

// wait waits up to maxWait for changes after a version. If none ended the wait,
// it reports the latency of the store to f.ObserveLatency.
func (f *Follower) wait(ctx context.Context, after int64, maxWait time.Duration) (Changes, error) {
	ctx, cancel := AnswerTimeout{First: maxWait + answerMargin, Stall: answerStall, Transfer: maxTransfer}.Context(ctx)
	defer cancel()
	start := time.Now()
	c, err := f.Feed.Wait(ctx, f.Table, after, maxWait)
	if took := time.Since(start); f.ObserveLatency != nil && err == nil && took >= maxWait {
		f.ObserveLatency(took - maxWait)
	}
	return c, err
}

// pauseBeforeRead waits for jitter(d) before the table is read again. If
// f.KnownVersion is set, it applies the changes after version meanwhile or, if the
// store has dropped these, the changes after the known version. It returns the
// minimum version of the next snapshot.
func (f *Follower) pauseBeforeRead(ctx context.Context, version int64, d time.Duration) int64 {
	pauseCtx, cancel := context.WithTimeout(ctx, jitter(d))
	defer cancel()
	for f.KnownVersion != nil && pauseCtx.Err() == nil {
		if f.skipped && f.ReadSkipped != nil && f.ReadSkipped(ctx) == nil {
			f.skipped = false
		}
		c, err := f.wait(pauseCtx, version, d)
		if errors.Is(err, ErrCompacted) {
			if known := f.KnownVersion(); known > version {
				version, f.skipped = known, true
				continue
			}
		}
		if err != nil {
			break
		}
		if len(c.Rows) > 0 {
			f.Apply(c, false)
		}
		version = max(version, c.Version)
	}
	<-pauseCtx.Done()
	return version
}

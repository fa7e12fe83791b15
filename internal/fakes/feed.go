package fakes

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/store"
)

// Feed returns the calls that read a table of t and wait for its changes. The
// table of a row is the part of its key before the first slash.
func (t *Table) Feed() store.Feed {
	return store.Feed{
		Read: func(ctx context.Context, table string) (store.Changes, error) {
			return storeCall(ctx, &t.Faults, false, func() (store.Changes, error) { return t.read(table), nil })
		},
		Wait: func(ctx context.Context, table string, after int64, timeout time.Duration) (store.Changes, error) {
			c, err := t.waitChanges(ctx, table, after, timeout)
			if err != nil {
				return store.Changes{}, err
			}
			// The faults that are active at the time of the answer apply.
			return storeCall(ctx, &t.Faults, false, func() (store.Changes, error) { return c, nil })
		},
	}
}

// Compact drops the history. A wait for changes after a version older than the
// current one then fails with store.ErrCompacted.
func (t *Table) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compacted = t.version
}

// CompactUnseen commits a row of a table that nobody reads and drops the history
// up to this commit. The current version is then newer than any that a reader
// has seen, so that the next wait of each reader fails with store.ErrCompacted.
func (t *Table) CompactUnseen() {
	t.mu.Lock()
	defer t.mu.Unlock()
	const key = "unseen/row"
	t.version++
	t.log = append(t.log, Commit{At: time.Now(), Key: key, Version: t.version, Before: t.rows[key].Version})
	t.rows[key] = store.Row{Key: key, Version: t.version}
	t.compacted = t.version
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Table) read(table string) store.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The rows and the version must be read at once, or a reader that waits for
	// changes after the version misses a commit between the two reads.
	rows, version := t.visible()
	c := store.Changes{Version: version}
	for _, r := range rowsWithPrefix(rows, table+"/") {
		c.Rows = append(c.Rows, store.Change{Row: r})
	}
	return c
}

// waitChanges blocks until the table has changed after the given version, and
// returns the changes. After the timeout it returns none.
func (t *Table) waitChanges(ctx context.Context, table string, after int64, timeout time.Duration) (store.Changes, error) {
	limit := time.NewTimer(timeout)
	defer limit.Stop()
	for {
		c, changed, err := t.changesSince(table, after)
		if err != nil || len(c.Rows) > 0 {
			return c, err
		}
		select {
		case <-ctx.Done():
			return store.Changes{}, fmt.Errorf("follow %s: %w: %w", table, store.ErrUnavailable, ctx.Err())
		case <-limit.C:
			return c, nil
		case <-changed:
		}
	}
}

// changesSince returns the changes of the table after a version, and a channel
// that is closed at the next commit.
func (t *Table) changesSince(table string, after int64) (store.Changes, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.compacted {
		return store.Changes{}, nil, fmt.Errorf("follow %s after %d: %w", table, after, store.ErrCompacted)
	}
	c := store.Changes{Version: t.version}
	for i := len(t.log) - 1; i >= 0 && t.log[i].Version > after; i-- {
		if entry := t.log[i]; strings.HasPrefix(entry.Key, table+"/") {
			row := store.Row{Key: entry.Key, Value: entry.Value, Version: entry.Version}
			c.Rows = append([]store.Change{{Row: row, Deleted: entry.Deleted}}, c.Rows...)
		}
	}
	return c, t.changed, nil
}

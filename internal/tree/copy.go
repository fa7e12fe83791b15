package tree

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

// Copy is a copy of a table that an instance follows, from which other instances
// follow it. It is safe for concurrent use.
type Copy struct {
	mu sync.Mutex
	// rows has the latest change of each row, by key. Deleted rows stay, for
	// followers that do not know of their end.
	rows map[string]store.Change
	// version is the one up to which rows is complete.
	version int64
	// answeredAt is when a call for changes was last answered, zero after an error,
	// and confirmedAt when the store has confirmed the rows.
	answeredAt  time.Time
	confirmedAt time.Time
	// changed is closed and replaced when rows change or a call fails.
	changed chan struct{}
}

const (
	// maxAnswerAge is the age of the last answer beyond which a copy may be out of
	// date: an instance that follows a table gets one at least every 1.6 s.
	maxAnswerAge = 2 * time.Second
	// maxConfirmationAge is the same for the confirmation by the store. Each level of
	// the tree adds up to one wait. The bound ends a cycle of instances that know
	// different rows of each other for a while and so differ about their order.
	maxConfirmationAge = 6 * time.Second
)

// ErrOutOfDate means that a copy may lack changes.
var ErrOutOfDate = errors.New("copy of the table may be out of date")

// NewCopy returns an empty copy, which is out of date.
func NewCopy() *Copy {
	return &Copy{rows: make(map[string]store.Change), changed: make(chan struct{})}
}

// Apply applies changes. If snapshot is true, they are all rows of the table. Changes that
// come after an error may leave a gap, so they count only once Advance is called.
func (c *Copy) Apply(changes store.Changes, snapshot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(changes.Rows))
	for _, change := range changes.Rows {
		present[change.Row.Key] = true
		if change.Row.Version >= c.rows[change.Row.Key].Row.Version {
			c.rows[change.Row.Key] = change
		}
	}
	for key, change := range c.rows {
		if snapshot && !present[key] && !change.Deleted && change.Row.Version <= changes.Version {
			c.rows[key] = store.Change{Row: store.Row{Key: key, Version: changes.Version}, Deleted: true}
		}
	}
	if !c.answeredAt.IsZero() {
		c.version = max(c.version, changes.Version)
	}
	c.signal()
}

// Advance records that the copy is complete up to a version, as the store has confirmed
// at the given time.
func (c *Copy) Advance(version int64, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.answeredAt, c.confirmedAt = max(c.version, version), time.Now(), confirmedAt
}

// RecordResult records the result of a call for changes. After an error the copy is
// out of date until Advance is called.
func (c *Copy) RecordResult(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt = time.Time{}
	c.signal()
}

// signal wakes all waits. The caller must hold mu.
func (c *Copy) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Wait returns the changes after a version, ordered by version, and how long ago the
// store has confirmed them. It waits up to maxWait for the first change. The error is
// ErrOutOfDate if the copy may lack changes.
func (c *Copy) Wait(ctx context.Context, after int64, maxWait time.Duration) (store.Changes, time.Duration, error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for expired := false; ; {
		c.mu.Lock()
		current, changes, changed, age := c.isCurrent(), c.after(after), c.changed, time.Since(c.confirmedAt)
		c.mu.Unlock()
		switch {
		case !current:
			return store.Changes{}, 0, ErrOutOfDate
		case len(changes.Rows) > 0 || expired:
			return changes, age, nil
		}
		select {
		case <-ctx.Done():
			return store.Changes{}, 0, fmt.Errorf("wait for changes of a copy: %w", ctx.Err())
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

// isCurrent reports whether the copy has all changes up to its version and both were
// confirmed recently. The caller must hold mu.
func (c *Copy) isCurrent() bool {
	return !c.answeredAt.IsZero() && time.Since(c.answeredAt) < maxAnswerAge && time.Since(c.confirmedAt) < maxConfirmationAge
}

// after returns the changes after a version. The caller must hold mu.
func (c *Copy) after(version int64) store.Changes {
	changes := store.Changes{Version: c.version}
	for _, change := range c.rows {
		if change.Row.Version > version {
			changes.Rows = append(changes.Rows, change)
		}
	}
	slices.SortFunc(changes.Rows, func(a, b store.Change) int {
		return cmp.Or(cmp.Compare(a.Row.Version, b.Row.Version), strings.Compare(a.Row.Key, b.Row.Key))
	})
	return changes
}

package claim

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// fault is a fault that is injected into one commit.
	fault struct {
		delay time.Duration
		// answerLost makes the commit return store.ErrUncertain. The
		// transaction is then applied at once if applied is set, after
		// applyAfter if that is positive, and otherwise not at all.
		answerLost bool
		applied    bool
		applyAfter time.Duration
	}

	// fakeTable is an in-memory table with fault injection.
	fakeTable struct {
		mu      sync.Mutex
		rows    map[string]store.Row
		version int64
		// down makes all calls fail without effect.
		down bool
		// readsFail makes reads fail.
		readsFail bool
		// faults are consumed by the commits in order.
		faults  []fault
		commits []store.Txn
	}
)

// advance waits for d, which in a synctest bubble advances the fake clock.
func advance(d time.Duration) { <-time.After(d) }

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]store.Row)} }

func (f *fakeTable) table() store.Table {
	return store.Table{Get: f.get, Scan: f.scan, Commit: f.commit}
}

func (f *fakeTable) get(_ context.Context, key string) (store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.readsFail {
		return store.Row{}, store.ErrUnavailable
	}
	row, ok := f.rows[key]
	if !ok {
		return store.Row{Key: key}, store.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) scan(_ context.Context, prefix string) ([]store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []store.Row
	for k, row := range f.rows {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

func (f *fakeTable) commit(_ context.Context, t store.Txn) (int64, error) {
	f.mu.Lock()
	f.commits = append(f.commits, t)
	if f.down {
		f.mu.Unlock()
		return 0, fmt.Errorf("fake: %w", store.ErrUnavailable)
	}
	var injected fault
	if len(f.faults) > 0 {
		injected, f.faults = f.faults[0], f.faults[1:]
	}
	f.mu.Unlock()
	advance(injected.delay)
	if injected.answerLost {
		switch {
		case injected.applyAfter > 0:
			time.AfterFunc(injected.applyAfter, func() { _, _ = f.apply(t) })
		case injected.applied:
			_, _ = f.apply(t)
		}
		return 0, fmt.Errorf("fake: %w", store.ErrUncertain)
	}
	return f.apply(t)
}

func (f *fakeTable) apply(t store.Txn) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c store.ConflictError
	for _, k := range t.Checks {
		if f.rows[k.Key].Version != k.Version {
			c.Keys = append(c.Keys, k.Key)
		}
	}
	if c.Keys != nil {
		return 0, &c
	}
	f.version++
	for _, p := range t.Puts {
		f.rows[p.Key] = store.Row{Key: p.Key, Value: p.Value, Version: f.version}
	}
	for _, k := range t.Deletes {
		delete(f.rows, k)
	}
	return f.version, nil
}

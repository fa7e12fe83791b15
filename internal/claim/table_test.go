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
	// fault changes what happens to one commit.
	fault struct {
		delay time.Duration
		// lost loses the answer; effect tells whether the commit is applied,
		// and late after which time.
		lost   bool
		effect bool
		late   time.Duration
	}

	// fakeTable is an in-memory table with faults.
	fakeTable struct {
		mu      sync.Mutex
		rows    map[string]store.Row
		version int64
		// down makes all calls fail without effect.
		down bool
		// readsFail makes reads fail.
		readsFail bool
		// faults are used up by the commits in order.
		faults  []fault
		commits []store.Txn
	}
)

// advance lets the test's clock pass by d.
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
	var x fault
	if len(f.faults) > 0 {
		x, f.faults = f.faults[0], f.faults[1:]
	}
	f.mu.Unlock()
	advance(x.delay)
	if x.lost {
		switch {
		case x.late > 0:
			time.AfterFunc(x.late, func() { _, _ = f.apply(t) })
		case x.effect:
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

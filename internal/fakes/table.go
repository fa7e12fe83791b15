package fakes

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// Table is a table service in memory. One lock covers all rows, since a
	// transaction may touch any of them.
	Table struct {
		Faults Faults
		// PartOf returns the part of the store that holds a table. Each part
		// queues its transactions. By default there is one part.
		PartOf func(table string) string
		// MaxValue replaces maxValueBytes unless it is 0. The rows of operators may be
		// larger than those of instances.
		MaxValue int

		mu      sync.Mutex
		version int64
		rows    map[string]store.Row
		log     []Commit
		// changed is closed and replaced at each commit.
		changed chan struct{}
		// busyUntil is, by part of the store, when the last queued transaction is
		// served; each takes serviceTime.
		busyUntil   map[string]time.Time
		serviceTime time.Duration
		// compacted is the version up to which the history has been dropped.
		compacted int64
	}

	// Commit is one entry of the table's log: a row that a transaction wrote or
	// deleted.
	Commit struct {
		At      time.Time
		Key     string
		Version int64
		// Before is the previous version of the row, 0 if there was no row.
		Before  int64
		Deleted bool
		Value   []byte
	}

	// Objects is an object store in memory.
	Objects struct {
		Faults Faults

		mu     sync.Mutex
		values map[string][]byte
	}
)

// maxEntries is the maximum number of checks, puts and deletes in a transaction,
// and maxValueBytes the maximum length of a value. Both are limits of the
// platform's table service.
const (
	maxEntries    = 100
	maxValueBytes = 65536
)

// maxQueueTime is the queueing delay beyond which the table refuses transactions,
// as the platform's table service does.
const maxQueueTime = time.Second

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		PartOf: func(string) string { return "" }, rows: make(map[string]store.Row), changed: make(chan struct{}),
		busyUntil: make(map[string]time.Time),
	}
}

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{values: make(map[string][]byte)} }

// Store returns the calls to t.
func (t *Table) Store() store.Table {
	return store.Table{
		Get: func(ctx context.Context, key string) (store.Row, error) {
			return storeCall(ctx, &t.Faults, false, func() (store.Row, error) { return t.get(key) })
		},
		Scan: func(ctx context.Context, prefix string) ([]store.Row, error) {
			return storeCall(ctx, &t.Faults, false, func() ([]store.Row, error) { return t.scan(prefix), nil })
		},
		Commit: func(ctx context.Context, txn store.Txn) (int64, error) {
			return t.submit(ctx, txn)
		},
	}
}

// SetServiceTime makes the table process transactions one after another, each in
// the given time. With 0, the default, transactions take no time and are not
// queued.
func (t *Table) SetServiceTime(serviceTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serviceTime = serviceTime
}

// submit queues a transaction and commits it after its queueing and service time.
func (t *Table) submit(ctx context.Context, txn store.Txn) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	wait, err := t.enqueue(txn)
	if err != nil {
		return 0, err
	}
	fault := t.Faults.consume(true)
	fault.delay += wait
	return perform(ctx, fault, store.ErrUnavailable, store.ErrUncertain, func() (int64, error) {
		return t.commit(txn, time.Now())
	})
}

// enqueue adds a transaction to the queue and returns the time until it has been
// served.
func (t *Table) enqueue(txn store.Txn) (time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.serviceTime <= 0 {
		return 0, nil
	}
	parts := t.partsOf(txn)
	wait := time.Duration(0)
	for part := range parts {
		wait = max(wait, t.busyUntil[part].Sub(now))
	}
	if wait > maxQueueTime {
		return 0, fmt.Errorf("transaction queue is full: %w: %w", store.ErrUnavailable, store.ErrBusy)
	}
	// A transaction over several parts takes twice as long.
	wait += time.Duration(min(len(parts), 2)) * t.serviceTime
	for part := range parts {
		t.busyUntil[part] = now.Add(wait)
	}
	return wait, nil
}

// partsOf returns the parts that a transaction touches.
func (t *Table) partsOf(txn store.Txn) map[string]bool {
	parts := make(map[string]bool)
	add := func(key string) {
		table, _, _ := strings.Cut(key, "/")
		parts[t.PartOf(table)] = true
	}
	for _, c := range txn.Checks {
		add(c.Key)
	}
	for _, p := range txn.Puts {
		add(p.Key)
	}
	for _, k := range txn.Deletes {
		add(k)
	}
	return parts
}

// Log returns a copy of the log, in the order of the commits.
func (t *Table) Log() []Commit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.log)
}

func (t *Table) get(key string) (store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows, _ := t.visible()
	r, ok := rows[key]
	if !ok {
		return store.Row{Key: key}, fmt.Errorf("row %s: %w", key, store.ErrNotFound)
	}
	return copyRow(r), nil
}

func (t *Table) scan(prefix string) []store.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows, _ := t.visible()
	return rowsWithPrefix(rows, prefix)
}

// visible returns the rows that reads see, and their version. The lock is held.
func (t *Table) visible() (map[string]store.Row, int64) {
	staleness := t.Faults.staleness()
	if staleness == 0 {
		return t.rows, t.version
	}
	asOf, version := time.Now().Add(-staleness), int64(0)
	rows := make(map[string]store.Row)
	for _, entry := range t.log {
		if entry.At.After(asOf) {
			break
		}
		version = entry.Version
		rows[entry.Key] = store.Row{Key: entry.Key, Value: entry.Value, Version: entry.Version}
		if entry.Deleted {
			delete(rows, entry.Key)
		}
	}
	return rows, version
}

// rowsWithPrefix returns copies of the rows whose keys have the prefix, ordered by
// key.
func rowsWithPrefix(all map[string]store.Row, prefix string) []store.Row {
	var rows []store.Row
	for k, r := range all {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, copyRow(r))
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (t *Table) commit(txn store.Txn, now time.Time) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(txn.Checks) + len(txn.Puts) + len(txn.Deletes); n > maxEntries {
		return 0, fmt.Errorf("%d entries: %w", n, store.ErrInvalid)
	}
	for _, p := range txn.Puts {
		if n := len(p.Value); n > cmp.Or(t.MaxValue, maxValueBytes) {
			return 0, fmt.Errorf("row %s of %d bytes: %w", p.Key, n, store.ErrInvalid)
		}
	}
	var conflict store.ConflictError
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			conflict.Keys = append(conflict.Keys, c.Key)
		}
		if r, ok := t.rows[c.Key]; ok {
			conflict.Rows = append(conflict.Rows, copyRow(r))
		}
	}
	if len(conflict.Keys) > 0 {
		return 0, &conflict
	}
	t.version++
	for _, p := range txn.Puts {
		before := t.rows[p.Key].Version
		r := copyRow(store.Row{Key: p.Key, Value: p.Value, Version: t.version})
		t.rows[p.Key] = r
		t.log = append(t.log, Commit{At: now, Key: p.Key, Version: t.version, Before: before, Value: r.Value})
	}
	for _, k := range txn.Deletes {
		before := t.rows[k].Version
		delete(t.rows, k)
		t.log = append(t.log, Commit{At: now, Key: k, Version: t.version, Before: before, Deleted: true})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil
}

// Store returns the calls to o.
func (o *Objects) Store() store.Objects {
	return store.Objects{
		Get: func(ctx context.Context, key string) ([]byte, error) {
			return storeCall(ctx, &o.Faults, false, func() ([]byte, error) { return o.get(key) })
		},
		Put: func(ctx context.Context, key string, value []byte) error {
			value = slices.Clone(value)
			_, err := storeCall(ctx, &o.Faults, true, func() (struct{}, error) {
				o.mu.Lock()
				defer o.mu.Unlock()
				o.values[key] = value
				return struct{}{}, nil
			})
			return err
		},
	}
}

func (o *Objects) get(key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v, ok := o.values[key]
	if !ok {
		return nil, fmt.Errorf("object %s: %w", key, store.ErrNotFound)
	}
	return slices.Clone(v), nil
}

func storeCall[T any](ctx context.Context, fs *Faults, write bool, effect func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return perform(ctx, fs.consume(write), store.ErrUnavailable, store.ErrUncertain, effect)
}

func copyRow(r store.Row) store.Row {
	r.Value = slices.Clone(r.Value)
	return r
}

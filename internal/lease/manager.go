package lease

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// Manager acquires, renews and releases the lease of one shard for one
	// instance. It is safe for concurrent use.
	Manager struct {
		table    store.Table
		domain   ident.Domain
		instance ident.Instance

		mu       sync.Mutex
		state    State
		lastRead observation
		// reportedEpoch is the highest epoch that a worker reported to have
		// accepted.
		reportedEpoch int64
	}

	// State is the last known state of a lease.
	State struct {
		// Held reports whether this instance is the holder.
		Held   bool
		Holder ident.Instance
		Epoch  int64
		// Check makes a transaction fail unless this instance still holds the
		// lease.
		Check store.Check
		// Renewed is the time of the last renewal by this instance.
		Renewed time.Time
	}

	// observation is the content of the lease and heartbeat rows at readAt, and
	// the time of the first read of the same versions.
	observation struct {
		leaseRow       store.Row
		lease          record.Lease
		heartbeatRow   store.Row
		unchangedSince time.Time
		readAt         time.Time
		present        bool // the lease row exists
	}
)

const (
	// RenewInterval is the time between two renewals.
	RenewInterval = time.Second
	// TTL is the time without a renewal after which a lease can be acquired. With
	// this TTL, the renewal interval and one observation round, urgent jobs
	// still start within 8 s when the owner fails.
	TTL = 4 * time.Second
	// Grace is the additional wait of an instance for each rank behind the
	// preferred holder, so that the preferred holder acquires it first.
	Grace = time.Second
	// MaxObservers is the number of instances, by rank, that read the rows of a
	// shard that they do not own. A higher number would only add reads.
	MaxObservers = 3
)

// ErrLost is returned if another instance has acquired the lease.
var ErrLost = errors.New("lease lost")

// NewManager returns a manager that does not hold the lease.
func NewManager(t store.Table, d ident.Domain, i ident.Instance) *Manager {
	return &Manager{table: t, domain: d, instance: i}
}

// State returns the last known state of the lease.
func (m *Manager) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Step renews the lease if it is held and the renewal is due. If it is not held,
// Step reads it and acquires it if possible. The rank is the position of this
// instance in the order of preferred holders, from 0. Step returns the resulting
// state. An error of the store leaves the state unchanged, except ErrLost.
func (m *Manager) Step(ctx context.Context, now time.Time, rank int) (State, error) {
	s := m.State()
	if s.Held {
		if now.Sub(s.Renewed) < RenewInterval {
			return s, nil
		}
		return m.renew(ctx, now)
	}
	if rank >= MaxObservers {
		return State{}, nil
	}
	return m.observe(ctx, now, rank)
}

// Release gives up the lease, so that the next holder need not wait for TTL.
func (m *Manager) Release(ctx context.Context) error {
	s := m.State()
	if !s.Held {
		return nil
	}
	value, err := record.EncodeLease(record.Lease{Holder: s.Holder, Epoch: s.Epoch, Released: true})
	if err != nil {
		return fmt.Errorf("release lease of %s: %w", m.domain, err)
	}
	m.reset()
	_, err = m.table.Commit(ctx, store.Txn{
		Checks: []store.Check{s.Check},
		Puts:   []store.Put{{Key: s.Check.Key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("release lease of %s: %w", m.domain, err)
	}
	return nil
}

// MarkLost resets the manager after a worker or the store has reported a higher
// epoch.
func (m *Manager) MarkLost() { m.reset() }

// LostToEpoch resets the manager like MarkLost and records the epoch that a
// worker has accepted. When this instance acquires the lease again, it uses a
// higher epoch. Otherwise a worker that has accepted an epoch that was never in
// the lease row would refuse every new owner.
func (m *Manager) LostToEpoch(epoch int64) {
	m.reset()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedEpoch = max(m.reportedEpoch, epoch)
}

// highestReportedEpoch returns the highest epoch passed to LostToEpoch.
func (m *Manager) highestReportedEpoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reportedEpoch
}

func (m *Manager) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = State{}
	m.lastRead = observation{}
}

// renew rewrites the heartbeat row. It returns ErrLost if the lease row has
// changed.
func (m *Manager) renew(ctx context.Context, now time.Time) (State, error) {
	s := m.State()
	_, err := m.table.Commit(ctx, store.Txn{
		Checks: []store.Check{s.Check},
		Puts:   []store.Put{{Key: record.HeartbeatKey(m.domain), Value: []byte(`"` + string(m.instance) + `"`)}},
	})
	if store.IsConflict(err) {
		m.reset()
		return State{}, fmt.Errorf("renew lease of %s at epoch %d: %w", m.domain, s.Epoch, ErrLost)
	}
	if err != nil {
		return s, fmt.Errorf("renew lease of %s: %w", m.domain, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Held && m.state.Epoch == s.Epoch {
		m.state.Renewed = now
	}
	return m.state, nil
}

// observe reads the lease and acquires it if possible.
func (m *Manager) observe(ctx context.Context, now time.Time, rank int) (State, error) {
	observed, err := m.read(ctx, now)
	if err != nil {
		return State{}, err
	}
	if observed.present && observed.lease.Holder == m.instance && !observed.lease.Released {
		if m.highestReportedEpoch() > observed.lease.Epoch {
			return m.acquire(ctx, now, observed)
		}
		// The lease row names this instance although its state does not: the
		// answer of an earlier acquisition was lost, or the manager was reset.
		return m.setHeld(observed.leaseRow.Version, observed.lease.Epoch, now), nil
	}
	if !mayAcquire(observed, now, rank) {
		return State{Holder: observed.lease.Holder, Epoch: observed.lease.Epoch}, nil
	}
	return m.acquire(ctx, now, observed)
}

// mayAcquire reports whether an instance of the given rank may acquire the lease.
func mayAcquire(observed observation, now time.Time, rank int) bool {
	wait := TTL
	if !observed.present || observed.lease.Released {
		wait = 0
	}
	wait += time.Duration(rank) * Grace
	return now.Sub(observed.unchangedSince) >= wait
}

// acquire commits a new lease row with a higher epoch. On a conflict it returns a
// state in which the lease is not held.
func (m *Manager) acquire(ctx context.Context, now time.Time, observed observation) (State, error) {
	epoch := max(observed.lease.Epoch, m.highestReportedEpoch()) + 1
	value, err := record.EncodeLease(record.Lease{Holder: m.instance, Epoch: epoch})
	if err != nil {
		return State{}, fmt.Errorf("acquire lease of %s: %w", m.domain, err)
	}
	leaseKey, heartbeatKey := record.LeaseKey(m.domain), record.HeartbeatKey(m.domain)
	version, err := m.table.Commit(ctx, store.Txn{
		Checks: []store.Check{
			{Key: leaseKey, Version: observed.leaseRow.Version},
			{Key: heartbeatKey, Version: observed.heartbeatRow.Version},
		},
		Puts: []store.Put{
			{Key: leaseKey, Value: value},
			{Key: heartbeatKey, Value: []byte(`"` + string(m.instance) + `"`)},
		},
	})
	if store.IsConflict(err) {
		return State{}, nil
	}
	if err != nil {
		return State{}, fmt.Errorf("acquire lease of %s: %w", m.domain, err)
	}
	return m.setHeld(version, epoch, now), nil
}

// setHeld records that this instance holds the lease. The version is that of
// the lease row.
func (m *Manager) setHeld(version, epoch int64, now time.Time) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = State{
		Held: true, Holder: m.instance, Epoch: epoch, Renewed: now,
		Check: store.Check{Key: record.LeaseKey(m.domain), Version: version},
	}
	return m.state
}

// read reads the lease row and then the heartbeat row. The order is safe: an
// acquisition by another instance between the reads changes both rows, so the
// version check on the lease row in a later acquisition by this instance fails.
func (m *Manager) read(ctx context.Context, now time.Time) (observation, error) {
	leaseRow, err := getRow(ctx, m.table, record.LeaseKey(m.domain))
	if err != nil {
		return observation{}, fmt.Errorf("read lease of %s: %w", m.domain, err)
	}
	heartbeatRow, err := getRow(ctx, m.table, record.HeartbeatKey(m.domain))
	if err != nil {
		return observation{}, fmt.Errorf("read heartbeat of %s: %w", m.domain, err)
	}
	observed := observation{leaseRow: leaseRow, heartbeatRow: heartbeatRow,
		unchangedSince: now, readAt: now, present: leaseRow.Version != 0}
	if observed.present {
		if observed.lease, err = record.DecodeLease(leaseRow.Value); err != nil {
			return observation{}, fmt.Errorf("read lease of %s: %w", m.domain, err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.lastRead
	// The wait for TTL starts anew after a gap in the reads, because the gap is
	// no evidence that the holder failed: while the store is down, it cannot
	// renew either.
	continuous := !previous.unchangedSince.IsZero() && now.Sub(previous.readAt) < TTL
	if continuous && previous.leaseRow.Version == observed.leaseRow.Version &&
		previous.heartbeatRow.Version == observed.heartbeatRow.Version {
		observed.unchangedSince = previous.unchangedSince
	}
	m.lastRead = observed
	return observed, nil
}

// getRow returns the row, with version 0 if it is absent.
func getRow(ctx context.Context, t store.Table, key string) (store.Row, error) {
	row, err := t.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: key}, nil
	}
	if err != nil {
		return store.Row{}, fmt.Errorf("get %s: %w", key, err)
	}
	return row, nil
}

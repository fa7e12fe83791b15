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
	// Keeper takes, renews and releases the lease of one shard for one
	// instance. It is safe for concurrent use.
	Keeper struct {
		table    store.Table
		domain   ident.Domain
		instance ident.Instance

		mu    sync.Mutex
		state State
		seen  sighting
		// outbid is the highest epoch that a worker named.
		outbid int64
	}

	// State is the lease as an instance knows it.
	State struct {
		// Held reports whether this instance is the holder.
		Held   bool
		Holder ident.Instance
		Epoch  int64
		// Check ties a transaction to the present holder.
		Check store.Check
		// Renewed is the instant of the last renewal by this instance.
		Renewed time.Time
	}

	// sighting is what was read of the rows and when it was first seen so.
	sighting struct {
		lease     store.Row
		form      record.Lease
		heartbeat store.Row
		since     time.Time
		at        time.Time // instant of the last read
		present   bool
	}
)

const (
	// Renewal is the time between two renewals.
	Renewal = time.Second
	// TTL is the time without a renewal after which a lease can be taken.
	// With the renewal and one round of observation, urgent work still starts
	// within 8 s when the owner dies.
	TTL = 4 * time.Second
	// Grace is the additional wait for each rank behind the preferred holder,
	// so that the preferred one comes first.
	Grace = time.Second
	// Watchers is the number of instances, by rank, that read the rows of a
	// shard which they do not hold. More of them would only cost reads.
	Watchers = 3
)

// ErrLost means that another instance has taken the lease.
var ErrLost = errors.New("lease lost")

// NewKeeper returns a keeper that holds nothing.
func NewKeeper(t store.Table, d ident.Domain, i ident.Instance) *Keeper {
	return &Keeper{table: t, domain: d, instance: i}
}

// State returns the last known state.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}

// Step renews the lease if it is held and due, and otherwise looks whether it
// can be taken. The rank is the place of this instance in the order of
// preference, from 0. It returns the state after the step. An error of the
// store leaves the state as it was, except ErrLost.
func (k *Keeper) Step(ctx context.Context, now time.Time, rank int) (State, error) {
	s := k.State()
	if s.Held {
		if now.Sub(s.Renewed) < Renewal {
			return s, nil
		}
		return k.renew(ctx, now)
	}
	if rank >= Watchers {
		return State{}, nil
	}
	return k.observe(ctx, now, rank)
}

// Release gives the lease up so that the next holder need not wait.
func (k *Keeper) Release(ctx context.Context) error {
	s := k.State()
	if !s.Held {
		return nil
	}
	value, err := record.EncodeLease(record.Lease{Holder: s.Holder, Epoch: s.Epoch, Released: true})
	if err != nil {
		return fmt.Errorf("release lease of %s: %w", k.domain, err)
	}
	k.drop()
	_, err = k.table.Commit(ctx, store.Txn{
		Checks: []store.Check{s.Check},
		Puts:   []store.Put{{Key: s.Check.Key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("release lease of %s: %w", k.domain, err)
	}
	return nil
}

// Lost tells the keeper that a worker or the store has shown a higher epoch.
func (k *Keeper) Lost() { k.drop() }

// Outbid is Lost with the epoch that a worker has accepted. The next holder
// takes a higher one, so that a worker which remembers an epoch that the row
// never had cannot keep the shard without an owner.
func (k *Keeper) Outbid(epoch int64) {
	k.drop()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outbid = max(k.outbid, epoch)
}

func (k *Keeper) highestBid() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outbid
}

func (k *Keeper) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = State{}
	k.seen = sighting{}
}

func (k *Keeper) renew(ctx context.Context, now time.Time) (State, error) {
	s := k.State()
	_, err := k.table.Commit(ctx, store.Txn{
		Checks: []store.Check{s.Check},
		Puts:   []store.Put{{Key: record.HeartbeatKey(k.domain), Value: []byte(`"` + string(k.instance) + `"`)}},
	})
	if store.IsConflict(err) {
		k.drop()
		return State{}, fmt.Errorf("renew lease of %s at epoch %d: %w", k.domain, s.Epoch, ErrLost)
	}
	if err != nil {
		return s, fmt.Errorf("renew lease of %s: %w", k.domain, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.Held && k.state.Epoch == s.Epoch {
		k.state.Renewed = now
	}
	return k.state, nil
}

func (k *Keeper) observe(ctx context.Context, now time.Time, rank int) (State, error) {
	seen, err := k.read(ctx, now)
	if err != nil {
		return State{}, err
	}
	if seen.present && seen.form.Holder == k.instance && !seen.form.Released {
		if k.highestBid() > seen.form.Epoch {
			return k.take(ctx, now, seen)
		}
		// The answer to an earlier take was lost.
		return k.hold(seen.lease.Version, seen.form.Epoch, now), nil
	}
	if !canTake(seen, now, rank) {
		return State{Holder: seen.form.Holder, Epoch: seen.form.Epoch}, nil
	}
	return k.take(ctx, now, seen)
}

func canTake(s sighting, now time.Time, rank int) bool {
	wait := TTL
	if !s.present || s.form.Released {
		wait = 0
	}
	wait += time.Duration(rank) * Grace
	return now.Sub(s.since) >= wait
}

func (k *Keeper) take(ctx context.Context, now time.Time, seen sighting) (State, error) {
	epoch := max(seen.form.Epoch, k.highestBid()) + 1
	value, err := record.EncodeLease(record.Lease{Holder: k.instance, Epoch: epoch})
	if err != nil {
		return State{}, fmt.Errorf("take lease of %s: %w", k.domain, err)
	}
	leaseKey, heartbeatKey := record.LeaseKey(k.domain), record.HeartbeatKey(k.domain)
	version, err := k.table.Commit(ctx, store.Txn{
		Checks: []store.Check{
			{Key: leaseKey, Version: seen.lease.Version},
			{Key: heartbeatKey, Version: seen.heartbeat.Version},
		},
		Puts: []store.Put{
			{Key: leaseKey, Value: value},
			{Key: heartbeatKey, Value: []byte(`"` + string(k.instance) + `"`)},
		},
	})
	if store.IsConflict(err) {
		return State{}, nil
	}
	if err != nil {
		return State{}, fmt.Errorf("take lease of %s: %w", k.domain, err)
	}
	return k.hold(version, epoch, now), nil
}

func (k *Keeper) hold(version, epoch int64, now time.Time) State {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = State{
		Held: true, Holder: k.instance, Epoch: epoch, Renewed: now,
		Check: store.Check{Key: record.LeaseKey(k.domain), Version: version},
	}
	return k.state
}

// read reads both rows. The lease row is read first: a take between the reads
// changes both, and the checks of the own take then fail.
func (k *Keeper) read(ctx context.Context, now time.Time) (sighting, error) {
	leaseRow, err := getRow(ctx, k.table, record.LeaseKey(k.domain))
	if err != nil {
		return sighting{}, fmt.Errorf("read lease of %s: %w", k.domain, err)
	}
	heartbeatRow, err := getRow(ctx, k.table, record.HeartbeatKey(k.domain))
	if err != nil {
		return sighting{}, fmt.Errorf("read heartbeat of %s: %w", k.domain, err)
	}
	s := sighting{lease: leaseRow, heartbeat: heartbeatRow, since: now, at: now, present: leaseRow.Version != 0}
	if s.present {
		if s.form, err = record.DecodeLease(leaseRow.Value); err != nil {
			return sighting{}, fmt.Errorf("read lease of %s: %w", k.domain, err)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.seen
	// A gap in the reads is no evidence against the holder: while the store is
	// down it cannot renew either.
	seenOn := !old.since.IsZero() && now.Sub(old.at) < TTL
	if seenOn && old.lease.Version == s.lease.Version && old.heartbeat.Version == s.heartbeat.Version {
		s.since = old.since
	}
	k.seen = s
	return s, nil
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

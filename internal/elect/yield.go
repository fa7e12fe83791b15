package elect

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/store"
)

// Load pattern: an instance with few cores and a slow link comes to lead a large site,
// because the larger ones were away when the lease expired. It would lead until it fails,
// long after they are back.

const (
	// yieldAge is the age of a term from which an instance with fewer than leaderCores
	// offers the lease to larger ones. By then it has read the state of the workers, and
	// what had been lost together is back.
	yieldAge = 3 * time.Second
	// minYieldInterval is the least time between two offers of an instance. It doubles
	// with each one up to maxYieldInterval, since each costs a change of the leader, also
	// if there is no larger instance.
	minYieldInterval = 20 * time.Second
	maxYieldInterval = 10 * time.Minute
	// yieldWait is the additional time for which an instance that has offered the lease
	// does not acquire it. It is longer than the wait of a large instance in another
	// region and shorter than the time in which callers notice.
	yieldWait = 700 * time.Millisecond
	// maxYieldLatency is the duration of a renewal above which no offer is made before the
	// term is lateYieldAge old. A small instance in another region takes 50 ms and more
	// when its link is busy, and a slow store 300 ms. A leader that is overloaded takes as
	// long, and a store is rarely slow for longer than lateYieldAge.
	maxYieldLatency = 150 * time.Millisecond
	lateYieldAge    = 10 * time.Second
)

// yielding is the state of the offers of an instance. The zero value has made none.
type yielding struct {
	// at is the time of the last offer, and interval the least time until the next.
	at       time.Time
	interval time.Duration
	// requested reports whether the present term is to end with an offer.
	requested bool
}

// isSmall reports whether an instance with the given cores leads only if no larger one does.
func isSmall(cores float64) bool { return cores > 0 && cores < leaderCores }

// due reports whether an instance with the given cores offers the lease of a term.
func (y *yielding) due(cores float64, termAge time.Duration, now time.Time) bool {
	return isSmall(cores) && termAge >= yieldAge && (y.at.IsZero() || now.Sub(y.at) >= y.interval)
}

// offer records an offer.
func (y *yielding) offer(now time.Time) {
	y.at, y.requested = now, true
	y.interval = min(max(2*y.interval, minYieldInterval), maxYieldInterval)
}

// wait returns the additional wait of an instance after its last offer.
func (y *yielding) wait(now time.Time) time.Duration {
	if y.at.IsZero() || now.Sub(y.at) >= minYieldInterval {
		return 0
	}
	return yieldWait
}

// offerTerm decides after a renewal, which took the given time, whether the term that has
// begun at the given time ends with an offer. It does not while the store is slow, since a
// change of the leader takes long then, or before the term has loaded its state and stored
// the progress of former leaders, since the next leader would begin anew.
func (e *Elector) offerTerm(epoch int64, begun time.Time, took time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if took > maxYieldLatency && now.Sub(begun) < lateYieldAge {
		return false
	}
	if e.settledEpoch != epoch || len(e.lease.Former) > 0 || !e.yielding.due(e.Self.Cores, now.Sub(begun), now) {
		return false
	}
	e.yielding.offer(now)
	e.Log.Write(event.LeaseOffered, "epoch", epoch, "cores", e.Self.Cores, "age", now.Sub(begun).String())
	return true
}

// releasePrevious releases the lease of the previous incarnation of an instance with few
// cores, which has ended, so that a larger instance can lead at once after all have lost
// power. It reports whether it tried to, which it does once.
func (e *Elector) releasePrevious(ctx context.Context) bool {
	e.mu.Lock()
	row, lease := e.row, e.lease
	if !isSmall(e.Self.Cores) || e.retired || lease.Released || lease.Holder == "" || lease.Holder != e.previousIncarnation {
		e.mu.Unlock()
		return false
	}
	e.previousIncarnation = ""
	e.yielding.at, e.yielding.interval = time.Now(), minYieldInterval
	e.mu.Unlock()
	lease.Renewal++
	lease.Released = true
	err := e.storeLease(ctx, row, lease)
	e.applyConflict(err)
	e.Log.Write(event.LeaseReleased, "epoch", lease.Epoch, "outcome", reason(err))
	return true
}

// storeLease writes a lease over the row that was read, and applies it.
func (e *Elector) storeLease(ctx context.Context, row store.Row, lease ledger.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout())
	defer cancel()
	value, err := ledger.Encode(lease)
	if err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	version, err := e.Table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: ledger.LeaseKey, Version: row.Version}},
		Puts:   []store.Put{{Key: ledger.LeaseKey, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyRow(store.Row{Key: ledger.LeaseKey, Value: value, Version: version})
	return nil
}

// takeOffer reports whether the term of the epoch has ended with an offer. If no other
// instance leads since, the lease then names this one among the former leaders: unlike one
// that stops, it answers its successor, which asks for the progress that is not stored.
func (e *Elector) takeOffer(epoch int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.yielding.requested {
		return false
	}
	e.yielding.requested = false
	if e.lease.Epoch == epoch && !slices.Contains(e.lease.Former, e.Self.Peer) && e.Self.Peer.IsValid() {
		e.lease.Former = append(slices.Clone(e.lease.Former), e.Self.Peer)
		e.settledEpoch = 0
	}
	return true
}

package detour

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// PeerCalls are the calls of the table service that the given peer makes for
	// this instance.
	PeerCalls struct {
		Get    func(ctx context.Context, peer netip.AddrPort, key string) (store.Row, error)
		Commit func(ctx context.Context, peer netip.AddrPort, t store.Txn) (int64, error)
		Read   func(ctx context.Context, peer netip.AddrPort, table string) (store.Changes, error)
		Wait   func(ctx context.Context, peer netip.AddrPort, table string, after int64, maxWait time.Duration) (store.Changes, error)
	}

	// Deps are the dependencies of a Detour.
	Deps struct {
		Table store.Table
		Feed  store.Feed
		// Forward makes calls through peers.
		Forward PeerCalls
		// Peers returns the addresses of the peers in order of preference.
		Peers func() []netip.AddrPort
		// PeerFailed is called with the address of a peer that has not answered.
		PeerFailed func(netip.AddrPort)
		Log        event.Log
	}

	// Detour hedges the calls of the table service. It is safe for concurrent
	// use.
	Detour struct {
		Deps

		mu sync.Mutex
		// failedAt is the time of the last direct call if it failed, and zero if
		// it was answered.
		failedAt time.Time
		// lastFailure is the time of the latest failure of a direct call, also
		// if later calls were answered. failureLogged reports whether the log
		// shows the direct path as failing.
		lastFailure   time.Time
		failureLogged bool
		// failing is closed and replaced when the direct path begins to fail, so
		// that calls that wait for a change are made through a peer as well.
		failing chan struct{}
		// peersRefusedAt is when the service last refused a call through a peer.
		peersRefusedAt time.Time
		// latency is a decaying maximum of the latencies of direct answers.
		latency time.Duration
	}
)

const (
	// latencyFactor is the multiple of the usual latency after which a call
	// without an answer is also made through a peer, within the bounds
	// minHedgeDelay and maxHedgeDelay. A slow service, which takes about 60 times
	// its usual 4 ms, must not get each call twice.
	latencyFactor = 3
	minHedgeDelay = 250 * time.Millisecond
	maxHedgeDelay = 800 * time.Millisecond
	// peerHedgeDelay is the time after which a call is made through a further
	// peer: two round trips between regions. With minHedgeDelay it leaves time for
	// an answer within the 500 ms of a renewal of the lease.
	peerHedgeDelay = 120 * time.Millisecond
	// arrivalStall is the time after which an answer of which no further part arrives
	// counts as late.
	arrivalStall = 500 * time.Millisecond
	// latencyDecay is the divisor of the decay: each answer lowers the usual
	// latency by 1/latencyDecay of it, but not below the latency of the answer.
	latencyDecay = 16
	// failureWindow is the time after a failure of the last direct call in which
	// calls are made directly and through a peer at once.
	failureWindow = 3 * time.Second
	// recoveryPeriod is the time without a failure after which the log reports
	// that the direct path works again.
	recoveryPeriod = time.Second
	// peerSuspension is how long no calls are made through peers after the service
	// has refused one of them too.
	peerSuspension = 500 * time.Millisecond
	// maxPeers bounds the peers through which one call is made.
	maxPeers = 2
)

// ErrNotForwarded is wrapped by errors of calls that a peer has not forwarded to
// the service.
var ErrNotForwarded = errors.New("call not forwarded by the other instance")

// New returns a Detour that assumes that the direct path works.
func New(d Deps) *Detour { return &Detour{Deps: d, failing: make(chan struct{})} }

// Table returns the hedged calls on rows. Scan is not hedged.
func (d *Detour) Table() store.Table {
	return store.Table{
		Get: func(ctx context.Context, key string) (store.Row, error) {
			return run(ctx, d, tableCall[store.Row]{
				direct: func(ctx context.Context) (store.Row, error) { return d.Deps.Table.Get(ctx, key) },
				forward: func(ctx context.Context, peer netip.AddrPort, _ bool) (store.Row, error) {
					return d.Forward.Get(ctx, peer, key)
				},
			})
		},
		Scan: d.Deps.Table.Scan,
		Commit: func(ctx context.Context, t store.Txn) (int64, error) {
			return run(ctx, d, tableCall[int64]{
				direct: func(ctx context.Context) (int64, error) { return d.Deps.Table.Commit(ctx, t) },
				forward: func(ctx context.Context, peer netip.AddrPort, _ bool) (int64, error) {
					return d.Forward.Commit(ctx, peer, t)
				},
			})
		},
	}
}

// Feed returns the hedged calls that read a table and wait for its changes.
func (d *Detour) Feed() store.Feed {
	return store.Feed{
		Read: func(ctx context.Context, table string) (store.Changes, error) {
			return run(ctx, d, tableCall[store.Changes]{
				direct: func(ctx context.Context) (store.Changes, error) { return d.Deps.Feed.Read(ctx, table) },
				forward: func(ctx context.Context, peer netip.AddrPort, _ bool) (store.Changes, error) {
					return d.Forward.Read(ctx, peer, table)
				},
			})
		},
		Wait: func(ctx context.Context, table string, after int64, maxWait time.Duration) (store.Changes, error) {
			return run(ctx, d, tableCall[store.Changes]{
				maxWait: maxWait,
				direct:  func(ctx context.Context) (store.Changes, error) { return d.Deps.Feed.Wait(ctx, table, after, maxWait) },
				forward: func(ctx context.Context, peer netip.AddrPort, waitExpired bool) (store.Changes, error) {
					remaining := maxWait
					if waitExpired {
						// The direct call has already waited for maxWait.
						remaining = 0
					}
					return d.Forward.Wait(ctx, peer, table, after, remaining)
				},
			})
		},
	}
}

// isAnswer reports whether err is nil or an error with which the service has
// answered the call.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrCompacted) ||
		errors.Is(err, store.ErrInvalid) || store.IsConflict(err)
}

// hedgeDelay returns how long a direct call is waited for before it is made
// through a peer as well.
func (d *Detour) hedgeDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.failedAt.IsZero() && time.Since(d.failedAt) < failureWindow {
		return 0
	}
	return min(max(latencyFactor*d.latency, minHedgeDelay), maxHedgeDelay)
}

// failureSignal returns a channel that is closed when the direct path begins to
// fail.
func (d *Detour) failureSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failing
}

// recordDirect records the outcome of a direct call. The elapsed time excludes
// the time for which the call was to wait for a change.
func (d *Detour) recordDirect(ok bool, elapsed time.Duration) {
	d.mu.Lock()
	now := time.Now()
	if ok {
		d.failedAt = time.Time{}
		d.latency = max(elapsed, d.latency-d.latency/latencyDecay)
	} else {
		if d.failedAt.IsZero() {
			close(d.failing)
			d.failing = make(chan struct{})
		}
		d.failedAt, d.lastFailure = now, now
	}
	// A store that refuses some calls and answers others is logged once, not at
	// each change between the two.
	logChange := !ok && !d.failureLogged || ok && d.failureLogged && now.Sub(d.lastFailure) > recoveryPeriod
	d.failureLogged = d.failureLogged != logChange
	d.mu.Unlock()
	if logChange {
		d.Log.Write(event.StoreWay, "direct", ok)
	}
}

// recordPeerRefusal records that the service refuses calls of peers too.
func (d *Detour) recordPeerRefusal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peersRefusedAt = time.Now()
}

// peers returns the peers through which a call may be made.
func (d *Detour) peers() []netip.AddrPort {
	d.mu.Lock()
	suspended := !d.peersRefusedAt.IsZero() && time.Since(d.peersRefusedAt) < peerSuspension
	d.mu.Unlock()
	if suspended {
		return nil
	}
	list := d.Peers()
	return list[:min(len(list), maxPeers)]
}

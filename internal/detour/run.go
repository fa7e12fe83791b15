package detour

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// tableCall is one call of the table service, as it is made directly and
	// through a peer.
	tableCall[T any] struct {
		// maxWait is how long the call waits for a change, 0 for an immediate
		// answer.
		maxWait time.Duration
		direct  func(ctx context.Context) (T, error)
		// forward makes the call through a peer. waitExpired tells that the direct
		// call has already waited for maxWait.
		forward func(ctx context.Context, peer netip.AddrPort, waitExpired bool) (T, error)
	}

	// result is the outcome of one copy of a call. peer is invalid for the direct
	// copy, and elapsed, the time until its answer began, is set only for it.
	result[T any] struct {
		value   T
		err     error
		peer    netip.AddrPort
		elapsed time.Duration
	}

	// attempt is a call in progress.
	attempt[T any] struct {
		*Detour
		tableCall[T]
		ctx     context.Context
		started time.Time
		results chan result[T]
		// remaining are the peers that have not been called yet, valid once
		// peersLoaded is set.
		remaining   []netip.AddrPort
		peersLoaded bool
		// pending counts the copies without an outcome, and directPending reports
		// whether the direct one is among them.
		pending       int
		directPending bool
		// latestPeer is the peer that was called last, invalid once its call has
		// an outcome or it was reported as failed.
		latestPeer netip.AddrPort
		// headStart reports whether the direct copy was sent before the others, so
		// that an earlier answer through a peer is evidence that the direct path
		// fails.
		headStart bool
		// firstPart and latestPart are the times from started until the first part
		// of the direct answer and the latest part of any answer have arrived, 0 if
		// none has.
		firstPart  atomic.Int64
		latestPart atomic.Int64
		// conflict is a conflict that arrived while another copy was pending, and
		// failure is the error to return if no copy is answered.
		conflict *result[T]
		failure  error
	}
)

// run makes a call directly and, if that fails or is slow, through one peer after
// another. It returns the first answer.
func run[T any](ctx context.Context, d *Detour, c tableCall[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempt[T]{
		Detour: d, tableCall: c, started: time.Now(), results: make(chan result[T], 1+maxPeers), directPending: true, pending: 1,
	}
	a.ctx = store.WithProgress(ctx, func() { a.latestPart.Store(int64(time.Since(a.started))) })
	go func() {
		value, err := c.direct(store.WithProgress(a.ctx, func() { a.firstPart.CompareAndSwap(0, int64(time.Since(a.started))) }))
		elapsed := time.Since(a.started)
		if first := time.Duration(a.firstPart.Load()); first > 0 {
			// The size of an answer says nothing about the path.
			elapsed = first
		}
		a.results <- result[T]{value: value, err: err, elapsed: elapsed}
	}()
	failing := d.failureSignal()
	hedgeDelay := d.hedgeDelay()
	firstDelay := c.maxWait + hedgeDelay
	if hedgeDelay == 0 {
		a.callNextPeer()
		firstDelay = a.nextPeerDelay()
	} else {
		a.headStart = true
	}
	timer := time.NewTimer(firstDelay)
	defer timer.Stop()
	for a.pending > 0 {
		select {
		case <-timer.C:
			if a.conflict != nil {
				return a.conflict.value, a.conflict.err
			}
			if remaining := a.arrivalTimeout(); remaining > 0 {
				timer.Reset(remaining)
				continue
			}
			a.abandonPeer()
			a.callNextPeer()
			timer.Reset(a.nextPeerDelay())
		case <-failing:
			failing = nil
			if c.maxWait > 0 && !a.peersLoaded && a.arrivalTimeout() <= 0 {
				a.callNextPeer()
			}
		case r := <-a.results:
			if a.handleResult(r) {
				return r.value, r.err
			}
			if a.conflict != nil {
				timer.Reset(minHedgeDelay)
			}
		}
	}
	if a.conflict != nil {
		return a.conflict.value, a.conflict.err
	}
	var zero T
	return zero, a.failure
}

// handleResult records an outcome and reports whether run returns it.
func (a *attempt[T]) handleResult(r result[T]) bool {
	a.pending--
	ok := isAnswer(r.err)
	switch {
	case !r.peer.IsValid():
		a.directPending = false
		// The failure of a call that its caller has cancelled is no evidence
		// about the direct path.
		if ok || a.ctx.Err() == nil {
			a.recordDirect(ok, r.elapsed-a.maxWait)
		}
	case ok && a.directPending && a.headStart:
		// The peer answered first although it was called later.
		a.recordDirect(false, 0)
	}
	if r.peer == a.latestPeer {
		a.latestPeer = netip.AddrPort{}
	}
	switch {
	case store.IsConflict(r.err) && a.pending > 0:
		a.conflict = &r
		return false
	case ok:
		return a.conflict == nil || r.err == nil || a.pending == 0
	}
	a.recordFailure(r)
	if r.peer.IsValid() || a.pending == 0 {
		a.callNextPeer()
	}
	return false
}

// recordFailure keeps the error to return if no copy is answered. An uncertain
// outcome takes precedence, since a call counts as refused only if all of its
// copies were refused.
func (a *attempt[T]) recordFailure(r result[T]) {
	switch {
	case !r.peer.IsValid() || a.ctx.Err() != nil:
	case errors.Is(r.err, store.ErrUnavailable) && !errors.Is(r.err, ErrNotForwarded):
		a.recordPeerRefusal()
	default:
		a.PeerFailed(r.peer)
	}
	if a.failure == nil || errors.Is(r.err, store.ErrUncertain) {
		a.failure = r.err
		if r.peer.IsValid() {
			a.failure = fmt.Errorf("through %v: %w", r.peer, r.err)
		}
	}
}

// nextPeerDelay returns how long a peer is waited for before the call is made
// through the next one as well.
func (a *attempt[T]) nextPeerDelay() time.Duration {
	if a.maxWait > 0 {
		return a.maxWait + minHedgeDelay
	}
	return peerHedgeDelay
}

// arrivalTimeout returns how much longer to wait for the next part of an answer that has
// begun to arrive. It is not positive if none has, or if no part has arrived for
// arrivalStall. A copy of the call would delay an answer that is arriving.
func (a *attempt[T]) arrivalTimeout() time.Duration {
	latestPart := time.Duration(a.latestPart.Load())
	if latestPart == 0 {
		return 0
	}
	return latestPart + arrivalStall - time.Since(a.started)
}

// abandonPeer reports the latest peer as failed if it has not answered, so that
// later calls prefer other peers: it may be cut off from the service as well.
func (a *attempt[T]) abandonPeer() {
	if a.latestPeer.IsValid() {
		a.PeerFailed(a.latestPeer)
		a.latestPeer = netip.AddrPort{}
	}
}

// callNextPeer makes the call through the next peer, if there is one.
func (a *attempt[T]) callNextPeer() {
	if !a.peersLoaded {
		a.peersLoaded, a.remaining = true, a.peers()
	}
	if len(a.remaining) == 0 || a.ctx.Err() != nil {
		return
	}
	peer := a.remaining[0]
	a.remaining, a.latestPeer = a.remaining[1:], peer
	a.pending++
	waitExpired := a.maxWait > 0 && time.Since(a.started) >= a.maxWait
	go func() {
		value, err := a.forward(a.ctx, peer, waitExpired)
		a.results <- result[T]{value: value, err: err, peer: peer}
	}()
}

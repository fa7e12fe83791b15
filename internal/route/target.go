package route

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// Result tells the table how an attempt ended.
	Result int

	// target is an endpoint with what this instance knows about it. It is
	// under the lock of its group.
	target struct {
		endpoint Endpoint
		// saidLeaving is the endpoint's own word.
		saidLeaving bool
		// saidAt is when it said so.
		saidAt time.Time
		// toldUntil is when the word of another instance that the endpoint is
		// leaving ends.
		toldUntil time.Time
		inFlight  int
		// limit is the number of requests that may be in flight, from 1 to
		// the endpoint's slots.
		limit        float64
		failures     int
		ejectedUntil time.Time
		lastCut      time.Time
	}
)

// The results of an attempt.
const (
	// Answered means that a whole answer arrived.
	Answered Result = iota
	// Refused means that the endpoint refused the request.
	Refused
	// TimedOut means that no answer arrived in time.
	TimedOut
	// Failed means that the connection could not be made or broke.
	Failed
	// Unsent means that the attempt ended before the endpoint was involved.
	Unsent
)

const (
	// minLimit keeps one request in flight, without which an endpoint could
	// never show that it has recovered.
	minLimit = 1
	// shareFor is the time for which an endpoint's word is passed on to other
	// instances.
	shareFor = 10 * time.Second
	// tellFor is the time for which the word of another instance holds. By then
	// the list shows it. A bound is needed because a late message could
	// otherwise mark an endpoint that has restarted at the same address.
	tellFor = 30 * time.Second
	// startShare is the share of the slots that a new endpoint starts with.
	// Several instances share the endpoint, and none knows of the others.
	startShare = 0.25
	// growStep is the additive increase for each full window of answers.
	// Several instances probe the same slots. With a step of 1 the store
	// outage test of package relay had 1.18 attempts per request, with 0.25
	// 1.06 and no fewer answers.
	growStep = 0.25
	// cutFactor is the multiplicative decrease.
	cutFactor = 0.5
)

func updated(old *target, e Endpoint, _ time.Time) *target {
	if old == nil || old.endpoint.Address != e.Address || old.endpoint.Incarnation != e.Incarnation {
		return &target{endpoint: e, limit: max(minLimit, float64(e.Slots)*startShare)}
	}
	// The target itself is kept, because leases of requests in flight refer to it.
	old.endpoint = e
	old.limit = max(minLimit, min(old.limit, float64(e.Slots)))
	return old
}

func (t *target) leaving(now time.Time) bool {
	return t.endpoint.Leaving || t.saidLeaving || now.Before(t.toldUntil)
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

func (t *target) canTake(except []ident.Endpoint, now time.Time) bool {
	return !t.leaving(now) && !t.ejected(now) && t.inFlight < int(t.limit) &&
		!slices.Contains(except, t.endpoint.Name)
}

func (t *target) apply(r Result, now time.Time, s *Settings) {
	switch r {
	case Answered:
		t.failures = 0
		t.grow()
	case Refused:
		t.failures = 0
		t.cut(now, s.CutInterval)
	case TimedOut:
		t.cut(now, s.CutInterval)
	case Failed:
		t.eject(now, s)
	case Unsent:
	}
}

// grow adds growStep to the limit for each full window of answers. A limit that is
// not in use does not grow, because nothing shows that it would hold.
func (t *target) grow() {
	if float64(t.inFlight+1) < t.limit/2 {
		return
	}
	t.limit = max(minLimit, min(float64(t.endpoint.Slots), t.limit+growStep/t.limit))
}

func (t *target) cut(now time.Time, interval time.Duration) {
	if now.Sub(t.lastCut) < interval {
		return
	}
	t.lastCut = now
	t.limit = max(minLimit, t.limit*cutFactor)
}

// eject takes the endpoint out for a random time of at least half of the
// back-off, so that instances do not return to it together. Its limit falls
// to one request, which then tries it.
func (t *target) eject(now time.Time, s *Settings) {
	if t.ejected(now) {
		return
	}
	d := min(s.EjectMax, s.EjectBase<<min(t.failures, 16))
	t.failures++
	t.limit = minLimit
	t.ejectedUntil = now.Add(d/2 + time.Duration(s.IntN(int(d/2)+1)))
}

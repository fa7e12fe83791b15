package route

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// Result is the result of an attempt.
	Result int

	// target is an endpoint with the state that this instance keeps for it. It
	// is protected by the lock of its serviceTargets.
	target struct {
		endpoint Endpoint
		// announced is set when the endpoint announced that it is leaving.
		announced bool
		// announcedAt is the time of the last announcement.
		announcedAt time.Time
		// reportedUntil is the time until which a report of another instance
		// that the endpoint is leaving holds.
		reportedUntil time.Time
		// inFlight is the number of leases.
		inFlight int
		// limit is the number of requests that may be in flight, from 1 to
		// the endpoint's slots.
		limit float64
		// ejections counts the ejections since the last answer or refusal.
		ejections    int
		ejectedUntil time.Time
		lastDecrease time.Time
	}
)

// The results of an attempt.
const (
	// Answered means that a complete answer arrived.
	Answered Result = iota
	// Refused means that the endpoint refused the request.
	Refused
	// TimedOut means that no answer arrived in time.
	TimedOut
	// Failed means that the connection could not be made or broke, or that the
	// answer was incomplete or did not belong to the attempt.
	Failed
	// Inconclusive means that the attempt shows nothing about the endpoint: the
	// request was not sent, or the caller ended it before the endpoint could be
	// considered slow.
	Inconclusive
)

const (
	// minLimit is the smallest concurrency limit. At 0 no request would be
	// sent, and an endpoint could never show that it has recovered.
	minLimit = 1
	// announcementMaxAge is the time for which an endpoint's announcement is
	// reported to the other instances.
	announcementMaxAge = 10 * time.Second
	// reportTTL is the time for which a report of another instance holds.
	// By then the platform's list shows that the endpoint is leaving. A bound is
	// needed because a late report could otherwise mark an endpoint that has
	// restarted at the same address.
	reportTTL = 30 * time.Second
	// initialLimitShare is the initial limit of an endpoint as a share of its
	// slots. It is below 1 because several instances use the endpoint and none
	// knows the load of the others.
	initialLimitShare = 0.25
	// limitIncrease is the additive increase for each full window of answers.
	// It is small because several instances probe the same slots: in the store
	// outage test of package relay, a step of 1 took 1.18 attempts per request
	// and a step of 0.25 took 1.06, with no fewer answers.
	limitIncrease = 0.25
	// limitDecrease is the factor of the multiplicative decrease.
	limitDecrease = 0.5
)

// updatedTarget returns the target for e: a new one if the endpoint is new or
// has restarted, otherwise old.
func updatedTarget(old *target, e Endpoint, _ time.Time) *target {
	if old == nil || old.endpoint.Address != e.Address || old.endpoint.Incarnation != e.Incarnation {
		return &target{endpoint: e, limit: max(minLimit, float64(e.Slots)*initialLimitShare)}
	}
	// The target is updated in place, because the leases of requests in flight
	// refer to it.
	old.endpoint = e
	old.limit = max(minLimit, min(old.limit, float64(e.Slots)))
	return old
}

func (t *target) leaving(now time.Time) bool {
	return t.endpoint.Leaving || t.announced || now.Before(t.reportedUntil)
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// available reports whether the endpoint can take a request now.
func (t *target) available(except []ident.Endpoint, now time.Time) bool {
	return !t.leaving(now) && !t.ejected(now) && t.inFlight < int(t.limit) &&
		!slices.Contains(except, t.endpoint.Name)
}

// applyResult adapts the limit and the ejection to the result of an attempt.
func (t *target) applyResult(r Result, now time.Time, s *Settings) {
	switch r {
	case Answered:
		t.ejections = 0
		t.increase()
	case Refused:
		t.ejections = 0
		t.decrease(now, s.DecreaseInterval)
	case TimedOut:
		t.decrease(now, s.DecreaseInterval)
	case Failed:
		t.eject(now, s)
	case Inconclusive:
	}
}

// increase raises the limit by limitIncrease for each full window of answers. A
// limit of which less than half is in use is not raised, because its answers do
// not show that the endpoint can take more.
func (t *target) increase() {
	if float64(t.inFlight+1) < t.limit/2 {
		return
	}
	t.limit = max(minLimit, min(float64(t.endpoint.Slots), t.limit+limitIncrease/t.limit))
}

// decrease lowers the limit, at most once per interval.
func (t *target) decrease(now time.Time, interval time.Duration) {
	if now.Sub(t.lastDecrease) < interval {
		return
	}
	t.lastDecrease = now
	t.limit = max(minLimit, t.limit*limitDecrease)
}

// eject excludes the endpoint for a random time between half of the back-off and
// all of it, so that the instances do not return to it at the same time. The
// limit falls to one request, which probes the endpoint afterwards.
func (t *target) eject(now time.Time, s *Settings) {
	if t.ejected(now) {
		return
	}
	// The shift is bounded against overflow.
	d := min(s.EjectMax, s.EjectBase<<min(t.ejections, 16))
	t.ejections++
	t.limit = minLimit
	t.ejectedUntil = now.Add(d/2 + time.Duration(s.IntN(int(d/2)+1)))
}

package route

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// Lease permits one request to an endpoint. The request counts as in flight
	// until Table.Release ends the lease.
	Lease struct {
		service *serviceTargets
		target  *target
		// endpoint is a copy, because Update may change the target's endpoint
		// while the request is in flight.
		endpoint Endpoint
		local    bool
	}
)

// Endpoint returns the selected endpoint.
func (l Lease) Endpoint() Endpoint { return l.endpoint }

// Local reports whether the endpoint is in the caller's region.
func (l Lease) Local() bool { return l.local }

// Pick selects an endpoint of service s for a caller in region r, other than
// those in except. The error is ErrNoEndpoint if no endpoint is in service, and
// ErrBusy if none can take a request now.
func (t *Table) Pick(s ident.Service, r ident.Region, except []ident.Endpoint, now time.Time) (Lease, error) {
	st, ok := t.services.Load(s)
	if !ok {
		return Lease{}, ErrNoEndpoint
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	own := st.regionIndex(r)
	if own >= 0 {
		if e := t.pickFrom(st.regions[own].targets, except, now); e != nil {
			return st.lease(e, true), nil
		}
	}
	for i := range st.regions {
		if i == own {
			continue
		}
		if e := t.pickFrom(st.regions[i].targets, except, now); e != nil {
			return st.lease(e, false), nil
		}
	}
	if st.inService(now) {
		return Lease{}, ErrBusy
	}
	return Lease{}, ErrNoEndpoint
}

// Release ends a lease and applies the result of the attempt to the endpoint's
// limit and ejection.
func (t *Table) Release(l Lease, r Result, now time.Time) {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	l.target.inFlight--
	l.target.applyResult(r, now, &t.settings)
	l.service.notify()
}

// Wait returns a channel that is closed when an endpoint of the service may
// have become able to take a request. An ejection that ends does not close the
// channel: the second result is the time at which the first one ends, and zero
// if no endpoint is ejected.
func (t *Table) Wait(s ident.Service, now time.Time) (<-chan struct{}, time.Time) {
	st, _ := t.services.LoadOrStore(s, newServiceTargets)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.changed == nil {
		st.changed = make(chan struct{})
	}
	var next time.Time
	for _, e := range st.targets {
		if e.leaving(now) || !e.ejected(now) {
			continue
		}
		if next.IsZero() || e.ejectedUntil.Before(next) {
			next = e.ejectedUntil
		}
	}
	return st.changed, next
}

// pickFrom returns the one of two random targets that has fewer requests in
// flight. If neither can take a request, it scans the list from a random index
// and returns the first target that can, or nil.
func (t *Table) pickFrom(list []*target, except []ident.Endpoint, now time.Time) *target {
	n := len(list)
	if n == 0 {
		return nil
	}
	start := t.settings.IntN(n)
	a, b := list[start], list[start]
	if n > 1 {
		b = list[(start+1+t.settings.IntN(n-1))%n]
	}
	okA, okB := a.available(except, now), b.available(except, now)
	switch {
	case okA && okB && b.inFlight < a.inFlight:
		return b
	case okA:
		return a
	case okB:
		return b
	}
	for i := range n {
		if e := list[(start+i)%n]; e.available(except, now) {
			return e
		}
	}
	return nil
}

// lease counts a request in flight at e and returns the lease for it.
func (st *serviceTargets) lease(e *target, local bool) Lease {
	e.inFlight++
	return Lease{service: st, target: e, endpoint: e.endpoint, local: local}
}

// inService reports whether an endpoint of the service is not leaving.
func (st *serviceTargets) inService(now time.Time) bool {
	for _, e := range st.targets {
		if !e.leaving(now) {
			return true
		}
	}
	return false
}

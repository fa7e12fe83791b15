package route

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// Lease is the right to send one request to an endpoint. It ends with
	// Table.Release.
	Lease struct {
		group  *group
		target *target
		// endpoint is a copy, because the list may change meanwhile.
		endpoint Endpoint
		local    bool
	}
)

// Endpoint returns the selected endpoint.
func (l Lease) Endpoint() Endpoint { return l.endpoint }

// Local reports whether the endpoint is in the caller's region.
func (l Lease) Local() bool { return l.local }

// Pick selects an endpoint of the service that is not in except. The error is
// ErrNoEndpoint if none is in service, and ErrBusy if none can take a request
// now.
func (t *Table) Pick(s ident.Service, r ident.Region, except []ident.Endpoint, now time.Time) (Lease, error) {
	g, ok := t.services.Load(s)
	if !ok {
		return Lease{}, ErrNoEndpoint
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.regionIndex(r)
	if own >= 0 {
		if e := t.pickFrom(g.regions[own].targets, except, now); e != nil {
			return g.lease(e, true), nil
		}
	}
	for i := range g.regions {
		if i == own {
			continue
		}
		if e := t.pickFrom(g.regions[i].targets, except, now); e != nil {
			return g.lease(e, false), nil
		}
	}
	if g.inService(now) {
		return Lease{}, ErrBusy
	}
	return Lease{}, ErrNoEndpoint
}

// Release ends a lease with the result of the attempt.
func (t *Table) Release(l Lease, r Result, now time.Time) {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	l.target.inFlight--
	l.target.apply(r, now, &t.settings)
	l.group.notify()
}

// Wait returns a channel that is closed when an endpoint of the service may
// have become able to take a request, and the instant at which the next
// ejection ends, which is zero if there is none.
func (t *Table) Wait(s ident.Service, now time.Time) (<-chan struct{}, time.Time) {
	g, _ := t.services.LoadOrStore(s, newGroup)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	var next time.Time
	for _, e := range g.targets {
		if e.leaving(now) || !e.ejected(now) {
			continue
		}
		if next.IsZero() || e.ejectedUntil.Before(next) {
			next = e.ejectedUntil
		}
	}
	return g.changed, next
}

// pickFrom returns the less loaded of two random targets. If neither can take
// a request it returns the first that can, from a random start.
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
	okA, okB := a.canTake(except, now), b.canTake(except, now)
	switch {
	case okA && okB && b.inFlight < a.inFlight:
		return b
	case okA:
		return a
	case okB:
		return b
	}
	for i := range n {
		if e := list[(start+i)%n]; e.canTake(except, now) {
			return e
		}
	}
	return nil
}

func (g *group) lease(e *target, local bool) Lease {
	e.inFlight++
	return Lease{group: g, target: e, endpoint: e.endpoint, local: local}
}

func (g *group) inService(now time.Time) bool {
	for _, e := range g.targets {
		if !e.leaving(now) {
			return true
		}
	}
	return false
}

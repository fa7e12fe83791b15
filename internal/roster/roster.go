package roster

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Listing is the content of the platform's list.
	Listing struct {
		Workers   []worker.Spec
		Endpoints []route.Endpoint
		Entries   []member.Info
	}

	// Deps are the calls that a Roster makes.
	Deps struct {
		Read func(ctx context.Context) (Listing, error)
		// Update is called with the endpoints of each list that was read.
		Update func(es []route.Endpoint, now time.Time)
		// Entries is called with the entry instances of each list.
		Entries func(is []member.Info)
	}

	// Roster is the last list that was read. It is safe for concurrent use.
	Roster struct {
		deps Deps

		mu      sync.Mutex
		listing Listing
		// endpoints and workers are the places of the listed addresses.
		endpoints map[netip.AddrPort]ident.Region
		workers   map[netip.AddrPort]ident.Domain
		read      bool
		// known are the workers listed within listKept.
		known map[ident.Worker]sighted
	}

	// sighted is a worker with the instant at which it was listed last.
	sighted struct {
		spec worker.Spec
		at   time.Time
	}
)

const (
	readEvery   = time.Second
	readTimeout = time.Second
	// listKept is the time for which a worker counts after it was listed last.
	// Homes of guarantees follow the workers, and the list can be short or
	// empty for a moment.
	listKept = 30 * time.Second
)

// New returns an empty roster.
func New(d Deps) *Roster { return &Roster{deps: d, known: make(map[ident.Worker]sighted)} }

// Run reads the list each second until ctx ends. Without an answer the last
// list stays.
func (r *Roster) Run(ctx context.Context) {
	for {
		_ = r.Refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(readEvery):
		}
	}
}

// Refresh reads the list once.
func (r *Roster) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	l, err := r.deps.Read(ctx)
	if err != nil {
		return fmt.Errorf("read list of instances: %w", err)
	}
	r.set(l)
	if r.deps.Update != nil {
		r.deps.Update(l.Endpoints, time.Now())
	}
	if r.deps.Entries != nil {
		r.deps.Entries(l.Entries)
	}
	return nil
}

func (r *Roster) set(l Listing) {
	endpoints := make(map[netip.AddrPort]ident.Region, len(l.Endpoints))
	for _, e := range l.Endpoints {
		endpoints[e.Address] = e.Region
	}
	workers := make(map[netip.AddrPort]ident.Domain, len(l.Workers))
	for _, w := range l.Workers {
		workers[w.Address] = w.Domain
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listing, r.endpoints, r.workers, r.read = l, endpoints, workers, true
	r.note(l.Workers, time.Now())
}

// RegionOfEndpoint returns the region of the endpoint with the address.
func (r *Roster) RegionOfEndpoint(a netip.AddrPort) (ident.Region, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	region, ok := r.endpoints[a]
	return region, ok
}

// DomainOfWorker returns the failure domain of the worker with the address.
func (r *Roster) DomainOfWorker(a netip.AddrPort) (ident.Domain, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.workers[a]
	return d, ok
}

// IsRead reports whether a list has been read.
func (r *Roster) IsRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// Workers returns the workers of a domain.
func (r *Roster) Workers(d ident.Domain) []worker.Spec {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []worker.Spec
	for _, w := range r.listing.Workers {
		if w.Domain == d {
			in = append(in, w)
		}
	}
	return in
}

// note remembers the listed workers and forgets those that were not listed for
// long. The lock must be held.
func (r *Roster) note(listed []worker.Spec, now time.Time) {
	for _, w := range listed {
		r.known[w.ID] = sighted{spec: w, at: now}
	}
	maps.DeleteFunc(r.known, func(_ ident.Worker, s sighted) bool { return now.Sub(s.at) > listKept })
}

// AllWorkers returns the workers of all domains that were listed lately, in the
// order of their names.
func (r *Roster) AllWorkers() []worker.Spec {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]worker.Spec, 0, len(r.known))
	for _, s := range r.known {
		all = append(all, s.spec)
	}
	slices.SortFunc(all, func(a, b worker.Spec) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Endpoints returns the endpoints of all services.
func (r *Roster) Endpoints() []route.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]route.Endpoint(nil), r.listing.Endpoints...)
}

// FleetOf returns the workers of a domain as if they were all free, for the
// question whether a shape can ever fit.
func (r *Roster) FleetOf(d ident.Domain) []fleet.Worker {
	var all []fleet.Worker
	for _, spec := range r.Workers(d) {
		all = append(all, fleet.Worker{Spec: spec, Free: spec.Capacity})
	}
	return all
}

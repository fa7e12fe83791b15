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
		// Entries are the listed instances of the kind "entry", which
		// accept requests.
		Entries []member.Info
	}

	// Deps are the dependencies of a Roster.
	Deps struct {
		// Read returns the platform's list.
		Read func(ctx context.Context) (Listing, error)
		// Update is called with the endpoints of each list that was read. It may be
		// nil.
		Update func(endpoints []route.Endpoint, now time.Time)
		// Entries is called with Listing.Entries of each list that was read. It may
		// be nil.
		Entries func(instances []member.Info)
	}

	// Roster caches the last list that was read. It is safe for concurrent use.
	Roster struct {
		deps Deps

		mu      sync.Mutex
		listing Listing
		// endpoints has the region of each listed endpoint, and workers the
		// failure domain of each listed worker, by address.
		endpoints map[netip.AddrPort]ident.Region
		workers   map[netip.AddrPort]ident.Domain
		// read reports whether a list has been read.
		read bool
		// recentWorkers are the workers that were listed within listRetention.
		recentWorkers map[ident.Worker]listedWorker
	}

	// listedWorker is a worker with the time at which it was last listed.
	listedWorker struct {
		spec     worker.Spec
		listedAt time.Time
	}
)

const (
	readInterval = time.Second
	readTimeout  = time.Second
	// listRetention is the time for which RecentWorkers includes a worker after
	// it was last listed. The home of each guaranteed shape, which is the
	// domain that it is assigned to, is computed from these workers, and the
	// list can be incomplete or empty for a moment.
	listRetention = 30 * time.Second
)

// New returns an empty roster.
func New(d Deps) *Roster { return &Roster{deps: d, recentWorkers: make(map[ident.Worker]listedWorker)} }

// Run reads the list each second until ctx ends. If a read fails, the last list
// stays in use.
func (r *Roster) Run(ctx context.Context) {
	for {
		_ = r.Refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(readInterval):
		}
	}
}

// Refresh reads the list once and passes it to Update and Entries.
func (r *Roster) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listing, err := r.deps.Read(ctx)
	if err != nil {
		return fmt.Errorf("read list of instances: %w", err)
	}
	r.set(listing)
	if r.deps.Update != nil {
		r.deps.Update(listing.Endpoints, time.Now())
	}
	if r.deps.Entries != nil {
		r.deps.Entries(listing.Entries)
	}
	return nil
}

func (r *Roster) set(listing Listing) {
	endpoints := make(map[netip.AddrPort]ident.Region, len(listing.Endpoints))
	for _, e := range listing.Endpoints {
		endpoints[e.Address] = e.Region
	}
	workers := make(map[netip.AddrPort]ident.Domain, len(listing.Workers))
	for _, w := range listing.Workers {
		workers[w.Address] = w.Domain
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listing, r.endpoints, r.workers, r.read = listing, endpoints, workers, true
	r.recordListed(listing.Workers, time.Now())
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

// Workers returns the workers of a domain in the last list.
func (r *Roster) Workers(d ident.Domain) []worker.Spec {
	r.mu.Lock()
	defer r.mu.Unlock()
	var workers []worker.Spec
	for _, w := range r.listing.Workers {
		if w.Domain == d {
			workers = append(workers, w)
		}
	}
	return workers
}

// recordListed records the listed workers and removes those that were last listed
// more than listRetention ago. The caller must hold r.mu.
func (r *Roster) recordListed(listed []worker.Spec, now time.Time) {
	for _, w := range listed {
		r.recentWorkers[w.ID] = listedWorker{spec: w, listedAt: now}
	}
	maps.DeleteFunc(r.recentWorkers, func(_ ident.Worker, s listedWorker) bool { return now.Sub(s.listedAt) > listRetention })
}

// RecentWorkers returns the workers of all domains that were listed within
// listRetention, ordered by identifier.
func (r *Roster) RecentWorkers() []worker.Spec {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := make([]worker.Spec, 0, len(r.recentWorkers))
	for _, s := range r.recentWorkers {
		result = append(result, s.spec)
	}
	slices.SortFunc(result, func(a, b worker.Spec) int { return cmp.Compare(a.ID, b.ID) })
	return result
}

// Endpoints returns the endpoints of all services in the last list.
func (r *Roster) Endpoints() []route.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]route.Endpoint(nil), r.listing.Endpoints...)
}

// IdleWorkers returns the workers of a domain as if all of them were free, to check
// whether a shape can ever fit.
func (r *Roster) IdleWorkers(d ident.Domain) []fleet.Worker {
	var result []fleet.Worker
	for _, spec := range r.Workers(d) {
		result = append(result, fleet.Worker{Spec: spec, Free: spec.Capacity})
	}
	return result
}

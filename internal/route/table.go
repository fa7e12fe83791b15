package route

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/shard"
	"github.com/pkg/errors"
)

type (
	// Endpoint is an endpoint of a service as the platform lists it.
	Endpoint struct {
		Name    ident.Endpoint
		Service ident.Service
		Address netip.AddrPort
		// Incarnation changes when the endpoint restarts. It is empty if the
		// platform's list has none.
		Incarnation string
		Domain      ident.Domain
		Region      ident.Region
		// Leaving is set when the list shows that the endpoint is leaving.
		Leaving bool
		// Slots is the number of requests that the endpoint can run at once.
		Slots int
	}

	// Settings are the settings of ejection and of the concurrency limits.
	Settings struct {
		// EjectBase is the longest duration of a first ejection. It doubles
		// with each consecutive connection failure, up to EjectMax.
		EjectBase time.Duration
		EjectMax  time.Duration
		// DecreaseInterval is the shortest time between two decreases of one
		// limit, so that the refusals of one overload count once.
		DecreaseInterval time.Duration
		// IntN returns a random number in [0, n).
		IntN func(n int) int
	}

	// Table holds the endpoints of all services. It is safe for concurrent use
	// and is created by New.
	Table struct {
		settings Settings
		services *shard.Map[ident.Service, *serviceTargets]
	}

	// serviceTargets holds the targets of one service.
	serviceTargets struct {
		mu      sync.Mutex
		targets map[ident.Endpoint]*target
		// regions lists the targets by region, for selection.
		regions []regionTargets
		// changed is closed when a request that found no endpoint should try
		// again. It is nil while no request waits.
		changed chan struct{}
	}

	// regionTargets lists the targets of one region.
	regionTargets struct {
		region  ident.Region
		targets []*target
	}
)

// tableShards is the number of locks over the map of services.
const tableShards = 16

// The errors of Pick.
var (
	// ErrNoEndpoint means that no endpoint of the service is in service:
	// none is listed, or all are leaving.
	ErrNoEndpoint = errors.New("no endpoint in service")
	// ErrBusy means that every endpoint in service is excluded, ejected or at
	// its concurrency limit.
	ErrBusy = errors.New("all endpoints are busy")
)

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		EjectBase:        500 * time.Millisecond,
		EjectMax:         10 * time.Second,
		DecreaseInterval: 100 * time.Millisecond,
		IntN:             rand.IntN,
	}
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{
		settings: s,
		services: shard.New[ident.Service, *serviceTargets](tableShards),
	}
}

// Update replaces the endpoints by those of the platform's list. The limit,
// ejection and announcement of an endpoint are kept, unless it has a new address
// or incarnation.
func (t *Table) Update(list []Endpoint, now time.Time) {
	byService := make(map[ident.Service][]Endpoint)
	for _, e := range list {
		byService[e.Service] = append(byService[e.Service], e)
	}
	t.services.Range(func(s ident.Service, _ *serviceTargets) bool {
		if _, ok := byService[s]; !ok {
			byService[s] = nil
		}
		return true
	})
	for s, endpoints := range byService {
		st, _ := t.services.LoadOrStore(s, newServiceTargets)
		st.update(endpoints, now)
	}
}

// MarkLeaving records that the endpoint announced to this instance that it is
// leaving.
func (t *Table) MarkLeaving(name ident.Endpoint, now time.Time) {
	t.updateTargets(name, func(e *target) {
		e.announced, e.announcedAt = true, now
	})
}

// MarkReportedLeaving records the report of another instance that the endpoint
// is leaving. A report about another address or incarnation is ignored.
func (t *Table) MarkReportedLeaving(reported Endpoint, now time.Time) {
	t.updateTargets(reported.Name, func(e *target) {
		if e.endpoint.Address == reported.Address && e.endpoint.Incarnation == reported.Incarnation {
			e.reportedUntil = now.Add(reportTTL)
		}
	})
}

// AnnouncedLeaving returns the endpoints that recently announced to this
// instance that they are leaving, to be reported to the other instances.
// Reports of other instances are not passed on.
func (t *Table) AnnouncedLeaving(now time.Time) []Endpoint {
	var announced []Endpoint
	t.services.Range(func(_ ident.Service, st *serviceTargets) bool {
		st.mu.Lock()
		defer st.mu.Unlock()
		for _, e := range st.targets {
			if e.announced && now.Sub(e.announcedAt) < announcementMaxAge {
				announced = append(announced, e.endpoint)
			}
		}
		return true
	})
	return announced
}

// updateTargets calls change for the endpoint in each service that lists it,
// because one process may serve several services.
func (t *Table) updateTargets(name ident.Endpoint, change func(e *target)) {
	t.services.Range(func(_ ident.Service, st *serviceTargets) bool {
		st.mu.Lock()
		defer st.mu.Unlock()
		if e, ok := st.targets[name]; ok {
			change(e)
		}
		return true
	})
}

// Services returns the names of the services that have or had an endpoint, or
// for which a request has waited.
func (t *Table) Services() []ident.Service {
	var names []ident.Service
	t.services.Range(func(s ident.Service, _ *serviceTargets) bool {
		names = append(names, s)
		return true
	})
	return names
}

// Capacity returns the number of requests that the endpoints of the service can
// take at once. An ejected endpoint counts as one: the request that probes it
// after the ejection.
func (t *Table) Capacity(s ident.Service, now time.Time) int {
	st, ok := t.services.Load(s)
	if !ok {
		return 0
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	sum := 0
	for _, e := range st.targets {
		if !e.leaving(now) {
			sum += int(e.limit)
		}
	}
	return sum
}

func newServiceTargets() *serviceTargets {
	return &serviceTargets{targets: make(map[ident.Endpoint]*target)}
}

// update replaces the targets by those of the list.
func (st *serviceTargets) update(list []Endpoint, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	next := make(map[ident.Endpoint]*target, len(list))
	for _, e := range list {
		next[e.Name] = updatedTarget(st.targets[e.Name], e, now)
	}
	st.targets = next
	st.groupByRegion(list)
	st.notify()
}

// groupByRegion fills regions, in the order of the platform's list.
func (st *serviceTargets) groupByRegion(list []Endpoint) {
	st.regions = nil
	for _, e := range list {
		t := st.targets[e.Name]
		i := st.regionIndex(e.Region)
		if i < 0 {
			st.regions = append(st.regions, regionTargets{region: e.Region})
			i = len(st.regions) - 1
		}
		st.regions[i].targets = append(st.regions[i].targets, t)
	}
}

// regionIndex returns the index of r in regions, or -1.
func (st *serviceTargets) regionIndex(r ident.Region) int {
	for i := range st.regions {
		if st.regions[i].region == r {
			return i
		}
	}
	return -1
}

// notify wakes the requests that wait for an endpoint.
func (st *serviceTargets) notify() {
	if st.changed != nil {
		close(st.changed)
		st.changed = nil
	}
}

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
	// Endpoint is one back end of a service, as the platform lists it.
	Endpoint struct {
		Name    ident.Endpoint
		Service ident.Service
		Address netip.AddrPort
		// Incarnation changes when the endpoint restarts. It is empty if the
		// list does not tell.
		Incarnation string
		Domain      ident.Domain
		Region      ident.Region
		Leaving     bool
		// Slots is the number of requests that the endpoint can run at once.
		Slots int
	}

	// Settings bound ejection and the concurrency limit.
	Settings struct {
		// EjectBase is the longest first ejection. It doubles with each
		// connection failure in a row up to EjectMax.
		EjectBase time.Duration
		EjectMax  time.Duration
		// CutInterval is the shortest time between two cuts of one limit, so
		// that the refusals of one overload count once.
		CutInterval time.Duration
		// IntN returns a random number below n.
		IntN func(n int) int
	}

	// Table holds the endpoints of all services. Use New.
	Table struct {
		settings Settings
		services *shard.Map[ident.Service, *group]
	}

	group struct {
		mu      sync.Mutex
		targets map[ident.Endpoint]*target
		// regions lists the targets by region, for selection.
		regions []regionTargets
		// changed is closed when a request that found no endpoint should try
		// again; nil if none waits.
		changed chan struct{}
	}

	regionTargets struct {
		region  ident.Region
		targets []*target
	}
)

// Sizes of the table.
const tableParts = 16

// The errors of Pick.
var (
	// ErrNoEndpoint means that the service has no endpoint in service.
	ErrNoEndpoint = errors.New("no endpoint in service")
	// ErrBusy means that every endpoint is ejected or at its limit.
	ErrBusy = errors.New("all endpoints are busy")
)

// DefaultSettings returns the settings in use where none are given.
func DefaultSettings() Settings {
	return Settings{
		EjectBase:   500 * time.Millisecond,
		EjectMax:    10 * time.Second,
		CutInterval: 100 * time.Millisecond,
		IntN:        rand.IntN,
	}
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{
		settings: s,
		services: shard.New[ident.Service, *group](tableParts),
	}
}

// Update replaces the endpoints by those of the platform's list. What is known
// about an endpoint is kept, unless it has a new address or incarnation.
func (t *Table) Update(list []Endpoint, now time.Time) {
	byService := make(map[ident.Service][]Endpoint)
	for _, e := range list {
		byService[e.Service] = append(byService[e.Service], e)
	}
	t.services.Range(func(s ident.Service, _ *group) bool {
		if _, ok := byService[s]; !ok {
			byService[s] = nil
		}
		return true
	})
	for s, endpoints := range byService {
		g, _ := t.services.LoadOrStore(s, newGroup)
		g.update(endpoints, now)
	}
}

// MarkLeaving records the endpoint's own word that it is leaving.
func (t *Table) MarkLeaving(name ident.Endpoint, now time.Time) {
	t.mark(name, func(e *target) {
		e.saidLeaving, e.saidAt = true, now
	})
}

// MarkTold records the word of another instance that the endpoint is leaving.
// It is ignored if it is about another address or incarnation.
func (t *Table) MarkTold(told Endpoint, now time.Time) {
	t.mark(told.Name, func(e *target) {
		if e.endpoint.Address == told.Address && e.endpoint.Incarnation == told.Incarnation {
			e.toldUntil = now.Add(tellFor)
		}
	})
}

// Heard returns the endpoints that said to this instance lately that they are
// leaving, for the other instances. It does not pass on what others told.
func (t *Table) Heard(now time.Time) []Endpoint {
	var heard []Endpoint
	t.services.Range(func(_ ident.Service, g *group) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, e := range g.targets {
			if e.saidLeaving && now.Sub(e.saidAt) < shareFor {
				heard = append(heard, e.endpoint)
			}
		}
		return true
	})
	return heard
}

// mark changes the endpoint in each service that lists it, because one process
// may answer for several services.
func (t *Table) mark(name ident.Endpoint, set func(e *target)) {
	t.services.Range(func(_ ident.Service, g *group) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		if e, ok := g.targets[name]; ok {
			set(e)
		}
		return true
	})
}

// Services returns the names of the services that have had an endpoint.
func (t *Table) Services() []ident.Service {
	var names []ident.Service
	t.services.Range(func(s ident.Service, _ *group) bool {
		names = append(names, s)
		return true
	})
	return names
}

// Capacity returns the number of requests that the service can take at once.
// An ejected endpoint counts as one, which is the request that tries it again.
func (t *Table) Capacity(s ident.Service, now time.Time) int {
	g, ok := t.services.Load(s)
	if !ok {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	for _, e := range g.targets {
		if !e.leaving(now) {
			sum += int(e.limit)
		}
	}
	return sum
}

func newGroup() *group {
	return &group{targets: make(map[ident.Endpoint]*target)}
}

func (g *group) update(list []Endpoint, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[ident.Endpoint]*target, len(list))
	for _, e := range list {
		next[e.Name] = updated(g.targets[e.Name], e, now)
	}
	g.targets = next
	g.arrange(list)
	g.notify()
}

// arrange lists the targets by region in the order of the platform's list.
func (g *group) arrange(list []Endpoint) {
	g.regions = nil
	for _, e := range list {
		t := g.targets[e.Name]
		i := g.regionIndex(e.Region)
		if i < 0 {
			g.regions = append(g.regions, regionTargets{region: e.Region})
			i = len(g.regions) - 1
		}
		g.regions[i].targets = append(g.regions[i].targets, t)
	}
}

func (g *group) regionIndex(r ident.Region) int {
	for i := range g.regions {
		if g.regions[i].region == r {
			return i
		}
	}
	return -1
}

func (g *group) notify() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

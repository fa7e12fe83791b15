package matrix

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Setup is what a world is made with. The function fields turn one guard
	// of the product off, to show that the checker notices.
	Setup struct {
		// Worker changes the guards of each worker.
		Worker func(m *worker.Machine)
		// Relay changes the guards of each relay.
		Relay func(g *relay.Guards)
		// Site replaces the guards of each keeper of the configuration.
		Site site.Guards
		// Policy replaces the policy of the shard owners.
		Policy func() sched.Policy
		// Settings changes the settings of each relay.
		Settings func(s *relay.Settings)
		// LentFor replaces the run time of the large jobs, and Hold the
		// duration of the faults, unless they are zero.
		LentFor time.Duration
		Hold    time.Duration
		// RetryShare, if positive, replaces the share of retries.
		RetryShare float64
		// Plain makes all requests idempotent.
		Plain bool
		// BlindList hides from the instances that endpoints leave.
		BlindList bool
		// CutFirst is the number of requests whose first answer is cut, so that
		// a second run does not depend on the random choice of endpoints. It is
		// below the retries that a budget allows at its start.
		CutFirst int
		// Unasked makes instances send their configuration with each exchange
		// and each answer to one, so that an old one can arrive late.
		Unasked bool
	}

	// World is a small site with its callers and operators.
	World struct {
		setup     Setup
		begin     time.Time
		net       *Net
		store     *fakes.Table
		objects   *fakes.Objects
		machines  []*Machine
		endpoints []*fakes.Endpoint
		// answersCut counts the first attempts that were answered.
		answersCut int
		callers    sync.WaitGroup

		mu        sync.Mutex
		instances map[ident.Instance]*Instance
		names     []ident.Instance
		answers   []*Answer
		submits   []Submit
		versions  []Version
		outages   []*Outage
		stops     []*Stop
		probes    int
		lastReply relay.Reply
	}
)

const (
	home   = ident.Region("ulaanbaatar")
	remote = ident.Region("erdenet")
	nearby = ident.Domain("ub1")
	far    = ident.Domain("er1")

	lent    = ident.Workspace("foundryA")
	owning  = ident.Workspace("foundryB")
	service = ident.Service("stamp")

	workersPerDomain = 5
	perWorker        = 8
	requestTimeout   = 8 * time.Second
	// runOfRequest is so long that requests are in flight when a planned stop
	// has let the load balancer's delay pass.
	runOfRequest = 1130 * time.Millisecond
	// balancerDelay is just below the default delay of a planned stop.
	balancerDelay = 1900 * time.Millisecond
	lentFor       = 24 * time.Second
)

// gangShape is the shape of the guarantee and of the large jobs.
var gangShape = shape.Shape{
	Members: 3, Member: shape.Resources{Accelerators: perWorker, Processors: 8}, Adjacency: shape.SameDomain,
}

// NewWorld returns a site without instances.
func NewWorld(s Setup) *World {
	w := &World{
		setup: s, begin: time.Now(), net: NewNet(), store: fakes.NewTable(), objects: fakes.NewObjects(),
		instances: make(map[ident.Instance]*Instance),
	}
	for i := range 2 * workersPerDomain {
		d := nearby
		if i >= workersPerDomain {
			d = far
		}
		w.machines = append(w.machines, newMachine(worker.Spec{
			ID: ident.Worker(fmt.Sprintf("w%d", i)), Domain: d, Rack: "r1", Address: address(7000 + i),
			Capacity: shape.Resources{Accelerators: perWorker, Processors: 60, Memory: 256 * shape.GiB},
		}, s.Worker))
	}
	for i := range 6 {
		e := plat.Endpoint{
			Name: ident.Endpoint(fmt.Sprintf("e%d", i)), Service: service, Address: address(8000 + i),
			Domain: nearby, Region: home, Slots: 8,
		}
		if i%2 == 1 {
			e.Domain, e.Region = far, remote
		}
		w.endpoints = append(w.endpoints, fakes.NewEndpoint(e, runOfRequest))
	}
	return w
}

func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

func regionOf(d ident.Domain) ident.Region {
	if d == far {
		return remote
	}
	return home
}

// firstConfig is the configuration that the site starts with.
func (w *World) firstConfig() *config.Config {
	limits := config.DefaultLimits()
	if w.setup.RetryShare > 0 {
		limits.RetryShare = w.setup.RetryShare
	}
	return &config.Config{
		Site: "matrix", Limits: limits,
		Domains: []config.Domain{
			{Name: nearby, Region: home, InService: true},
			{Name: far, Region: remote, InService: true},
		},
		Workspaces: []config.Workspace{
			{Name: lent, Weight: 1},
			{Name: owning, Weight: 1, Guarantees: []config.Guarantee{
				{Name: "proof", Shape: gangShape, Count: 1, Homes: []ident.Domain{nearby}},
			}},
		},
		Services: []config.Service{{Name: service, Timeout: requestTimeout, QueueLimit: 64}},
	}
}

func (w *World) instance(i ident.Instance) (*Instance, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	in, ok := w.instances[i]
	return in, ok
}

// live returns the instances that are neither killed nor stopped, in the
// order of their starts.
func (w *World) live() []*Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*Instance
	for _, name := range w.names {
		if in := w.instances[name]; in.life.Err() == nil && !in.stopping {
			all = append(all, in)
		}
	}
	return all
}

// balanced returns the instances to which the load balancer sends callers. It
// notices a planned stop after the delay that the stop allows for.
func (w *World) balanced() []*Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*Instance
	for _, name := range w.names {
		in := w.instances[name]
		if in.life.Err() != nil || in.stopping && time.Since(in.stopped) >= balancerDelay {
			continue
		}
		all = append(all, in)
	}
	return all
}

// Logs returns what the stand-ins wrote.
func (w *World) Logs() Logs {
	l := Logs{Begin: w.begin, End: time.Now(), Commits: w.store.Log()}
	for _, m := range w.machines {
		l.Workers = append(l.Workers, m.logs()...)
	}
	for _, e := range w.endpoints {
		l.Endpoints = append(l.Endpoints, e.Log()...)
	}
	slices.SortStableFunc(l.Endpoints, func(a, b fakes.Execution) int { return a.At.Compare(b.At) })
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.answers {
		l.Answers = append(l.Answers, *a)
	}
	for _, o := range w.outages {
		l.Outages = append(l.Outages, *o)
	}
	for _, s := range w.stops {
		l.Stops = append(l.Stops, *s)
	}
	l.Submits = slices.Clone(w.submits)
	l.Versions = slices.Clone(w.versions)
	return l
}

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
	// Setup holds the options of a simulation. The zero value runs the system
	// unchanged. Fields for guards disable a check of the system, to show that
	// the checker detects the consequences.
	Setup struct {
		// WorkerGuards changes the guards of each worker.
		WorkerGuards func(s *worker.Simulator)
		// RelayGuards changes the guards of each relay.
		RelayGuards func(g *relay.Guards)
		// SiteGuards replaces the guards of each manager of the configuration.
		SiteGuards site.Guards
		// Policy replaces the policy of the shard owners.
		Policy func() sched.Policy
		// RelaySettings changes the settings of each relay.
		RelaySettings func(s *relay.Settings)
		// LongJobRunTime replaces the run time of the long jobs, and
		// FaultDuration the durations of the faults, unless they are zero.
		LongJobRunTime time.Duration
		FaultDuration  time.Duration
		// RetryShare, if positive, replaces the share of traffic that may be
		// retries.
		RetryShare float64
		// AllIdempotent makes all requests of the script idempotent.
		AllIdempotent bool
		// HideLeaving removes the mark of leaving endpoints from the platform's
		// list.
		HideLeaving bool
		// CutFirstAnswers is the number of answers to first attempts that are
		// cut off, so that a second execution does not depend on the random
		// choice of endpoints. It must be below the number of retries that a
		// retry budget allows at its start.
		CutFirstAnswers int
		// AlwaysSendConfig makes instances send their configuration with each
		// exchange and each answer to one, even if it is not requested, so that
		// an old one can arrive late.
		AlwaysSendConfig bool
	}

	// Simulation is a small site with its callers and operators.
	Simulation struct {
		setup     Setup
		begin     time.Time
		network   *Network
		store     *fakes.Table
		objects   *fakes.Objects
		workers   []*Worker
		endpoints []*fakes.Endpoint
		// firstAnswers counts the answers to first attempts.
		firstAnswers int
		callers      sync.WaitGroup

		mu            sync.Mutex
		instances     map[ident.Instance]*Instance
		instanceNames []ident.Instance
		answers       []*Answer
		submissions   []Submission
		versions      []VersionSample
		outages       []*Outage
		stops         []*PlannedStop
		probeSets     int
		lastReply     relay.Reply
	}
)

const (
	// The store and the platform are in homeRegion, which is the region of
	// nearDomain. farDomain is in remoteRegion.
	homeRegion   = ident.Region("ulaanbaatar")
	remoteRegion = ident.Region("erdenet")
	nearDomain   = ident.Domain("ub1")
	farDomain    = ident.Domain("er1")

	// borrowingWorkspace has no guarantee. Its jobs may run on the capacity of
	// the guarantee of guaranteedWorkspace while that is not used.
	borrowingWorkspace  = ident.Workspace("foundryA")
	guaranteedWorkspace = ident.Workspace("foundryB")
	serviceName         = ident.Service("stamp")

	workersPerDomain      = 5
	acceleratorsPerWorker = 8
	requestTimeout        = 8 * time.Second
	// requestRunTime is so long that requests are still in flight when a
	// planned stop has waited for the load balancer.
	requestRunTime = 1130 * time.Millisecond
	// balancerDelay is the time after which the load balancer sends no more
	// calls to a stopping instance. It is just below the default delay of a
	// planned stop.
	balancerDelay  = 1900 * time.Millisecond
	longJobRunTime = 24 * time.Second
)

// gangShape is the shape of the guarantee. The jobs without a guarantee use it
// with their own number of members.
var gangShape = shape.Shape{
	Members: 3, Member: shape.Resources{Accelerators: acceleratorsPerWorker, Processors: 8}, Adjacency: shape.SameDomain,
}

// NewSimulation returns a site without instances.
func NewSimulation(s Setup) *Simulation {
	sim := &Simulation{
		setup: s, begin: time.Now(), network: NewNetwork(), store: fakes.NewTable(), objects: fakes.NewObjects(),
		instances: make(map[ident.Instance]*Instance),
	}
	for i := range 2 * workersPerDomain {
		d := nearDomain
		if i >= workersPerDomain {
			d = farDomain
		}
		sim.workers = append(sim.workers, newWorker(worker.Spec{
			ID: ident.Worker(fmt.Sprintf("w%d", i)), Domain: d, Rack: "r1", Address: address(7000 + i),
			Capacity: shape.Resources{Accelerators: acceleratorsPerWorker, Processors: 60, Memory: 256 * shape.GiB},
		}, s.WorkerGuards))
	}
	for i := range 6 {
		e := plat.Endpoint{
			Name: ident.Endpoint(fmt.Sprintf("e%d", i)), Service: serviceName, Address: address(8000 + i),
			Domain: nearDomain, Region: homeRegion, Slots: 8,
		}
		if i%2 == 1 {
			e.Domain, e.Region = farDomain, remoteRegion
		}
		sim.endpoints = append(sim.endpoints, fakes.NewEndpoint(e, requestRunTime))
	}
	return sim
}

func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

func regionOf(d ident.Domain) ident.Region {
	if d == farDomain {
		return remoteRegion
	}
	return homeRegion
}

// firstConfig returns the configuration that the site starts with.
func (sim *Simulation) firstConfig() *config.Config {
	limits := config.DefaultLimits()
	if sim.setup.RetryShare > 0 {
		limits.RetryShare = sim.setup.RetryShare
	}
	return &config.Config{
		Site: "matrix", Limits: limits,
		Domains: []config.Domain{
			{Name: nearDomain, Region: homeRegion, InService: true},
			{Name: farDomain, Region: remoteRegion, InService: true},
		},
		Workspaces: []config.Workspace{
			{Name: borrowingWorkspace, Weight: 1},
			{Name: guaranteedWorkspace, Weight: 1, Guarantees: []config.Guarantee{
				{Name: "proof", Shape: gangShape, Count: 1, Homes: []ident.Domain{nearDomain}},
			}},
		},
		Services: []config.Service{{Name: serviceName, Timeout: requestTimeout, QueueLimit: 64}},
	}
}

func (sim *Simulation) instance(i ident.Instance) (*Instance, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	in, ok := sim.instances[i]
	return in, ok
}

// liveInstances returns the instances that are neither killed nor stopping or
// stopped, in the order of their starts.
func (sim *Simulation) liveInstances() []*Instance {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var all []*Instance
	for _, name := range sim.instanceNames {
		if in := sim.instances[name]; in.processCtx.Err() == nil && !in.stopping {
			all = append(all, in)
		}
	}
	return all
}

// balancerTargets returns the instances to which the load balancer sends calls.
// The load balancer notices a planned stop after balancerDelay.
func (sim *Simulation) balancerTargets() []*Instance {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var all []*Instance
	for _, name := range sim.instanceNames {
		in := sim.instances[name]
		if in.processCtx.Err() != nil || in.stopping && time.Since(in.stopBegan) >= balancerDelay {
			continue
		}
		all = append(all, in)
	}
	return all
}

// Logs returns what the stand-ins and the callers have logged so far.
func (sim *Simulation) Logs() Logs {
	l := Logs{Begin: sim.begin, End: time.Now(), Commits: sim.store.Log()}
	for _, w := range sim.workers {
		l.Workers = append(l.Workers, w.logs()...)
	}
	for _, e := range sim.endpoints {
		l.Endpoints = append(l.Endpoints, e.Log()...)
	}
	slices.SortStableFunc(l.Endpoints, func(a, b fakes.Execution) int { return a.At.Compare(b.At) })
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, a := range sim.answers {
		l.Answers = append(l.Answers, *a)
	}
	for _, o := range sim.outages {
		l.Outages = append(l.Outages, *o)
	}
	for _, s := range sim.stops {
		l.Stops = append(l.Stops, *s)
	}
	l.Submissions = slices.Clone(sim.submissions)
	l.Versions = slices.Clone(sim.versions)
	return l
}

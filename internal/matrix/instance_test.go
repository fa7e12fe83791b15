package matrix

import (
	"context"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/claim"
	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/lease"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/owner"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/roster"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// Instance is one process of the system. Its parts are connected as package
// daemon connects them, but without listeners.
type Instance struct {
	sim     *Simulation
	self    member.Info
	site    *site.Manager
	members *member.Service
	roster  *roster.Roster
	relay   *relay.Relay
	intake  *intake.Intake
	shards  map[ident.Domain]*owner.Shard

	// processCtx ends when the process ends, and shardsCtx when its shards are
	// stopped.
	processCtx context.Context
	endProcess context.CancelFunc
	shardsCtx  context.Context
	stopShards context.CancelFunc
	shardLoops sync.WaitGroup
	stopping   bool
	// stopBegan is the start of the planned stop.
	stopBegan time.Time
}

// startInstance starts an instance, which is ready after a few seconds.
func (sim *Simulation) startInstance(name ident.Instance, r ident.Region) *Instance {
	in := &Instance{
		sim: sim, shards: make(map[ident.Domain]*owner.Shard),
		self: member.Info{Instance: name, Domain: nearDomain, Region: r, Started: time.Now()},
	}
	if r == remoteRegion {
		in.self.Domain = farDomain
	}
	in.processCtx, in.endProcess = context.WithCancel(context.Background())
	in.shardsCtx, in.stopShards = context.WithCancel(in.processCtx)
	sim.network.add(name, r)
	in.connectParts()
	for _, d := range []ident.Domain{nearDomain, farDomain} {
		in.shards[d] = in.newShard(d)
	}
	sim.mu.Lock()
	sim.instances[name] = in
	sim.instanceNames = append(sim.instanceNames, name)
	sim.mu.Unlock()
	go in.members.Run(in.processCtx)
	go in.site.Run(in.processCtx)
	go in.roster.Run(in.processCtx)
	go in.join()
	go sim.recordVersionChanges(in)
	for _, s := range in.shards {
		in.shardLoops.Go(func() { s.Run(in.shardsCtx) })
	}
	return in
}

func (in *Instance) join() {
	for in.processCtx.Err() == nil && in.members.Join(in.processCtx) != nil {
		time.Sleep(500 * time.Millisecond)
	}
}

func (in *Instance) connectParts() {
	sim, name := in.sim, in.self.Instance
	table := sim.table(name)
	log := event.Discard()
	in.site = site.NewManager(site.Deps{
		Table: table, Log: log, Guards: sim.setup.SiteGuards,
		Offer: func(ctx context.Context) { in.members.ExchangeNow(ctx) },
	})
	in.members = member.NewService(member.Deps{
		Table: table, Self: in.self, Log: log, Local: in.localState,
		Exchange: func(ctx context.Context, to member.Info, s member.State) (member.State, error) {
			return sim.exchange(ctx, name, to, s)
		},
		OnState: func(s member.State) {
			in.site.ObserveVersion(s.ConfigVersion)
			if s.Config != nil {
				in.site.Observe(s.Config)
			}
		},
	})
	in.relay = in.newRelay()
	in.roster = roster.New(roster.Deps{
		Read:   func(ctx context.Context) (roster.Listing, error) { return sim.list(ctx, name) },
		Update: in.updateEndpoints,
	})
	in.intake = intake.New(intake.Deps{
		Table: table, Objects: sim.objects.Store(), Config: in.site.Current,
		Candidates: in.candidates, Notify: in.notify, Log: log,
	})
}

// updateEndpoints passes the platform's list of endpoints to the relay.
func (in *Instance) updateEndpoints(es []route.Endpoint, now time.Time) {
	if in.sim.setup.HideLeaving {
		for i := range es {
			es[i].Leaving = false
		}
	}
	in.relay.UpdateEndpoints(es, now)
}

func (in *Instance) newRelay() *relay.Relay {
	sim, name := in.sim, in.self.Instance
	settings := relay.DefaultSettings()
	settings.Instance = name
	if sim.setup.RelaySettings != nil {
		sim.setup.RelaySettings(&settings)
	}
	var guards relay.Guards
	if sim.setup.RelayGuards != nil {
		sim.setup.RelayGuards(&guards)
	}
	return relay.New(relay.Calls{
		Config: in.site.Current,
		Take:   claim.New(sim.table(name), name, claim.DefaultSettings()).Take,
		Send: func(ctx context.Context, e route.Endpoint, a relay.Attempt) (relay.Reply, error) {
			return sim.send(ctx, name, e, a)
		},
		Resolve: func(
			ctx context.Context, claimant ident.Instance, ws ident.Workspace, id ident.Request,
		) (relay.Answer, error) {
			return sim.resolve(ctx, name, claimant, ws, id)
		},
		Guards: guards,
	}, route.New(route.DefaultSettings()), settings, event.Discard())
}

func (in *Instance) newShard(d ident.Domain) *owner.Shard {
	sim, name := in.sim, in.self.Instance
	table := sim.table(name)
	return owner.NewShard(owner.Deps{
		Domain: d, Table: table, Objects: sim.objects.Store(),
		Lease:      lease.NewManager(table, d, name),
		Rank:       func(now time.Time) int { return in.members.Rank(d, regionOf(d), now) },
		Workers:    func() []worker.Spec { return in.roster.Workers(d) },
		Agent:      func(s worker.Spec) worker.Agent { return sim.agent(name, s) },
		ReadConfig: in.site.Read,
		Policy:     in.policy(),
		Peers:      func() []sched.Peer { return in.peerDomains(d) },
		Notify:     in.notify,
		Log:        event.Discard(),
	})
}

// localState returns the state that the instance sends to the others.
func (in *Instance) localState() member.State {
	c := in.site.Highest()
	s := member.State{
		Instance: in.self.Instance, ConfigVersion: c.Version, WantsConfig: in.site.NeedsConfig(),
		Ready: true, Stopping: in.isStopping(),
	}
	for _, d := range []ident.Domain{nearDomain, farDomain} {
		if sum, ok := in.shards[d].Summary(); ok {
			s.Shards = append(s.Shards, sum)
		}
	}
	if c.Version > 0 {
		s.Config = c
	}
	return s
}

func (in *Instance) isStopping() bool {
	in.sim.mu.Lock()
	defer in.sim.mu.Unlock()
	return in.stopping
}

// candidates returns the domains that may take a job. It does the same as the
// function in package daemon.
func (in *Instance) candidates(ws ident.Workspace, spec jobs.Spec) []sched.Candidate {
	c := in.site.Current()
	var all []sched.Candidate
	for _, d := range c.Domains {
		sum, ok := in.shards[d.Name].Summary()
		if !ok {
			_, sum, _ = in.members.Owner(d.Name, time.Now())
		}
		sum.Domain = d.Name
		candidate := sched.Candidate{Summary: sum, InService: d.InService, Homes: countHomes(c, ws, spec, d.Name)}
		for _, s := range in.roster.Workers(d.Name) {
			candidate.Workers = append(candidate.Workers, fleet.Worker{Spec: s, Free: s.Capacity})
		}
		all = append(all, candidate)
	}
	return all
}

// peerDomains returns the state of the other domains as this instance knows it. It
// does the same as the function in package daemon.
func (in *Instance) peerDomains(d ident.Domain) []sched.Peer {
	var peers []sched.Peer
	for _, other := range in.site.Current().Domains {
		if other.Name == d {
			continue
		}
		sum, ok := in.shards[other.Name].Summary()
		if !ok {
			_, sum, _ = in.members.Owner(other.Name, time.Now())
		}
		peers = append(peers, sched.Peer{
			Domain: other.Name, InService: other.InService, Workers: in.roster.Workers(other.Name),
			Free: sum.FreeAccelerators, Waiting: sum.WaitingAccelerators,
		})
	}
	return peers
}

// countHomes returns the number of guarantees of the workspace that have the
// shape of the job and the domain among their homes.
func countHomes(c *config.Config, ws ident.Workspace, spec jobs.Spec, d ident.Domain) int {
	n := 0
	workspace, _ := c.Workspace(ws)
	for _, g := range workspace.Guarantees {
		for _, h := range g.Homes {
			if g.Shape == spec.Shape && h == d {
				n++
			}
		}
	}
	return n
}

// notify wakes this instance's shard of the domain. The notification of the
// owner at another instance is left out, since it only saves time.
func (in *Instance) notify(d ident.Domain, _ ident.Workspace, _ ident.Job) {
	if s, ok := in.shards[d]; ok {
		s.Wake()
	}
}

// kill ends the process at once.
func (in *Instance) kill(cause string) {
	in.sim.network.kill(in.self.Instance, cause)
	in.endProcess()
}

// plannedStop stops the instance in the order of package daemon: it waits for
// the load balancer, stops and releases its shards, drains its requests, ends
// the process and leaves the membership.
func (in *Instance) plannedStop() {
	sim := in.sim
	s := &PlannedStop{From: time.Now(), Instance: in.self.Instance}
	sim.mu.Lock()
	in.stopping, in.stopBegan = true, s.From
	sim.stops = append(sim.stops, s)
	sim.mu.Unlock()
	limits := in.site.Current().Limits
	ctx, cancel := context.WithTimeout(context.Background(), limits.StopLimit)
	defer cancel()
	sleepContext(in.processCtx, limits.StopDelay)
	in.stopShards()
	in.shardLoops.Wait()
	for _, d := range []ident.Domain{nearDomain, farDomain} {
		_ = in.shards[d].Release(ctx)
	}
	_ = in.relay.Drain(ctx)
	killed := in.processCtx.Err() != nil
	sim.mu.Lock()
	s.To, s.Killed = time.Now(), killed
	sim.mu.Unlock()
	in.endProcess()
	_ = in.members.Leave(ctx)
	sim.network.kill(in.self.Instance, "ended")
}

// sleepContext sleeps for d or until ctx is done.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

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

// Instance is one process of the product, assembled as package daemon does,
// without listeners.
type Instance struct {
	world   *World
	self    member.Info
	site    *site.Keeper
	members *member.Service
	roster  *roster.Roster
	relay   *relay.Relay
	intake  *intake.Intake
	shards  map[ident.Domain]*owner.Shard

	// life ends when the process ends, owning when its shards are stopped.
	life     context.Context
	end      context.CancelFunc
	own      context.Context
	disown   context.CancelFunc
	owners   sync.WaitGroup
	stopping bool
	stopped  time.Time
}

// start starts an instance. It is ready after a few seconds.
func (w *World) start(name ident.Instance, r ident.Region) *Instance {
	in := &Instance{
		world: w, shards: make(map[ident.Domain]*owner.Shard),
		self: member.Info{Instance: name, Domain: nearby, Region: r, Started: time.Now()},
	}
	if r == remote {
		in.self.Domain = far
	}
	in.life, in.end = context.WithCancel(context.Background())
	in.own, in.disown = context.WithCancel(in.life)
	w.net.add(name, r)
	in.assemble()
	for _, d := range []ident.Domain{nearby, far} {
		in.shards[d] = in.shard(d)
	}
	w.mu.Lock()
	w.instances[name] = in
	w.names = append(w.names, name)
	w.mu.Unlock()
	go in.members.Run(in.life)
	go in.site.Run(in.life)
	go in.roster.Run(in.life)
	go in.join()
	go w.watch(in)
	for _, s := range in.shards {
		in.owners.Go(func() { s.Run(in.own) })
	}
	return in
}

func (in *Instance) join() {
	for in.life.Err() == nil && in.members.Join(in.life) != nil {
		time.Sleep(500 * time.Millisecond)
	}
}

func (in *Instance) assemble() {
	w, name := in.world, in.self.Instance
	table := w.table(name)
	log := event.Discard()
	in.site = site.NewKeeper(site.Deps{
		Table: table, Log: log, Guards: w.setup.Site,
		Offer: func(ctx context.Context) { in.members.Offer(ctx) },
	})
	in.members = member.NewService(member.Deps{
		Table: table, Self: in.self, Log: log, Local: in.state,
		Exchange: func(ctx context.Context, to member.Info, s member.State) (member.State, error) {
			return w.exchange(ctx, name, to, s)
		},
		Received: func(s member.State) {
			in.site.Hear(s.ConfigVersion)
			if s.Config != nil {
				in.site.Learn(s.Config)
			}
		},
	})
	in.relay = in.newRelay()
	in.roster = roster.New(roster.Deps{
		Read:   func(ctx context.Context) (roster.Listing, error) { return w.list(ctx, name) },
		Update: in.updateEndpoints,
	})
	in.intake = intake.New(intake.Deps{
		Table: table, Objects: w.objects.Store(), Config: in.site.Current,
		Candidates: in.candidates, Notify: in.notify, Log: log,
	})
}

func (in *Instance) updateEndpoints(es []route.Endpoint, now time.Time) {
	if in.world.setup.BlindList {
		for i := range es {
			es[i].Leaving = false
		}
	}
	in.relay.UpdateEndpoints(es, now)
}

func (in *Instance) newRelay() *relay.Relay {
	w, name := in.world, in.self.Instance
	settings := relay.DefaultSettings()
	settings.Instance = name
	if w.setup.Settings != nil {
		w.setup.Settings(&settings)
	}
	var guards relay.Guards
	if w.setup.Relay != nil {
		w.setup.Relay(&guards)
	}
	return relay.New(relay.Calls{
		Config: in.site.Current,
		Take:   claim.New(w.table(name), name, claim.DefaultSettings()).Take,
		Send: func(ctx context.Context, e route.Endpoint, a relay.Attempt) (relay.Reply, error) {
			return w.send(ctx, name, e, a)
		},
		Resolve: func(
			ctx context.Context, claimant ident.Instance, ws ident.Workspace, id ident.Request,
		) (relay.Answer, error) {
			return w.resolve(ctx, name, claimant, ws, id)
		},
		Guards: guards,
	}, route.New(route.DefaultSettings()), settings, event.Discard())
}

func (in *Instance) shard(d ident.Domain) *owner.Shard {
	w, name := in.world, in.self.Instance
	table := w.table(name)
	return owner.NewShard(owner.Deps{
		Domain: d, Table: table, Objects: w.objects.Store(),
		Lease:   lease.NewKeeper(table, d, name),
		Rank:    func(now time.Time) int { return in.members.Rank(d, regionOf(d), now) },
		Workers: func() []worker.Spec { return in.roster.Workers(d) },
		Agent:   func(s worker.Spec) worker.Agent { return w.agent(name, s) },
		Read:    in.site.Read,
		Policy:  in.policy(),
		Peers:   func() []sched.Peer { return in.peersOf(d) },
		Notify:  in.notify,
		Log:     event.Discard(),
	})
}

func (in *Instance) state() member.State {
	c := in.site.Highest()
	s := member.State{
		Instance: in.self.Instance, ConfigVersion: c.Version, Wants: in.site.Wants(),
		Ready: true, Stopping: in.isStopping(),
	}
	for _, d := range []ident.Domain{nearby, far} {
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
	in.world.mu.Lock()
	defer in.world.mu.Unlock()
	return in.stopping
}

// candidates returns the domains that may take a job, as package daemon does.
func (in *Instance) candidates(ws ident.Workspace, spec jobs.Spec) []sched.Candidate {
	c := in.site.Current()
	var all []sched.Candidate
	for _, d := range c.Domains {
		sum, ok := in.shards[d.Name].Summary()
		if !ok {
			_, sum, _ = in.members.Owner(d.Name, time.Now())
		}
		sum.Domain = d.Name
		candidate := sched.Candidate{Summary: sum, InService: d.InService, Homes: homes(c, ws, spec, d.Name)}
		for _, s := range in.roster.Workers(d.Name) {
			candidate.Workers = append(candidate.Workers, fleet.Worker{Spec: s, Free: s.Capacity})
		}
		all = append(all, candidate)
	}
	return all
}

// peersOf returns what is known of the other domains, as package daemon does.
func (in *Instance) peersOf(d ident.Domain) []sched.Peer {
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

func homes(c *config.Config, ws ident.Workspace, spec jobs.Spec, d ident.Domain) int {
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

// notify wakes the own shard. A hint to another instance only saves time, so
// it is left out.
func (in *Instance) notify(d ident.Domain, _ ident.Workspace, _ ident.Job) {
	if s, ok := in.shards[d]; ok {
		s.Wake()
	}
}

// kill ends the process at once.
func (in *Instance) kill(cause string) {
	in.world.net.kill(in.self.Instance, cause)
	in.end()
}

// stop performs the planned stop in the order of package daemon.
func (in *Instance) stop() {
	w := in.world
	s := &Stop{From: time.Now(), Instance: in.self.Instance}
	w.mu.Lock()
	in.stopping, in.stopped = true, s.From
	w.stops = append(w.stops, s)
	w.mu.Unlock()
	limits := in.site.Current().Limits
	ctx, cancel := context.WithTimeout(context.Background(), limits.StopLimit)
	defer cancel()
	sleep(in.life, limits.StopDelay)
	in.disown()
	in.owners.Wait()
	for _, d := range []ident.Domain{nearby, far} {
		_ = in.shards[d].Release(ctx)
	}
	_ = in.relay.Drain(ctx)
	killed := in.life.Err() != nil
	w.mu.Lock()
	s.To, s.Killed = time.Now(), killed
	w.mu.Unlock()
	in.end()
	_ = in.members.Leave(ctx)
	w.net.kill(in.self.Instance, "ended")
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

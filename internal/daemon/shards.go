package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/lease"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/owner"
	"github.com/baobabquay/baobabquay/internal/peer"
	"github.com/baobabquay/baobabquay/internal/roster"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// shards runs one shard for each failure domain of the configuration.
	shards struct {
		deps shardDeps

		mu      sync.Mutex
		running map[ident.Domain]*runningShard
		// released is set by the planned stop, after which no shard starts.
		released bool
	}

	// shardDeps are the calls of the shards. view and roster are set when
	// those parts exist, which need the shards themselves.
	shardDeps struct {
		table   store.Table
		objects store.Objects
		self    member.Info
		site    *site.Keeper
		peers   *peer.Client
		agent   func(worker.Spec) worker.Agent
		log     event.Log
		view    *member.Service
		roster  *roster.Roster
	}

	runningShard struct {
		shard  *owner.Shard
		cancel context.CancelFunc
		ended  chan struct{}
	}
)

// notifyTimeout bounds a hint to another instance. The queue is read twice a
// second without it.
const notifyTimeout = 500 * time.Millisecond

func newShards(
	t store.Table, o store.Objects, self member.Info, k *site.Keeper, p *peer.Client,
	agent func(worker.Spec) worker.Agent, log event.Log,
) *shards {
	return &shards{
		deps: shardDeps{
			table: t, objects: o, self: self, site: k, peers: p, agent: agent, log: log,
		},
		running: make(map[ident.Domain]*runningShard),
	}
}

// run keeps one shard running for each domain until ctx ends.
func (s *shards) run(ctx context.Context) {
	for {
		changed := s.deps.site.Changed()
		s.follow(ctx, s.deps.site.Current())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// follow ends the shards of domains that c lacks and starts those that it adds.
// A shard has ended before another one of the same domain can start, because
// both would act under the same lease.
func (s *shards) follow(ctx context.Context, c *config.Config) {
	for _, name := range s.removed(c) {
		s.end(name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	for _, d := range c.Domains {
		if _, ok := s.running[d.Name]; !ok {
			s.running[d.Name] = s.start(ctx, d)
		}
	}
}

func (s *shards) removed(c *config.Config) []ident.Domain {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []ident.Domain
	for name := range s.running {
		if _, ok := c.Domain(name); !ok {
			names = append(names, name)
		}
	}
	return names
}

func (s *shards) end(name ident.Domain) {
	s.mu.Lock()
	r := s.running[name]
	s.mu.Unlock()
	r.cancel()
	<-r.ended
	s.mu.Lock()
	delete(s.running, name)
	s.mu.Unlock()
}

func (s *shards) start(ctx context.Context, d config.Domain) *runningShard {
	ctx, cancel := context.WithCancel(ctx)
	shard := owner.NewShard(owner.Deps{
		Domain: d.Name, Table: s.deps.table, Objects: s.deps.objects,
		Lease:   lease.NewKeeper(s.deps.table, d.Name, s.deps.self.Instance),
		Rank:    func(now time.Time) int { return s.deps.view.Rank(d.Name, d.Region, now) },
		Workers: func() []worker.Spec { return s.deps.roster.Workers(d.Name) },
		Agent:   s.deps.agent,
		Read:    s.deps.site.Read,
		Policy:  sched.Default(),
		Peers:   func() []sched.Peer { return s.peersOf(d.Name) },
		Notify:  s.notify,
		Log:     s.deps.log,
	})
	r := &runningShard{shard: shard, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		shard.Run(ctx)
	}()
	return r
}

// release ends the shards and hands their leases over.
func (s *shards) release(ctx context.Context) {
	s.mu.Lock()
	s.released = true
	s.mu.Unlock()
	var all sync.WaitGroup
	for _, r := range s.all() {
		all.Go(func() {
			r.cancel()
			<-r.ended
			// A lease that cannot be released ends by itself after its TTL.
			_ = r.shard.Release(ctx)
		})
	}
	all.Wait()
}

func (s *shards) all() []*runningShard {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*runningShard, 0, len(s.running))
	for _, r := range s.running {
		all = append(all, r)
	}
	return all
}

func (s *shards) find(d ident.Domain) (*owner.Shard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.running[d]
	if !ok {
		return nil, false
	}
	return r.shard, true
}

// summaries returns the state of the shards that this instance owns.
func (s *shards) summaries() []sched.Summary {
	var sums []sched.Summary
	for _, r := range s.all() {
		if sum, ok := r.shard.Summary(); ok {
			sums = append(sums, sum)
		}
	}
	return sums
}

// summary returns the state of a shard, whoever owns it.
func (s *shards) summary(d ident.Domain) (ident.Instance, sched.Summary, bool) {
	if shard, ok := s.find(d); ok {
		if sum, owned := shard.Summary(); owned {
			return s.deps.self.Instance, sum, true
		}
	}
	p, sum, ok := s.deps.view.Owner(d, time.Now())
	return p.Instance, sum, ok
}

// candidates returns the domains that may take a job.
func (s *shards) candidates(w ident.Workspace, spec jobs.Spec) []sched.Candidate {
	c := s.deps.site.Current()
	var all []sched.Candidate
	for _, d := range c.Domains {
		_, sum, _ := s.summary(d.Name)
		sum.Domain = d.Name
		all = append(all, sched.Candidate{
			Summary: sum, InService: d.InService, Workers: s.fleetOf(d.Name),
			Homes: homes(c, w, spec, d.Name),
		})
	}
	return all
}

func (s *shards) fleetOf(d ident.Domain) []fleet.Worker { return s.deps.roster.FleetOf(d) }

// homes counts the guaranteed shapes of the workspace that are like the job's
// and have their home in the domain.
func homes(c *config.Config, w ident.Workspace, spec jobs.Spec, d ident.Domain) int {
	ws, _ := c.Workspace(w)
	n := 0
	for _, g := range ws.Guarantees {
		if g.Shape != spec.Shape {
			continue
		}
		for _, home := range g.Homes {
			if home == d {
				n++
			}
		}
	}
	return n
}

// peersOf returns what is known of the domains other than d.
func (s *shards) peersOf(d ident.Domain) []sched.Peer {
	var peers []sched.Peer
	for _, other := range s.deps.site.Current().Domains {
		if other.Name == d {
			continue
		}
		// Without an owner nobody starts work there, so nothing counts as free.
		_, sum, _ := s.summary(other.Name)
		peers = append(peers, sched.Peer{
			Domain: other.Name, InService: other.InService, Workers: s.deps.roster.Workers(other.Name),
			Free: sum.FreeAccelerators, Waiting: sum.WaitingAccelerators,
		})
	}
	return peers
}

// notify tells the owner of a shard that its queue changed.
func (s *shards) notify(d ident.Domain, w ident.Workspace, j ident.Job) {
	if shard, ok := s.find(d); ok {
		if _, owned := shard.Summary(); owned {
			shard.Wake()
			return
		}
	}
	p, _, ok := s.deps.view.Owner(d, time.Now())
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		_ = s.deps.peers.Notify(ctx, p.Peer, d, w, j)
	}()
}

// wake starts a round of a shard for the hint of another instance.
func (s *shards) wake(d ident.Domain, _ ident.Workspace, _ ident.Job) {
	if shard, ok := s.find(d); ok {
		shard.Wake()
	}
}

// reason returns why a job waits, if this instance owns its shard.
func (s *shards) reason(d ident.Domain, w ident.Workspace, j ident.Job) string {
	if shard, ok := s.find(d); ok {
		if r, known := shard.Reason(w, j); known {
			return r
		}
	}
	return ""
}

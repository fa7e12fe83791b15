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
		// released is set by the planned stop; no shard is started after it.
		released bool
	}

	// shardDeps are the dependencies of the shards. newInstance sets members
	// and roster, because those parts depend on the shards.
	shardDeps struct {
		table         store.Table
		objects       store.Objects
		self          member.Info
		configManager *site.Manager
		peers         *peer.Client
		agent         func(worker.Spec) worker.Agent
		log           event.Log
		members       *member.Service
		roster        *roster.Roster
	}

	// runningShard is a shard whose goroutine runs until cancel is called.
	runningShard struct {
		shard  *owner.Shard
		cancel context.CancelFunc
		// done is closed when the shard has ended.
		done chan struct{}
	}
)

// notifyTimeout bounds a notification to another instance. A lost one costs
// little, because owners read the queue twice a second anyway.
const notifyTimeout = 500 * time.Millisecond

func newShards(
	table store.Table, objects store.Objects, self member.Info, configManager *site.Manager, peers *peer.Client,
	agent func(worker.Spec) worker.Agent, log event.Log,
) *shards {
	return &shards{
		deps: shardDeps{
			table: table, objects: objects, self: self, configManager: configManager, peers: peers, agent: agent, log: log,
		},
		running: make(map[ident.Domain]*runningShard),
	}
}

// run keeps one shard running for each failure domain until ctx ends.
func (s *shards) run(ctx context.Context) {
	for {
		changed := s.deps.configManager.Changed()
		s.applyConfig(ctx, s.deps.configManager.Current())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// applyConfig stops the shards of failure domains that c no longer has and
// starts those of new ones. A shard has ended before another one of the same
// domain can start, because both would act under the same lease.
func (s *shards) applyConfig(ctx context.Context, c *config.Config) {
	for _, name := range s.removedDomains(c) {
		s.stopShard(name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	for _, d := range c.Domains {
		if _, ok := s.running[d.Name]; !ok {
			s.running[d.Name] = s.startShard(ctx, d)
		}
	}
}

// removedDomains returns the domains with a running shard that c does not have.
func (s *shards) removedDomains(c *config.Config) []ident.Domain {
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

// stopShard stops the shard of a domain and waits until it has ended.
func (s *shards) stopShard(name ident.Domain) {
	s.mu.Lock()
	r := s.running[name]
	s.mu.Unlock()
	r.cancel()
	<-r.done
	s.mu.Lock()
	delete(s.running, name)
	s.mu.Unlock()
}

func (s *shards) startShard(ctx context.Context, d config.Domain) *runningShard {
	ctx, cancel := context.WithCancel(ctx)
	shard := owner.NewShard(owner.Deps{
		Domain: d.Name, Table: s.deps.table, Objects: s.deps.objects,
		Lease:      lease.NewManager(s.deps.table, d.Name, s.deps.self.Instance),
		Rank:       func(now time.Time) int { return s.deps.members.Rank(d.Name, d.Region, now) },
		Workers:    func() []worker.Spec { return s.deps.roster.Workers(d.Name) },
		Agent:      s.deps.agent,
		ReadConfig: s.deps.configManager.Read,
		Policy:     sched.Default(),
		Peers:      func() []sched.Peer { return s.peerDomains(d.Name) },
		Notify:     s.notify,
		Log:        s.deps.log,
	})
	r := &runningShard{shard: shard, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		shard.Run(ctx)
	}()
	return r
}

// release stops all shards and releases their leases, so that other instances
// can take them.
func (s *shards) release(ctx context.Context) {
	s.mu.Lock()
	s.released = true
	s.mu.Unlock()
	var stops sync.WaitGroup
	for _, r := range s.runningShards() {
		stops.Go(func() {
			r.cancel()
			<-r.done
			// A lease that cannot be released expires after its TTL.
			_ = r.shard.Release(ctx)
		})
	}
	stops.Wait()
}

func (s *shards) runningShards() []*runningShard {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*runningShard, 0, len(s.running))
	for _, r := range s.running {
		all = append(all, r)
	}
	return all
}

// find returns the shard of a domain, whether this instance owns it or not.
func (s *shards) find(d ident.Domain) (*owner.Shard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.running[d]
	if !ok {
		return nil, false
	}
	return r.shard, true
}

// ownedSummaries returns the summaries of the shards that this instance owns.
func (s *shards) ownedSummaries() []sched.Summary {
	var sums []sched.Summary
	for _, r := range s.runningShards() {
		if sum, ok := r.shard.Summary(); ok {
			sums = append(sums, sum)
		}
	}
	return sums
}

// summary returns the owner and the summary of a shard, whichever instance owns
// it, and whether an owner is known.
func (s *shards) summary(d ident.Domain) (ident.Instance, sched.Summary, bool) {
	if shard, ok := s.find(d); ok {
		if sum, owned := shard.Summary(); owned {
			return s.deps.self.Instance, sum, true
		}
	}
	p, sum, ok := s.deps.members.Owner(d, time.Now())
	return p.Instance, sum, ok
}

// candidates returns the failure domains among which intake chooses for a job.
func (s *shards) candidates(w ident.Workspace, spec jobs.Spec) []sched.Candidate {
	c := s.deps.configManager.Current()
	var all []sched.Candidate
	for _, d := range c.Domains {
		_, sum, _ := s.summary(d.Name)
		sum.Domain = d.Name
		all = append(all, sched.Candidate{
			Summary: sum, InService: d.InService, Workers: s.fleetWorkers(d.Name),
			Homes: countHomes(c, w, spec, d.Name),
		})
	}
	return all
}

func (s *shards) fleetWorkers(d ident.Domain) []fleet.Worker { return s.deps.roster.IdleWorkers(d) }

// countHomes counts the guaranteed shapes of the workspace that equal the shape
// of the job and have their home in the domain.
func countHomes(c *config.Config, w ident.Workspace, spec jobs.Spec, d ident.Domain) int {
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

// peerDomains returns the state of the domains other than d, as far as this
// instance knows it.
func (s *shards) peerDomains(d ident.Domain) []sched.Peer {
	var peers []sched.Peer
	for _, other := range s.deps.configManager.Current().Domains {
		if other.Name == d {
			continue
		}
		// No tasks start in a domain without an owner. Its summary is zero, so
		// it has no free accelerators.
		_, sum, _ := s.summary(other.Name)
		peers = append(peers, sched.Peer{
			Domain: other.Name, InService: other.InService, Workers: s.deps.roster.Workers(other.Name),
			Free: sum.FreeAccelerators, Waiting: sum.WaitingAccelerators,
		})
	}
	return peers
}

// notify informs the owner of a shard that its queue has changed.
func (s *shards) notify(d ident.Domain, w ident.Workspace, j ident.Job) {
	if shard, ok := s.find(d); ok {
		if _, owned := shard.Summary(); owned {
			shard.Wake()
			return
		}
	}
	p, _, ok := s.deps.members.Owner(d, time.Now())
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		_ = s.deps.peers.Notify(ctx, p.Peer, d, w, j)
	}()
}

// wake starts a round of a shard when another instance has sent a notification.
func (s *shards) wake(d ident.Domain, _ ident.Workspace, _ ident.Job) {
	if shard, ok := s.find(d); ok {
		shard.Wake()
	}
}

// waitReason returns why a job waits, or "" if this instance does not own its
// shard or the shard has no reason for the job.
func (s *shards) waitReason(d ident.Domain, w ident.Workspace, j ident.Job) string {
	if shard, ok := s.find(d); ok {
		if r, known := shard.WaitReason(w, j); known {
			return r
		}
	}
	return ""
}

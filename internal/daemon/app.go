package daemon

import (
	"context"
	stderrors "errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/claim"
	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/entry"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/inifmt"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/link"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/peer"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/roster"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// instance is one running instance with its loops and servers.
type instance struct {
	self member.Info
	// configManager holds the configuration in force.
	configManager *site.Manager
	members       *member.Service
	roster        *roster.Roster
	relay         *relay.Relay
	platformList  plat.List
	linkCounter   *link.Counter
	shards        *shards
	readiness     *readiness
	table         store.Table
	log           event.Log
	callerServer  *http.Server
	peerServer    *http.Server

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

const (
	// readyInterval is the interval at which a starting instance checks
	// whether it can take requests.
	readyInterval = 50 * time.Millisecond
	// readHeaderTimeout bounds the time that a caller may take to send the
	// headers of a request.
	readHeaderTimeout = 10 * time.Second
	// serverShutdownReserve is the part of the stop limit that is reserved for
	// shutting down the servers after the requests have been drained.
	serverShutdownReserve = 5 * time.Second
	// sweepInterval is the interval at which expired claims are deleted.
	sweepInterval = time.Hour
)

// New returns an instance that has not started.
func New(s Settings, logger logr.Logger) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s, logger),
		fx.Provide(
			newMemberInfo, newLog, newRegionResolver, newLinkShaper, newLinkCounter, newPlatformClients,
			newPeerClient, newReadiness, newConfigManager, newOutcomeResolver, newAgentFactory,
			newShards, newRouteTable, newMembers, newRelay, newRoster, newIntake, newInstance,
		),
		fx.Invoke(func(lc fx.Lifecycle, i *instance) {
			lc.Append(fx.Hook{OnStart: i.start, OnStop: i.stop})
		}),
		// The planned stop applies the stop limit of the configuration itself,
		// so the limit of fx only has to be longer.
		fx.StopTimeout(time.Hour),
	)
}

// newInstance returns an instance that has not started. It also sets the
// dependencies that would make the constructors depend on each other in a cycle.
func newInstance(
	self member.Info, configManager *site.Manager, members *member.Service, roster *roster.Roster, relay *relay.Relay,
	intake *intake.Intake, shards *shards, readiness *readiness, resolver *outcomeResolver, table store.Table,
	log event.Log, list plat.List, regions *regionResolver, shaper *linkShaper, counter *link.Counter,
) *instance {
	resolver.members, shards.deps.members, shards.deps.roster = members, members, roster
	regions.bind(configManager, members, roster)
	shaper.bind(configManager, members)
	i := &instance{
		self: self, configManager: configManager, members: members, roster: roster, relay: relay, shards: shards,
		readiness: readiness, table: table, log: log, platformList: list, linkCounter: counter,
	}
	i.callerServer = newServer(entry.NewHandler(entry.Deps{
		Config: configManager.Current, Jobs: intake, Relay: relay.Do, Region: self.Region, Ready: readiness.isReady, Log: log,
		Metrics: func(w http.ResponseWriter) {
			relay.Metrics().WritePrometheus(w)
			counter.WriteMetrics(w)
			metrics.WriteProcessMetrics(w)
		},
		Admin: entry.Admin{
			Render: inifmt.Write,
			Parse:  parseConfig,
			Apply: func(ctx context.Context, base int64, c *config.Config) (*config.Config, error) {
				return configManager.Apply(ctx, base, quota.AssignHomes(c, roster.RecentWorkers()))
			},
			SetDomain: func(ctx context.Context, d ident.Domain, inService bool) (*config.Config, error) {
				return setDomain(ctx, configManager, roster, log, d, inService)
			},
			Status:  func() wire.Status { return siteStatus(self, configManager, readiness, members, shards, roster) },
			Explain: func(j jobs.Job) string { return explainJob(shards, j) },
		},
	}))
	handlers := http.NewServeMux()
	handlers.Handle(peer.NewHandler(peer.Server{
		Exchange: members.Receive, Notify: shards.wake, Explain: shards.waitReason, Resolve: relay.Resolve,
	}))
	i.peerServer = newServer(handlers)
	return i
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

func parseConfig(text string) (*config.Config, error) {
	r, err := inifmt.Read(context.Background(), inifmt.Source{File: "applied", Text: text})
	if err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	return r.Config, nil
}

func isConflict(err error) bool {
	var c *site.ConflictError
	return errors.As(err, &c)
}

// start opens the listeners and starts the loops. The instance becomes ready
// later (see becomeReady).
func (i *instance) start(ctx context.Context) error {
	if err := listen(ctx, i.peerServer, i.self.Peer); err != nil {
		return fmt.Errorf("listen for other instances: %w", err)
	}
	if err := listen(ctx, i.callerServer, i.self.Caller); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	run, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.loops.Go(func() { i.members.Run(run) })
	i.loops.Go(func() { i.configManager.Run(run) })
	i.loops.Go(func() { i.roster.Run(run) })
	i.loops.Go(func() { i.shards.run(run) })
	i.loops.Go(func() { i.sweepClaims(run) })
	i.loops.Go(func() { i.reassignHomes(run) })
	i.loops.Go(func() { i.linkCounter.Run(run) })
	i.loops.Go(func() { i.becomeReady(run) })
	return nil
}

// becomeReady waits until the instance has found the other instances, has a
// configuration in force and has read the platform's list, then marks it ready
// and registers it. The other instances are found by their rows in the store
// or, while the store is down, by the platform's list if at least one of them
// answers. In that case states are exchanged with all listed instances first,
// so that the highest configuration version among those that answer is known.
// The instance is not ready while it lacks that version.
func (i *instance) becomeReady(ctx context.Context) {
	joined := false
	for {
		if !joined {
			joined = i.members.Join(ctx) == nil || i.roster.IsRead() && i.members.ExchangeAll(ctx) > 0
		}
		if joined && i.configManager.Current().Version > 0 && !i.configManager.NeedsConfig() && i.roster.IsRead() {
			i.readiness.setReady()
			i.log.Write(event.InstanceReady, "version", i.configManager.Current().Version, "callers", i.self.Caller)
			i.loops.Go(func() { i.keepRegistered(ctx) })
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyInterval):
		}
	}
}

// sweepClaims periodically deletes the expired claims of all instances, if this
// instance owns the first failure domain, so that only one instance does so.
func (i *instance) sweepClaims(ctx context.Context) {
	settings := claim.DefaultSettings()
	sweeper := claim.Sweeper{Table: i.table, Retention: settings.Retention, MaxBatch: settings.MaxBatch}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval):
		}
		c := i.configManager.Current()
		if len(c.Domains) == 0 {
			continue
		}
		if owner, _, ok := i.shards.summary(c.Domains[0].Name); ok && owner == i.self.Instance {
			// The next sweep continues after a failed one.
			_, _ = sweeper.Sweep(ctx, time.Now())
		}
	}
}

// stop performs the planned stop. It reports the instance as not ready to the
// load balancer, waits for the stop delay, releases the leases of its shards,
// drains the requests in flight, and only then closes the listeners.
func (i *instance) stop(ctx context.Context) error {
	limits := i.configManager.Current().Limits
	i.log.Write(event.InstanceStop, "inFlight", i.relay.InFlight())
	i.readiness.setStopping()
	// Readers of the platform's list see the instance as leaving before it ends.
	i.loops.Go(func() { _ = i.register(ctx, plat.Leaving) })
	ctx, cancel := context.WithTimeout(ctx, limits.StopLimit)
	defer cancel()
	pause(ctx, limits.StopDelay)
	i.shards.release(ctx)
	drain, cancelDrain := context.WithTimeout(ctx, max(limits.StopLimit-limits.StopDelay-serverShutdownReserve, time.Second))
	defer cancelDrain()
	drainErr := i.relay.Drain(drain)
	err := stderrors.Join(drainErr, i.callerServer.Shutdown(ctx))
	i.cancel()
	i.loops.Wait()
	// If the row cannot be deleted here, the other instances delete it.
	_ = i.members.Leave(ctx)
	i.deregister(ctx)
	err = stderrors.Join(err, i.peerServer.Shutdown(ctx))
	i.log.Write(event.InstanceEnded, "cutOff", i.relay.InFlight())
	if err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func listen(ctx context.Context, s *http.Server, at netip.AddrPort) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", at.String())
	if err != nil {
		return fmt.Errorf("listen on %v: %w", at, err)
	}
	go func() {
		// Serve returns ErrServerClosed at the planned stop.
		_ = s.Serve(listener)
	}()
	return nil
}

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

// life runs an instance from its start to its end.
type life struct {
	self    member.Info
	site    *site.Keeper
	members *member.Service
	roster  *roster.Roster
	relay   *relay.Relay
	entries plat.List
	link    *link.Counter
	shards  *shards
	status  *status
	table   store.Table
	log     event.Log
	callers *http.Server
	peers   *http.Server

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

const (
	// readyEvery is the period at which a starting instance looks whether it
	// can take requests.
	readyEvery = 50 * time.Millisecond
	// readHeaderTimeout ends connections that send no request.
	readHeaderTimeout = 10 * time.Second
	// stopSlack is the part of the stop limit that is left for the servers
	// after the requests have ended.
	stopSlack = 5 * time.Second
	// sweepEvery is the period at which old claims are deleted.
	sweepEvery = time.Hour
)

// New returns an instance that has not started.
func New(s Settings, l logr.Logger) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s, l),
		fx.Provide(
			newSelf, newLog, newPlaces, newSharing, newLink, newPlatform, newPeers, newStatus, newSite, newFinder, newAgent,
			newShards, newRoutes, newMembers, newRelay, newRoster, newIntake, newLife,
		),
		fx.Invoke(func(lc fx.Lifecycle, l *life) {
			lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
		}),
		// The planned stop has its own limit, from the configuration.
		fx.StopTimeout(time.Hour),
	)
}

func newLife(
	self member.Info, k *site.Keeper, m *member.Service, ro *roster.Roster, r *relay.Relay,
	in *intake.Intake, sh *shards, st *status, f *finder, t store.Table, log event.Log,
	pl plat.List, where *places, sg *sharing, lc *link.Counter,
) *life {
	f.view, sh.deps.view, sh.deps.roster = m, m, ro
	where.set(k, m, ro)
	sg.set(k, m)
	l := &life{
		self: self, site: k, members: m, roster: ro, relay: r, shards: sh, status: st, table: t, log: log,
		entries: pl, link: lc,
	}
	l.callers = newServer(entry.NewHandler(entry.Deps{
		Config: k.Current, Jobs: in, Relay: r.Do, Region: self.Region, Ready: st.isReady, Log: log,
		Metrics: func(w http.ResponseWriter) {
			r.Metrics().WritePrometheus(w)
			lc.WriteMetrics(w)
			metrics.WriteProcessMetrics(w)
		},
		Admin: entry.Admin{
			Render: inifmt.Write,
			Parse:  parseConfig,
			Apply: func(ctx context.Context, base int64, c *config.Config) (*config.Config, error) {
				return k.Apply(ctx, base, quota.AssignHomes(c, ro.AllWorkers()))
			},
			SetDomain: func(ctx context.Context, d ident.Domain, in bool) (*config.Config, error) {
				return setDomain(ctx, k, ro, log, d, in)
			},
			Status:  func() wire.Status { return siteStatus(self, k, st, m, sh, ro) },
			Explain: func(j jobs.Job) string { return explainJob(sh, j) },
		},
	}))
	handlers := http.NewServeMux()
	handlers.Handle(peer.NewHandler(peer.Server{
		Exchange: m.Receive, Notify: sh.wake, Explain: sh.reason, Resolve: r.Resolve,
	}))
	l.peers = newServer(handlers)
	return l
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
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

// start listens, then starts the loops. The instance becomes ready later, when
// it has what it needs to serve.
func (l *life) start(ctx context.Context) error {
	if err := listen(ctx, l.peers, l.self.Peer); err != nil {
		return fmt.Errorf("listen for instances: %w", err)
	}
	if err := listen(ctx, l.callers, l.self.Caller); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	run, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.loops.Go(func() { l.members.Run(run) })
	l.loops.Go(func() { l.site.Run(run) })
	l.loops.Go(func() { l.roster.Run(run) })
	l.loops.Go(func() { l.shards.run(run) })
	l.loops.Go(func() { l.sweep(run) })
	l.loops.Go(func() { l.rehome(run) })
	l.loops.Go(func() { l.link.Run(run) })
	l.loops.Go(func() { l.becomeReady(run) })
	return nil
}

// becomeReady waits until the instance knows the others, has a configuration in
// force and has read the platform's list. It knows the others from their rows,
// or, while the store is down, from the list, if one of them answers. All of
// them are asked before, so that the highest version among them is known, and the
// instance is not ready while it lacks that version.
func (l *life) becomeReady(ctx context.Context) {
	joined := false
	for {
		if !joined {
			joined = l.members.Join(ctx) == nil || l.roster.IsRead() && l.members.Ask(ctx) > 0
		}
		if joined && l.site.Current().Version > 0 && !l.site.Wants() && l.roster.IsRead() {
			l.status.setReady()
			l.log.Write(event.InstanceReady, "version", l.site.Current().Version, "callers", l.self.Caller)
			l.loops.Go(func() { l.register(ctx) })
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyEvery):
		}
	}
}

// sweep deletes the old claims of instances that are gone, at the instance that
// owns the first failure domain, so that one instance does it.
func (l *life) sweep(ctx context.Context) {
	settings := claim.DefaultSettings()
	s := claim.Sweeper{Table: l.table, Retention: settings.Retention, MaxBatch: settings.MaxBatch}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepEvery):
		}
		c := l.site.Current()
		if len(c.Domains) == 0 {
			continue
		}
		if owner, _, ok := l.shards.summary(c.Domains[0].Name); ok && owner == l.self.Instance {
			// A sweep that fails is continued by the next one.
			_, _ = s.Sweep(ctx, time.Now())
		}
	}
}

// stop is the planned stop: the load balancer is told, what is owned is handed
// over, what is in flight ends, and only then do the listeners close.
func (l *life) stop(ctx context.Context) error {
	limits := l.site.Current().Limits
	l.log.Write(event.InstanceStop, "inFlight", l.relay.InFlight())
	l.status.setStopping()
	// Readers of the list see it before the instance ends.
	l.loops.Go(func() { _ = l.list(ctx, plat.Leaving) })
	ctx, cancel := context.WithTimeout(ctx, limits.StopLimit)
	defer cancel()
	pause(ctx, limits.StopDelay)
	l.shards.release(ctx)
	drain, cancelDrain := context.WithTimeout(ctx, max(limits.StopLimit-limits.StopDelay-stopSlack, time.Second))
	defer cancelDrain()
	drainErr := l.relay.Drain(drain)
	err := stderrors.Join(drainErr, l.callers.Shutdown(ctx))
	l.cancel()
	l.loops.Wait()
	// The row of an instance that cannot delete it is deleted by the others.
	_ = l.members.Leave(ctx)
	l.unlist(ctx)
	err = stderrors.Join(err, l.peers.Shutdown(ctx))
	l.log.Write(event.InstanceEnded, "cutOff", l.relay.InFlight())
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
		// Serve ends with ErrServerClosed at the planned stop.
		_ = s.Serve(listener)
	}()
	return nil
}

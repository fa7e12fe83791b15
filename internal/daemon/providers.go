package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/baobabquay/baobabquay/internal/claim"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/link"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/peer"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/roster"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"go.uber.org/fx"
)

// platformClients provides the clients of the platform's services.
type platformClients struct {
	fx.Out

	Table   store.Table
	Objects store.Objects
	List    plat.List
	Clients httpClients
}

// httpClients are the HTTP clients by kind of traffic, which is counted for
// each kind separately.
type httpClients struct {
	request *http.Client
	worker  *http.Client
}

// dialTimeout bounds the time to connect to an endpoint, a worker or the
// platform, all of which are at most 20 ms away.
const dialTimeout = time.Second

func newLog(logger logr.Logger, self member.Info) event.Log {
	return event.New(logger).With("instance", self.Instance)
}

func newMemberInfo(s Settings) member.Info {
	return member.Info{
		Instance: ident.Instance(s.Name + "-" + uuid.NewString()[:8]),
		Domain:   s.Domain,
		Region:   s.Region,
		Peer:     s.Peer,
		Caller:   s.Listen,
		Started:  time.Now(),
	}
}

func newPlatformClients(s Settings, counter *link.Counter) platformClients {
	client := newClient(counter, link.Store)
	return platformClients{
		Table:   plat.Table(s.Platform, client),
		Objects: plat.Objects(s.Platform, client),
		List:    plat.Instances(s.Platform, newClient(counter, link.List)),
		Clients: httpClients{request: newClient(counter, link.Request), worker: newClient(counter, link.Worker)},
	}
}

func newClient(counter *link.Counter, k link.Kind) *http.Client {
	return plat.NewWrappedClient(dialTimeout, counter.Wrap(k))
}

func newPeerClient(counter *link.Counter) *peer.Client {
	return peer.NewClient(newClient(counter, link.Peer))
}

// newConfigManager returns the manager of the configuration and the hook by
// which it offers a new version to the other instances. newMembers sets the
// hook's function, because the member service depends on the manager.
func newConfigManager(table store.Table, log event.Log) (*site.Manager, *offerHook) {
	hook := &offerHook{}
	return site.NewManager(site.Deps{Table: table, Offer: hook.call, Log: log}), hook
}

// offerHook breaks the cyclic dependency of the configuration manager and the
// member service: its function is set after the manager has been constructed.
type offerHook struct {
	fn func(ctx context.Context)
}

// call calls the function if it is set.
func (h *offerHook) call(ctx context.Context) {
	if h.fn != nil {
		h.fn(ctx)
	}
}

func newMembers(
	table store.Table, self member.Info, configManager *site.Manager, hook *offerHook, peers *peer.Client,
	readiness *readiness, shards *shards, routes *route.Table, log event.Log,
) *member.Service {
	s := member.NewService(member.Deps{
		Table: table, Self: self, Log: log,
		Local: func() member.State { return localState(self, configManager, readiness, shards, routes) },
		Exchange: func(ctx context.Context, to member.Info, s member.State) (member.State, error) {
			return peers.Exchange(ctx, to.Peer, s)
		},
		OnState: func(s member.State) { applyPeerState(configManager, routes, s) },
	})
	hook.fn = s.ExchangeNow
	return s
}

// applyPeerState applies the configuration version, the configuration and the
// leaving endpoints in the state of another instance.
func applyPeerState(configManager *site.Manager, routes *route.Table, s member.State) {
	configManager.ObserveVersion(s.ConfigVersion)
	if s.Config != nil {
		configManager.Observe(s.Config)
	}
	for _, e := range s.Leaving {
		routes.MarkReportedLeaving(e, time.Now())
	}
}

// localState returns the state that this instance sends to the others.
func localState(
	self member.Info, configManager *site.Manager, readiness *readiness, shards *shards, routes *route.Table,
) member.State {
	c := configManager.Highest()
	s := member.State{
		Instance: self.Instance, ConfigVersion: c.Version, WantsConfig: configManager.NeedsConfig(), Shards: shards.ownedSummaries(),
		Ready: readiness.isReady(), Stopping: readiness.isStopping(), Leaving: routes.AnnouncedLeaving(time.Now()),
	}
	if c.Version > 0 {
		s.Config = c
	}
	return s
}

func newRoster(list plat.List, relay *relay.Relay, members *member.Service) *roster.Roster {
	return roster.New(roster.Deps{
		Read:   func(ctx context.Context) (roster.Listing, error) { return readList(ctx, list) },
		Update: relay.UpdateEndpoints, Entries: members.SetListed,
	})
}

// readList reads the platform's list and returns its workers, endpoints and
// scheduler instances (entries).
func readList(ctx context.Context, list plat.List) (roster.Listing, error) {
	all, err := list.Read(ctx)
	if err != nil {
		return roster.Listing{}, fmt.Errorf("read the platform's list: %w", err)
	}
	var listing roster.Listing
	for _, i := range all {
		switch i.Kind {
		case plat.KindWorker:
			listing.Workers = append(listing.Workers, i.Worker)
		case plat.KindEndpoint:
			e := i.Endpoint
			listing.Endpoints = append(listing.Endpoints, route.Endpoint{
				Name: e.Name, Service: e.Service, Address: e.Address, Domain: e.Domain, Region: e.Region,
				Leaving: i.State == plat.Leaving, Slots: e.Slots,
			})
		case plat.KindEntry:
			e := i.Entry
			listing.Entries = append(listing.Entries, member.Info{
				Instance: e.Name, Domain: e.Domain, Region: e.Region, Peer: e.Peer, Caller: e.Address,
			})
		}
	}
	return listing, nil
}

func newRelay(
	table store.Table, self member.Info, configManager *site.Manager, clients httpClients, resolver *outcomeResolver,
	routes *route.Table, shaper *linkShaper, log event.Log,
) *relay.Relay {
	settings := relay.DefaultSettings()
	settings.Instance = self.Instance
	claims := claim.New(table, self.Instance, claim.DefaultSettings())
	return relay.New(relay.Calls{
		Config:  configManager.Current,
		Take:    claims.Take,
		Resolve: resolver.resolve,
		Send: func(ctx context.Context, e route.Endpoint, a relay.Attempt) (relay.Reply, error) {
			return sendAttempt(ctx, clients.request, configManager, shaper, e, a)
		},
		LinkWait: shaper.linkWait,
	}, routes, settings, log)
}

func newRouteTable() *route.Table { return route.New(route.DefaultSettings()) }

func newIntake(
	table store.Table, objects store.Objects, configManager *site.Manager, shards *shards, readiness *readiness, log event.Log,
) *intake.Intake {
	return intake.New(intake.Deps{
		Table: table, Objects: objects, Config: configManager.Current, Candidates: shards.candidates, Notify: shards.notify,
		Stopping: readiness.stopSignal, Log: log,
	})
}

func newAgentFactory(clients httpClients) func(worker.Spec) worker.Agent {
	return func(s worker.Spec) worker.Agent { return plat.Agent(s.Address, clients.worker) }
}

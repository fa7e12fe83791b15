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

// platform are the calls to the platform.
type platform struct {
	fx.Out

	Table   store.Table
	Objects store.Objects
	List    plat.List
	Clients clients
}

// clients are the clients by the kind of their traffic.
type clients struct {
	request *http.Client
	worker  *http.Client
}

// dialTimeout bounds the time to connect to an endpoint, a worker or the
// platform, 20 ms away at most.
const dialTimeout = time.Second

func newLog(l logr.Logger, self member.Info) event.Log {
	return event.New(l).With("instance", self.Instance)
}

func newSelf(s Settings) member.Info {
	return member.Info{
		Instance: ident.Instance(s.Name + "-" + uuid.NewString()[:8]),
		Domain:   s.Domain,
		Region:   s.Region,
		Peer:     s.Peer,
		Caller:   s.Listen,
		Started:  time.Now(),
	}
}

func newPlatform(s Settings, lc *link.Counter) platform {
	c := newClient(lc, link.Store)
	return platform{
		Table:   plat.Table(s.Platform, c),
		Objects: plat.Objects(s.Platform, c),
		List:    plat.Instances(s.Platform, newClient(lc, link.List)),
		Clients: clients{request: newClient(lc, link.Request), worker: newClient(lc, link.Worker)},
	}
}

func newClient(lc *link.Counter, k link.Kind) *http.Client {
	return plat.NewWrappedClient(dialTimeout, lc.Wrap(k))
}

func newPeers(lc *link.Counter) *peer.Client {
	return peer.NewClient(newClient(lc, link.Peer))
}

// newSite returns the keeper of the configuration. Its Offer is set when the
// member service exists, which needs the keeper itself.
func newSite(t store.Table, log event.Log) (*site.Keeper, *offer) {
	o := &offer{}
	return site.NewKeeper(site.Deps{Table: t, Offer: o.make, Log: log}), o
}

// offer is a call that is set after its first user was made.
type offer struct {
	call func(ctx context.Context)
}

func (o *offer) make(ctx context.Context) {
	if o.call != nil {
		o.call(ctx)
	}
}

func newMembers(
	t store.Table, self member.Info, k *site.Keeper, o *offer, p *peer.Client, st *status, sh *shards,
	routes *route.Table, log event.Log,
) *member.Service {
	s := member.NewService(member.Deps{
		Table: t, Self: self, Log: log,
		Local: func() member.State { return localState(self, k, st, sh, routes) },
		Exchange: func(ctx context.Context, to member.Info, s member.State) (member.State, error) {
			return p.Exchange(ctx, to.Peer, s)
		},
		Received: func(s member.State) { hear(k, routes, s) },
	})
	o.call = s.Offer
	return s
}

// hear takes what another instance told.
func hear(k *site.Keeper, routes *route.Table, s member.State) {
	k.Hear(s.ConfigVersion)
	if s.Config != nil {
		k.Learn(s.Config)
	}
	for _, e := range s.Leaving {
		routes.MarkTold(e, time.Now())
	}
}

func localState(self member.Info, k *site.Keeper, st *status, sh *shards, routes *route.Table) member.State {
	c := k.Highest()
	s := member.State{
		Instance: self.Instance, ConfigVersion: c.Version, Wants: k.Wants(), Shards: sh.summaries(),
		Ready: st.isReady(), Stopping: st.isStopping(), Leaving: routes.Heard(time.Now()),
	}
	if c.Version > 0 {
		s.Config = c
	}
	return s
}

func newRoster(l plat.List, r *relay.Relay, m *member.Service) *roster.Roster {
	return roster.New(roster.Deps{
		Read:   func(ctx context.Context) (roster.Listing, error) { return readList(ctx, l) },
		Update: r.UpdateEndpoints, Entries: m.Listed,
	})
}

func readList(ctx context.Context, l plat.List) (roster.Listing, error) {
	all, err := l.Read(ctx)
	if err != nil {
		return roster.Listing{}, fmt.Errorf("read list: %w", err)
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
	t store.Table, self member.Info, k *site.Keeper, c clients, find *finder, routes *route.Table, sg *sharing,
	log event.Log,
) *relay.Relay {
	settings := relay.DefaultSettings()
	settings.Instance = self.Instance
	claims := claim.New(t, self.Instance, claim.DefaultSettings())
	return relay.New(relay.Calls{
		Config:  k.Current,
		Take:    claims.Take,
		Resolve: find.resolve,
		Send: func(ctx context.Context, e route.Endpoint, a relay.Attempt) (relay.Reply, error) {
			return send(ctx, c.request, k, sg, e, a)
		},
		Share: sg.ask,
	}, routes, settings, log)
}

func newRoutes() *route.Table { return route.New(route.DefaultSettings()) }

func newIntake(
	t store.Table, o store.Objects, k *site.Keeper, sh *shards, st *status, log event.Log,
) *intake.Intake {
	return intake.New(intake.Deps{
		Table: t, Objects: o, Config: k.Current, Candidates: sh.candidates, Notify: sh.notify,
		Stopping: st.stop, Log: log,
	})
}

func newAgent(c clients) func(worker.Spec) worker.Agent {
	return func(s worker.Spec) worker.Agent { return plat.Agent(s.Address, c.worker) }
}

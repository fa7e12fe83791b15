package daemon

import (
	"net/netip"
	"sync"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/link"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/roster"
	"github.com/baobabquay/baobabquay/internal/site"
)

// places knows the regions of addresses. Its parts are set when they exist;
// they need clients whose traffic is counted by region.
type places struct {
	settings Settings

	mu      sync.Mutex
	site    *site.Keeper
	members *member.Service
	roster  *roster.Roster
}

func newPlaces(s Settings) *places { return &places{settings: s} }

func newLink(self member.Info, p *places, sg *sharing, log event.Log) *link.Counter {
	return link.NewCounter(link.Deps{Self: self.Region, RegionOf: p.regionOf, Spend: sg.spend, Log: log})
}

func (p *places) set(k *site.Keeper, m *member.Service, r *roster.Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.site, p.members, p.roster = k, m, r
}

// regionOf returns the region of an address, and whether it is known.
func (p *places) regionOf(a netip.AddrPort) (ident.Region, bool) {
	if a == p.settings.Platform {
		if p.settings.PlatformRegion == "" {
			return p.settings.Region, true
		}
		return p.settings.PlatformRegion, true
	}
	p.mu.Lock()
	k, m, r := p.site, p.members, p.roster
	p.mu.Unlock()
	if r == nil {
		return "", false
	}
	if region, ok := r.RegionOfEndpoint(a); ok {
		return region, true
	}
	if name, ok := r.DomainOfWorker(a); ok {
		d, known := k.Current().Domain(name)
		return d.Region, known
	}
	return m.RegionOf(a)
}

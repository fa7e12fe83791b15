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

// regionResolver maps addresses to regions. Its configManager, members and
// roster are set by bind, because they use clients whose traffic is counted by
// region and so depend on the resolver.
type regionResolver struct {
	settings Settings

	mu            sync.Mutex
	configManager *site.Manager
	members       *member.Service
	roster        *roster.Roster
}

func newRegionResolver(s Settings) *regionResolver { return &regionResolver{settings: s} }

func newLinkCounter(self member.Info, regions *regionResolver, shaper *linkShaper, log event.Log) *link.Counter {
	return link.NewCounter(link.Deps{Self: self.Region, RegionOf: regions.regionOf, Charge: shaper.chargeTraffic, Log: log})
}

// bind sets the parts that are constructed after the resolver.
func (r *regionResolver) bind(configManager *site.Manager, members *member.Service, roster *roster.Roster) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configManager, r.members, r.roster = configManager, members, roster
}

// regionOf returns the region of an address and whether it is known.
func (r *regionResolver) regionOf(a netip.AddrPort) (ident.Region, bool) {
	if a == r.settings.Platform {
		if r.settings.PlatformRegion == "" {
			return r.settings.Region, true
		}
		return r.settings.PlatformRegion, true
	}
	r.mu.Lock()
	configManager, members, roster := r.configManager, r.members, r.roster
	r.mu.Unlock()
	if roster == nil {
		return "", false
	}
	if region, ok := roster.RegionOfEndpoint(a); ok {
		return region, true
	}
	if name, ok := roster.DomainOfWorker(a); ok {
		d, known := configManager.Current().Domain(name)
		return d.Region, known
	}
	return members.RegionOf(a)
}

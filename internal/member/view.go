package member

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/cespare/xxhash/v2"
)

type (
	// Info is the part of an instance's description that does not change while
	// the instance runs.
	Info struct {
		Instance ident.Instance
		Domain   ident.Domain
		Region   ident.Region
		// Peer is the address for other instances, Caller the one for callers.
		Peer    netip.AddrPort
		Caller  netip.AddrPort
		Started time.Time
	}

	// State is the state that an instance reports in an exchange.
	State struct {
		Instance      ident.Instance
		ConfigVersion int64
		// WantsConfig requests the configuration itself: the sender knows that
		// there is a higher version but cannot read it from the store.
		WantsConfig bool
		// Config is set only for a receiver that requested it and has a lower
		// version.
		Config   *config.Config
		Shards   []sched.Summary
		Ready    bool
		Stopping bool
		// Leaving holds the endpoints that recently announced to the sender that
		// they are leaving. The platform's list shows this later.
		Leaving []route.Endpoint
	}

	// Peer is the knowledge of this instance about another one.
	Peer struct {
		Info
		State State
		// LastExchange is the time of the last successful exchange.
		LastExchange time.Time
		// RowChanged is the time at which the last change of the row was seen.
		RowChanged time.Time

		rowVersion int64
		// responding is true from a successful exchange until the instance no
		// longer counts as alive.
		responding bool
	}

	// View is the set of known instances. It is safe for concurrent use.
	View struct {
		self Info

		mu    sync.Mutex
		peers map[ident.Instance]Peer
		// listed holds the instances in the platform's list.
		listed map[ident.Instance]bool
	}

	// memberRow is the row of an instance with its version.
	memberRow struct {
		info    Info
		version int64
	}
)

const (
	// livenessIntervals is the number of exchange intervals for which an instance
	// counts as alive after a successful exchange.
	livenessIntervals = 3
	// rowLiveness is the time for which an instance counts as alive after a
	// change of its row.
	rowLiveness = 10 * time.Second
	// rowRetention is the time after which a row that does not change is deleted.
	rowRetention = time.Minute
)

// NewView returns a view without other instances.
func NewView(self Info) *View {
	return &View{self: self, peers: make(map[ident.Instance]Peer)}
}

// observeRows updates the view from the rows of all instances and returns the
// rows to be deleted. It removes instances that have no row, are not listed and
// do not count as alive.
func (v *View) observeRows(rows []memberRow, now time.Time) []memberRow {
	v.mu.Lock()
	defer v.mu.Unlock()
	exchangeLiveness := livenessIntervals * v.exchangeIntervalLocked()
	present := make(map[ident.Instance]bool, len(rows))
	var stale []memberRow
	for _, r := range rows {
		present[r.info.Instance] = true
		if r.info.Instance == v.self.Instance {
			continue
		}
		p := v.peers[r.info.Instance]
		if p.rowVersion != r.version {
			p.Info, p.rowVersion, p.RowChanged = r.info, r.version, now
		}
		v.peers[r.info.Instance] = p
		if !p.isLive(now, exchangeLiveness) && now.Sub(p.RowChanged) > rowRetention {
			stale = append(stale, r)
		}
	}
	for i, p := range v.peers {
		if !present[i] && !v.listed[i] && !p.isLive(now, exchangeLiveness) {
			delete(v.peers, i)
		}
	}
	return stale
}

// recordExchange records a successful exchange with the instance that reported s.
// It reports whether the instance was not responding before. The state of an
// unknown instance is not recorded.
func (v *View) recordExchange(s State, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.peers[s.Instance]
	if !ok {
		return false
	}
	isNew := !p.responding
	s.Config = nil
	p.State, p.LastExchange, p.responding = s, now, true
	v.peers[s.Instance] = p
	return isNew
}

// markLost marks the instances that no longer count as alive as not responding
// and returns those that were responding before.
func (v *View) markLost(now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	exchangeLiveness := livenessIntervals * v.exchangeIntervalLocked()
	var lost []Peer
	for i, p := range v.peers {
		if p.responding && !p.isLive(now, exchangeLiveness) {
			lost = append(lost, p)
			p.responding = false
			v.peers[i] = p
		}
	}
	return lost
}

// Live returns the other instances that count as alive, ordered by name.
func (v *View) Live(now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	exchangeLiveness := livenessIntervals * v.exchangeIntervalLocked()
	var live []Peer
	for _, p := range v.peers {
		if p.isLive(now, exchangeLiveness) {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return live
}

// SetListed replaces the set of instances in the platform's list. States are
// exchanged with them, but only an answer makes them count as alive, because the
// list is updated late.
func (v *View) SetListed(infos []Info) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = make(map[ident.Instance]bool, len(infos))
	for _, i := range infos {
		if i.Instance == v.self.Instance || !i.Peer.IsValid() {
			continue
		}
		v.listed[i.Instance] = true
		if _, ok := v.peers[i.Instance]; !ok {
			v.peers[i.Instance] = Peer{Info: i}
		}
	}
}

// exchangeTargets returns the instances to exchange states with: those that count
// as alive and those in the platform's list.
func (v *View) exchangeTargets(now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var targets []Peer
	for i, p := range v.peers {
		if p.isLive(now, livenessIntervals*v.exchangeIntervalLocked()) || v.listed[i] {
			targets = append(targets, p)
		}
	}
	return targets
}

// Find returns the instance with the given name.
func (v *View) Find(i ident.Instance) (Peer, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.peers[i]
	return p, ok
}

// RegionOf returns the region of the instance with the given peer address.
func (v *View) RegionOf(a netip.AddrPort) (ident.Region, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.peers {
		if p.Peer == a {
			return p.Region, true
		}
	}
	return "", false
}

// Rank returns the position of this instance in the order of preference in which
// live instances should take the shard of a domain, 0 for the first. Instances in
// the domain come first, then those in its region, then the others, and
// rendezvous hashing orders each of these groups. Other instances that are
// stopping are left out.
func (v *View) Rank(d ident.Domain, r ident.Region, now time.Time) int {
	rank := 0
	for _, p := range v.Live(now) {
		if !p.State.Stopping && comparePreference(p.Info, v.self, d, r) < 0 {
			rank++
		}
	}
	return rank
}

func comparePreference(a, b Info, d ident.Domain, r ident.Region) int {
	return cmp.Or(
		cmp.Compare(distance(a, d, r), distance(b, d, r)),
		cmp.Compare(score(b.Instance, d), score(a.Instance, d)),
		strings.Compare(string(a.Instance), string(b.Instance)),
	)
}

// Owner returns the live instance that claims the shard of a domain with the
// highest epoch, and its summary of the shard.
func (v *View) Owner(d ident.Domain, now time.Time) (Peer, sched.Summary, bool) {
	var owner Peer
	var summary sched.Summary
	found := false
	for _, p := range v.Live(now) {
		for _, s := range p.State.Shards {
			if s.Domain == d && (!found || s.Epoch > summary.Epoch) {
				owner, summary, found = p, s, true
			}
		}
	}
	return owner, summary, found
}

// exchangeIntervalLocked returns the time between two exchanges with the same
// instance, which grows with the number of instances. The caller holds the lock.
func (v *View) exchangeIntervalLocked() time.Duration {
	return max(minExchangeInterval, time.Duration(len(v.peers))*time.Second/maxExchangesPerSecond)
}

// isLive reports whether the instance counts as alive, which it does for
// exchangeLiveness after an exchange and for rowLiveness after a change of its
// row.
func (p Peer) isLive(now time.Time, exchangeLiveness time.Duration) bool {
	return now.Sub(p.LastExchange) < exchangeLiveness || now.Sub(p.RowChanged) < rowLiveness
}

func distance(i Info, d ident.Domain, r ident.Region) int {
	switch {
	case i.Domain == d:
		return 0
	case i.Region == r:
		return 1
	}
	return 2
}

func score(i ident.Instance, d ident.Domain) uint64 {
	return xxhash.Sum64String(string(i) + "\x00" + string(d))
}

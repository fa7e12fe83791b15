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
	// Info is what does not change during the life of an instance.
	Info struct {
		Instance ident.Instance
		Domain   ident.Domain
		Region   ident.Region
		Peer     netip.AddrPort
		Caller   netip.AddrPort
		Started  time.Time
	}

	// State is what an instance tells of itself in an exchange.
	State struct {
		Instance      ident.Instance
		ConfigVersion int64
		// Wants asks for the configuration itself: the sender knows of a
		// higher version and cannot read it from the store.
		Wants bool
		// Config is set for a receiver that wants it and has a lower version.
		Config   *config.Config
		Shards   []sched.Summary
		Ready    bool
		Stopping bool
		// Leaving are the endpoints that said to the sender lately that they
		// are leaving. The platform's list tells it later.
		Leaving []route.Endpoint
	}

	// Peer is another instance as this one knows it.
	Peer struct {
		Info
		State State
		// Heard is the instant of the last exchange that worked.
		Heard time.Time
		// Changed is the instant at which the row was last seen to change.
		Changed time.Time

		version int64
		// answers is true from an exchange that worked until the instance no
		// longer counts as alive.
		answers bool
	}

	// View is the set of known instances. It is safe for concurrent use.
	View struct {
		self Info

		mu    sync.Mutex
		peers map[ident.Instance]Peer
		// listed are the instances in the platform's list.
		listed map[ident.Instance]bool
	}

	// sighted is an instance's row with its version.
	sighted struct {
		info    Info
		version int64
	}
)

const (
	// heardFor is the number of exchange periods for which an exchange proves
	// an instance alive.
	heardFor = 3
	// rowFor is the time for which a changed row proves an instance alive.
	rowFor = 10 * time.Second
	// rowKept is the time after which a row that does not change is deleted.
	rowKept = time.Minute
)

// NewView returns a view that knows only this instance.
func NewView(self Info) *View {
	return &View{self: self, peers: make(map[ident.Instance]Peer)}
}

// observe takes the rows of all instances and returns those to be deleted.
func (v *View) observe(rows []sighted, now time.Time) []sighted {
	v.mu.Lock()
	defer v.mu.Unlock()
	heard := heardFor * v.period()
	present := make(map[ident.Instance]bool, len(rows))
	var old []sighted
	for _, r := range rows {
		present[r.info.Instance] = true
		if r.info.Instance == v.self.Instance {
			continue
		}
		p := v.peers[r.info.Instance]
		if p.version != r.version {
			p.Info, p.version, p.Changed = r.info, r.version, now
		}
		v.peers[r.info.Instance] = p
		if !p.isLive(now, heard) && now.Sub(p.Changed) > rowKept {
			old = append(old, r)
		}
	}
	for i, p := range v.peers {
		if !present[i] && !v.listed[i] && !p.isLive(now, heard) {
			delete(v.peers, i)
		}
	}
	return old
}

// heard takes what an instance told of itself. It reports whether the instance
// did not answer before.
func (v *View) heard(s State, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.peers[s.Instance]
	if !ok {
		return false
	}
	isNew := !p.answers
	s.Config = nil
	p.State, p.Heard, p.answers = s, now, true
	v.peers[s.Instance] = p
	return isNew
}

// lost returns the instances that answered and no longer count as alive, each
// of them once.
func (v *View) lost(now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	heard := heardFor * v.period()
	var lost []Peer
	for i, p := range v.peers {
		if p.answers && !p.isLive(now, heard) {
			lost = append(lost, p)
			p.answers = false
			v.peers[i] = p
		}
	}
	return lost
}

// Live returns the other instances that count as alive, ordered by name.
func (v *View) Live(now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	heard := heardFor * v.period()
	var live []Peer
	for _, p := range v.peers {
		if p.isLive(now, heard) {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return live
}

// Listed takes the entry instances in the platform's list. They are asked, but
// only an answer makes them count as alive, as the list lags.
func (v *View) Listed(is []Info) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = make(map[ident.Instance]bool, len(is))
	for _, i := range is {
		if i.Instance == v.self.Instance || !i.Peer.IsValid() {
			continue
		}
		v.listed[i.Instance] = true
		if _, ok := v.peers[i.Instance]; !ok {
			v.peers[i.Instance] = Peer{Info: i}
		}
	}
}

// reachable returns the instances to exchange with: those that count as alive
// and those that the platform lists.
func (v *View) reachable(now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []Peer
	for i, p := range v.peers {
		if p.isLive(now, heardFor*v.period()) || v.listed[i] {
			all = append(all, p)
		}
	}
	return all
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

// Rank returns the place of this instance in the order in which live instances
// should take the shard of a domain, 0 for the first. The order is by
// rendezvous hashing among those in the domain, then those in its region, then
// the others. An instance that is stopping comes in no place.
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

// Owner returns the instance that says it owns the shard, with the highest
// epoch, and its summary.
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

// period returns the time between two exchanges with the same instance. It
// grows with their number. The caller holds the lock.
func (v *View) period() time.Duration {
	return max(exchangeEvery, time.Duration(len(v.peers))*time.Second/exchangesPerSecond)
}

func (p Peer) isLive(now time.Time, heard time.Duration) bool {
	return now.Sub(p.Heard) < heard || now.Sub(p.Changed) < rowFor
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

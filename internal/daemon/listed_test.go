package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/roster"
)

// yard are instances that share a table and a list and exchange states by calls.
type yard struct {
	table *fakes.Table
	list  *fakes.List

	mu    sync.Mutex
	lives map[ident.Instance]*life
	// cut are the instances that answer nobody.
	cut map[ident.Instance]bool
}

// addressOf returns an address that only names an instance.
func addressOf(n int) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n)) }

var errCut = errors.New("no answer")

func (y *yard) start(ctx context.Context, n int) *life {
	self := member.Info{Instance: ident.Instance(fmt.Sprint("e", n)), Peer: addressOf(n), Caller: addressOf(100 + n)}
	k, o := newSite(y.table.Store(), event.Discard())
	l := &life{self: self, site: k, status: newStatus(), entries: y.list.Plat(), log: event.Discard()}
	routes := newRoutes()
	l.members = member.NewService(member.Deps{
		Table: y.table.Store(), Self: self, Log: event.Discard(),
		Local: func() member.State { return localState(self, k, l.status, &shards{}, routes) },
		Exchange: func(_ context.Context, to member.Info, s member.State) (member.State, error) {
			other, ok := y.find(to.Instance)
			if !ok {
				return member.State{}, errCut
			}
			return other.members.Receive(s), nil
		},
		Received: func(s member.State) { hear(k, routes, s) },
	})
	o.call = l.members.Offer
	l.roster = roster.New(roster.Deps{
		Read:    func(ctx context.Context) (roster.Listing, error) { return readList(ctx, l.entries) },
		Entries: l.members.Listed,
	})
	y.mu.Lock()
	y.lives[self.Instance] = l
	y.mu.Unlock()
	go l.members.Run(ctx)
	go l.site.Run(ctx)
	go l.roster.Run(ctx)
	go l.becomeReady(ctx)
	return l
}

// find returns an instance that answers.
func (y *yard) find(i ident.Instance) (*life, bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	l, ok := y.lives[i]
	return l, ok && !y.cut[i]
}

func (y *yard) setCut(i ident.Instance, cut bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.cut[i] = cut
}

// TestReadyWithoutStore guards against a new instance that cannot become ready
// while the store is down although its peers answer, one that becomes ready
// with a lower version than a peer has in force or without any answer, and an
// instance that is missing in the platform's list or stays there.
func TestReadyWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		var out strings.Builder
		y := &yard{
			table: fakes.NewTable(), list: fakes.NewList(time.Second),
			lives: make(map[ident.Instance]*life), cut: make(map[ident.Instance]bool),
		}
		show := func(title string) {
			fmt.Fprintf(&out, "%v %s\n", time.Since(begin).Round(time.Second), title)
			for n := range len(y.lives) {
				l := y.lives[ident.Instance(fmt.Sprint("e", n+1))]
				fmt.Fprintf(&out, "  %s: ready %v, in force %d, alive %d others\n",
					l.self.Instance, l.status.isReady(), l.site.Current().Version, len(l.members.Live(time.Now())))
			}
			is, err := y.list.Plat().Read(ctx)
			assert.NilError(t, err)
			for _, i := range is {
				fmt.Fprintf(&out, "  listed: %s %s\n", i.Name(), i.State)
			}
		}
		e1, e2 := y.start(ctx, 1), y.start(ctx, 2)
		time.Sleep(500 * time.Millisecond)
		for base := range int64(2) {
			_, err := e1.site.Apply(ctx, base, &config.Config{Site: "test", Limits: config.DefaultLimits()})
			assert.NilError(t, err)
		}
		time.Sleep(10 * time.Second)
		show("with the store")
		y.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
		time.Sleep(5 * time.Second)
		y.setCut(e1.self.Instance, true)
		y.setCut(e2.self.Instance, true)
		y.start(ctx, 3)
		time.Sleep(10 * time.Second)
		show("store down, nobody answers e3")
		y.setCut(e2.self.Instance, false)
		time.Sleep(5 * time.Second)
		show("store down, e2 answers")
		e2.status.setStopping()
		time.Sleep(3 * time.Second)
		show("e2 leaves")
		cancel()
		synctest.Wait()
		e2.unlist(t.Context())
		ctx = t.Context()
		time.Sleep(2 * time.Second)
		show("e2 has ended")
		golden.Assert(t, out.String(), "ready.golden")
	})
}

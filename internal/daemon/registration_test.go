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

// cluster is a set of instances that share a table and the platform's list and
// exchange their states by direct calls.
type cluster struct {
	table *fakes.Table
	list  *fakes.List

	mu        sync.Mutex
	instances map[ident.Instance]*instance
	// unreachable are the instances that do not answer exchanges.
	unreachable map[ident.Instance]bool
}

// fakeAddress returns an address that identifies an instance and is never
// dialled.
func fakeAddress(n int) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n)) }

var errUnreachable = errors.New("no answer")

// start starts an instance without servers and shards.
func (c *cluster) start(ctx context.Context, number int) *instance {
	self := member.Info{
		Instance: ident.Instance(fmt.Sprint("e", number)), Peer: fakeAddress(number), Caller: fakeAddress(100 + number),
	}
	configManager, hook := newConfigManager(c.table.Store(), event.Discard())
	inst := &instance{
		self: self, configManager: configManager, readiness: newReadiness(), platformList: c.list.Plat(), log: event.Discard(),
	}
	routes := newRouteTable()
	inst.members = member.NewService(member.Deps{
		Table: c.table.Store(), Self: self, Log: event.Discard(),
		Local: func() member.State { return localState(self, configManager, inst.readiness, &shards{}, routes) },
		Exchange: func(_ context.Context, to member.Info, s member.State) (member.State, error) {
			other, ok := c.find(to.Instance)
			if !ok {
				return member.State{}, errUnreachable
			}
			return other.members.Receive(s), nil
		},
		OnState: func(s member.State) { applyPeerState(configManager, routes, s) },
	})
	hook.fn = inst.members.ExchangeNow
	inst.roster = roster.New(roster.Deps{
		Read:    func(ctx context.Context) (roster.Listing, error) { return readList(ctx, inst.platformList) },
		Entries: inst.members.SetListed,
	})
	c.mu.Lock()
	c.instances[self.Instance] = inst
	c.mu.Unlock()
	go inst.members.Run(ctx)
	go inst.configManager.Run(ctx)
	go inst.roster.Run(ctx)
	go inst.becomeReady(ctx)
	return inst
}

// find returns an instance and whether it can be reached.
func (c *cluster) find(i ident.Instance) (*instance, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inst, ok := c.instances[i]
	return inst, ok && !c.unreachable[i]
}

func (c *cluster) setUnreachable(i ident.Instance, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[i] = unreachable
}

// TestReadyWithoutStore guards against a new instance that does not become
// ready while the store is down although other instances answer, one that
// becomes ready with a lower configuration version than another instance has in
// force or without any answer, and an instance that is missing from the
// platform's list or stays in it after its end.
func TestReadyWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var out strings.Builder
		c := &cluster{
			table: fakes.NewTable(), list: fakes.NewList(time.Second),
			instances: make(map[ident.Instance]*instance), unreachable: make(map[ident.Instance]bool),
		}
		snapshot := func(title string) {
			fmt.Fprintf(&out, "%v %s\n", time.Since(start).Round(time.Second), title)
			for n := range len(c.instances) {
				inst := c.instances[ident.Instance(fmt.Sprint("e", n+1))]
				fmt.Fprintf(&out, "  %s: ready %v, version in force %d, other live instances %d\n",
					inst.self.Instance, inst.readiness.isReady(), inst.configManager.Current().Version, len(inst.members.Live(time.Now())))
			}
			entries, err := c.list.Plat().Read(ctx)
			assert.NilError(t, err)
			for _, entry := range entries {
				fmt.Fprintf(&out, "  listed: %s %s\n", entry.Name(), entry.State)
			}
		}
		e1, e2 := c.start(ctx, 1), c.start(ctx, 2)
		time.Sleep(500 * time.Millisecond)
		for base := range int64(2) {
			_, err := e1.configManager.Apply(ctx, base, &config.Config{Site: "test", Limits: config.DefaultLimits()})
			assert.NilError(t, err)
		}
		time.Sleep(10 * time.Second)
		snapshot("with the store")
		c.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
		time.Sleep(5 * time.Second)
		c.setUnreachable(e1.self.Instance, true)
		c.setUnreachable(e2.self.Instance, true)
		c.start(ctx, 3)
		time.Sleep(10 * time.Second)
		snapshot("store down, no instance answers e3")
		c.setUnreachable(e2.self.Instance, false)
		time.Sleep(5 * time.Second)
		snapshot("store down, e2 answers")
		e2.readiness.setStopping()
		time.Sleep(3 * time.Second)
		snapshot("e2 is stopping")
		cancel()
		synctest.Wait()
		e2.deregister(t.Context())
		ctx = t.Context()
		time.Sleep(2 * time.Second)
		snapshot("e2 has ended")
		golden.Assert(t, out.String(), "ready.golden")
	})
}

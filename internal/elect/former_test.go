package elect

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// site runs the electors of several instances on one table. A leader stays in its
// term until the term ends.
type site struct {
	t     *testing.T
	table *fakes.Table
	terms chan Term
	led   chan string
	// crashAcquired makes an instance crash once the store has carried out its
	// acquisition of the lease, before it receives the answer.
	crashAcquired atomic.Bool
	// acquisitions counts the attempts to acquire the lease.
	acquisitions atomic.Int64
}

func newSite(t *testing.T) *site {
	return &site{t: t, table: fakes.NewTable(), terms: make(chan Term, 64), led: make(chan string, 64)}
}

// start runs instance n. The returned function ends it abruptly, as a crash does:
// none of its later writes reaches the store.
func (s *site) start(n int) (end func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	name := fmt.Sprint("n", n)
	table := s.table.Store()
	commit := table.Commit
	table.Commit = func(call context.Context, txn store.Txn) (int64, error) {
		if ctx.Err() != nil {
			return 0, store.ErrUnavailable
		}
		acquisition := len(txn.Puts) > 1
		if acquisition {
			s.acquisitions.Add(1)
		}
		version, err := commit(call, txn)
		if acquisition && err == nil && s.crashAcquired.Load() {
			cancel()
			return 0, store.ErrUncertain
		}
		return version, err
	}
	go New(Deps{
		Table: table, Feed: s.table.Feed(), Self: Self{Instance: name, Incarnation: name + "-1", Peer: peer(n)},
		Log: event.New(logr.Discard()),
		Lead: func(ctx context.Context, t Term) error {
			if ctx.Err() != nil {
				return ctx.Err() // The instance has crashed.
			}
			s.led <- name
			s.terms <- t
			<-ctx.Done()
			return ctx.Err()
		},
	}).Run(ctx)
	return cancel
}

func peer(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", n))
}

// TestFormerBeforeLostAcquisitions guards against a new leader that does not query
// the last actual leader for progress that is not stored. Acquisitions by instances
// that crash before the answer leave epochs without a leader in between, and the new
// leader would query only the holders of those.
func TestFormerBeforeLostAcquisitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		end := s.start(1)
		first := <-s.terms
		assert.Equal(t, len(first.FormerLeaders), 0)
		first.MarkFormerSettled()
		for n := 2; n < 5; n++ {
			s.start(n)
		}
		time.Sleep(2 * time.Second)
		s.crashAcquired.Store(true)
		end()
		time.Sleep(8 * time.Second)
		s.crashAcquired.Store(false)
		s.start(5)
		term := <-s.terms
		assert.Assert(t, term.Epoch > 2, "epoch %d: no instance crashed after its acquisition", term.Epoch)
		assert.Assert(t, len(term.FormerLeaders) > 0 && term.FormerLeaders[0] == peer(1), "epoch %d: former leaders %v", term.Epoch, term.FormerLeaders)
	})
}

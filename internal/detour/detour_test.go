package detour

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// pathState tells what happens to calls on one path to the service.
type pathState int

const (
	// healthy calls take effect and are answered at once.
	healthy pathState = iota
	// refused calls are answered at once and have no effect.
	refused
	// silent calls get no answer and have no effect.
	silent
	// lost calls take effect and get no answer.
	lost
	// slow calls take effect and are answered after slowAnswer.
	slow
	// unreached calls do not arrive at the peer.
	unreached
)

// peerLatency is the latency of the path to a peer.
const peerLatency = 2 * time.Millisecond

var (
	pathStateNames = [...]string{"healthy", "refused", "silent", "lost", "slow", "unreached"}
	firstPeer      = netip.MustParseAddrPort("10.0.0.1:1")
	secondPeer     = netip.MustParseAddrPort("10.0.0.2:1")
)

// send makes a call on a path in the given state.
func send[T any](ctx context.Context, state pathState, call func() (T, error)) (T, error) {
	const slowAnswer = 430 * time.Millisecond
	var zero T
	switch state {
	case refused:
		return zero, store.ErrUnavailable
	case unreached:
		return zero, fmt.Errorf("%w: %w", ErrNotForwarded, store.ErrUnavailable)
	case silent:
		<-ctx.Done()
		return zero, fmt.Errorf("%w: %w", store.ErrUncertain, ctx.Err())
	case lost:
		if _, err := call(); err != nil {
			return zero, err
		}
		<-ctx.Done()
		return zero, fmt.Errorf("%w: %w", store.ErrUncertain, ctx.Err())
	case slow:
		time.Sleep(slowAnswer)
	}
	return call()
}

// fixture is a table that is reached directly and through two peers.
type fixture struct {
	table  *fakes.Table
	direct pathState
	peers  map[netip.AddrPort]pathState
	// peerCalls counts the calls through peers.
	peerCalls atomic.Int64
	mu        sync.Mutex
	log       strings.Builder
}

func (f *fixture) detour() *Detour {
	rows, feed := f.table.Store(), f.table.Feed()
	wait := func(ctx context.Context, state pathState, table string, after int64, maxWait time.Duration) (store.Changes, error) {
		return send(ctx, state, func() (store.Changes, error) { return feed.Wait(ctx, table, after, maxWait) })
	}
	return New(Deps{
		Table: store.Table{Commit: func(ctx context.Context, t store.Txn) (int64, error) {
			return send(ctx, f.direct, func() (int64, error) { return rows.Commit(ctx, t) })
		}},
		Feed: store.Feed{Wait: func(ctx context.Context, table string, after int64, maxWait time.Duration) (store.Changes, error) {
			return wait(ctx, f.direct, table, after, maxWait)
		}},
		Forward: PeerCalls{
			Commit: func(ctx context.Context, peer netip.AddrPort, t store.Txn) (int64, error) {
				f.peerCalls.Add(1)
				time.Sleep(peerLatency)
				return send(ctx, f.peers[peer], func() (int64, error) { return rows.Commit(ctx, t) })
			},
			Wait: func(ctx context.Context, peer netip.AddrPort, table string, after int64, maxWait time.Duration) (store.Changes, error) {
				f.peerCalls.Add(1)
				time.Sleep(peerLatency)
				return wait(ctx, f.peers[peer], table, after, maxWait)
			},
		},
		Peers: func() []netip.AddrPort { return []netip.AddrPort{firstPeer, secondPeer} },
		PeerFailed: func(a netip.AddrPort) {
			f.mu.Lock()
			defer f.mu.Unlock()
			fmt.Fprintf(&f.log, " failed %v", a)
		},
		Log: event.New(logr.Discard()),
	})
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "stored"
	case store.IsConflict(err):
		return "conflict"
	case errors.Is(err, store.ErrUncertain):
		return "uncertain"
	case errors.Is(err, store.ErrUnavailable):
		return "refused"
	}
	return err.Error()
}

// TestCommit guards against an instance that cannot answer its callers although the
// service serves other instances, against a transaction that is reported as
// refused although it may have taken effect, and against two copies of each call
// to a slow service.
func TestCommit(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ direct, firstPeer, secondPeer pathState }{
		{healthy, healthy, healthy}, {slow, slow, slow}, {slow, healthy, healthy}, {refused, healthy, healthy}, {refused, refused, healthy},
		{refused, unreached, healthy}, {refused, unreached, unreached}, {refused, silent, healthy}, {refused, lost, unreached},
		{silent, healthy, healthy}, {silent, silent, healthy}, {silent, refused, refused}, {silent, unreached, unreached},
		{lost, healthy, healthy}, {lost, refused, unreached},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{table: fakes.NewTable(), direct: c.direct, peers: map[netip.AddrPort]pathState{firstPeer: c.firstPeer, secondPeer: c.secondPeer}}
			d := f.detour()
			fmt.Fprintf(&b, "direct %s, peers %s and %s:", pathStateNames[c.direct], pathStateNames[c.firstPeer], pathStateNames[c.secondPeer])
			for _, key := range []string{"a/1", "a/2"} {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				started, before := time.Now(), f.peerCalls.Load()
				_, err := d.Table().Commit(ctx, store.Txn{Checks: []store.Check{{Key: key}}, Puts: []store.Put{{Key: key}}})
				fmt.Fprintf(&b, " %s after %v through %d peers;", outcome(err), time.Since(started), f.peerCalls.Load()-before)
				cancel()
				synctest.Wait()
				_, getErr := f.table.Store().Get(t.Context(), key)
				assert.Assert(t, outcome(err) != "refused" || getErr != nil, "refused although it took effect")
			}
			fmt.Fprintf(&b, "%s\n", f.log.String())
			// Slow calls are completed although their callers have returned.
			time.Sleep(time.Second)
		})
	}
	golden.Assert(t, b.String(), "commit.golden")
}

// TestWait guards against a follower that receives no changes while its own
// connection to the service gets no answers.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{table: fakes.NewTable(), direct: silent, peers: map[netip.AddrPort]pathState{firstPeer: healthy, secondPeer: healthy}}
		d := f.detour()
		_, err := f.table.Store().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "a/1"}}})
		assert.NilError(t, err)
		var b strings.Builder
		for _, after := range []int64{0, 1} {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			started := time.Now()
			c, err := d.Feed().Wait(ctx, "a", after, time.Second)
			cancel()
			assert.NilError(t, err)
			fmt.Fprintf(&b, "after %d: %d changes after %v\n", after, len(c.Rows), time.Since(started))
		}
		golden.Assert(t, b.String(), "wait.golden")
	})
}

// TestDirectory guards against an instance that does not know its peers, and
// against rows that remain after their instances are gone for good.
func TestDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fakes.NewTable()
		expired := fmt.Sprintf(`{"peer":"10.0.0.9:1","at":%q}`, time.Now().Add(-2*rowExpiry).Format(time.RFC3339))
		_, err := table.Store().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: InstanceTable + "/gone", Value: []byte(expired)}}})
		assert.NilError(t, err)
		var directories []*Directory
		for i, name := range []string{"a", "b", "c"} {
			directory := NewDirectory(DirectoryDeps{
				Table: table.Store(), Feed: table.Feed(), Name: name, Log: event.New(logr.Discard()),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1),
				Leader:  func() netip.AddrPort { return secondPeer },
			})
			directories = append(directories, directory)
			go directory.Run(t.Context())
		}
		time.Sleep(time.Minute)
		var b strings.Builder
		for _, directory := range directories {
			fmt.Fprintf(&b, "%s: %v\n", directory.Name, directory.Peers())
		}
		directories[0].Avoid(secondPeer)
		fmt.Fprintf(&b, "a after the leader did not answer: %v\n", directories[0].Peers())
		writes := len(table.Log())
		time.Sleep(5 * time.Minute)
		fmt.Fprintf(&b, "writes in the next 5 minutes: %d\n", len(table.Log())-writes)
		golden.Assert(t, b.String(), "directory.golden")
	})
}

// TestFailureSignal guards against a leader that learns of new jobs only when its
// call for changes has waited for its whole time, although another call has shown
// that the direct path gets no answers.
func TestFailureSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{table: fakes.NewTable(), direct: silent, peers: map[netip.AddrPort]pathState{firstPeer: healthy, secondPeer: healthy}}
		d := f.detour()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		started := time.Now()
		go func() {
			_, err := d.Table().Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a/1"}}})
			assert.Check(t, err == nil, "%v", err)
		}()
		c, err := d.Feed().Wait(ctx, "a", 0, 2*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(c.Rows), 1)
		assert.Assert(t, time.Since(started) < 2*minHedgeDelay, "answered after %v", time.Since(started))
	})
}

// TestParentOrder guards against a cycle in the tree of a region, against a parent in
// another region or of an earlier version, and against small instances with children
// where there are larger ones.
func TestParentOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b strings.Builder
		table := fakes.NewTable()
		var all []*Directory
		for i := range 14 {
			d := NewDirectory(DirectoryDeps{
				Table: table.Store(), Feed: table.Feed(), Name: fmt.Sprintf("n%02d", i), Log: event.New(logr.Discard()),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), Region: "west", Cores: 0.2,
				Leader: func() netip.AddrPort { return netip.AddrPort{} },
			})
			switch {
			case i%4 == 0:
				d.Cores = 0.8
			case i == 5:
				d.Region = "east"
			case i == 6:
				d.Region, d.Cores = "", 0
			}
			all = append(all, d)
			go d.Run(t.Context())
		}
		time.Sleep(10 * time.Second)
		for i, d := range all {
			fmt.Fprintf(&b, "%s of %q with %v cores: %v\n", d.Name, d.Region, d.Cores, d.Parent())
			if parent := d.Parent(); parent.IsValid() && i%3 == 0 {
				d.Avoid(parent)
				fmt.Fprintf(&b, "  after a failure: %v\n", d.Parent())
			}
		}
		for _, d := range all {
			steps := 0
			for at := d; at.Parent().IsValid(); steps++ {
				assert.Assert(t, steps < len(all), "cycle above %s", d.Name)
				at = all[at.Parent().Addr().As4()[3]]
			}
		}
		golden.Assert(t, b.String(), "parent.golden")
	})
}

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

// way is how calls fare on one way to the service.
type way int

const (
	calm way = iota
	// refused calls are answered at once and have no effect.
	refused
	// silent calls get no answer and have no effect.
	silent
	// lost calls take effect and get no answer.
	lost
	// slow calls take effect and are answered after a while.
	slow
	// unreached calls did not get to the other instance.
	unreached
)

// hop is what the way to another instance takes.
const hop = 2 * time.Millisecond

var (
	names  = [...]string{"calm", "refused", "silent", "lost", "slow", "unreached"}
	first  = netip.MustParseAddrPort("10.0.0.1:1")
	second = netip.MustParseAddrPort("10.0.0.2:1")
)

// pass makes a call on a way.
func pass[T any](ctx context.Context, w way, call func() (T, error)) (T, error) {
	const slowAnswer = 430 * time.Millisecond
	var none T
	switch w {
	case refused:
		return none, store.ErrUnavailable
	case unreached:
		return none, fmt.Errorf("%w: %w", ErrNotReached, store.ErrUnavailable)
	case silent:
		<-ctx.Done()
		return none, fmt.Errorf("%w: %w", store.ErrUncertain, ctx.Err())
	case lost:
		if _, err := call(); err != nil {
			return none, err
		}
		<-ctx.Done()
		return none, fmt.Errorf("%w: %w", store.ErrUncertain, ctx.Err())
	case slow:
		time.Sleep(slowAnswer)
	}
	return call()
}

// site is a table behind a direct way and two other instances.
type site struct {
	table  *fakes.Table
	direct way
	via    map[netip.AddrPort]way
	// asked counts the calls through other instances.
	asked atomic.Int64
	mu    sync.Mutex
	log   strings.Builder
}

func (s *site) detour() *Detour {
	rows, feed := s.table.Store(), s.table.Feed()
	wait := func(ctx context.Context, w way, table string, after int64, most time.Duration) (store.Changes, error) {
		return pass(ctx, w, func() (store.Changes, error) { return feed.Wait(ctx, table, after, most) })
	}
	return New(Deps{
		Table: store.Table{Commit: func(ctx context.Context, t store.Txn) (int64, error) {
			return pass(ctx, s.direct, func() (int64, error) { return rows.Commit(ctx, t) })
		}},
		Feed: store.Feed{Wait: func(ctx context.Context, table string, after int64, most time.Duration) (store.Changes, error) {
			return wait(ctx, s.direct, table, after, most)
		}},
		Via: Calls{
			Commit: func(ctx context.Context, via netip.AddrPort, t store.Txn) (int64, error) {
				s.asked.Add(1)
				time.Sleep(hop)
				return pass(ctx, s.via[via], func() (int64, error) { return rows.Commit(ctx, t) })
			},
			Wait: func(ctx context.Context, via netip.AddrPort, table string, after int64, most time.Duration) (store.Changes, error) {
				s.asked.Add(1)
				time.Sleep(hop)
				return wait(ctx, s.via[via], table, after, most)
			},
		},
		Others: func() []netip.AddrPort { return []netip.AddrPort{first, second} },
		Failed: func(a netip.AddrPort) {
			s.mu.Lock()
			defer s.mu.Unlock()
			fmt.Fprintf(&s.log, " failed %v", a)
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

// TestCommit guards against an instance that gives callers no answer while the
// service serves other instances, against a refusal of a transaction that may
// have taken effect, and against two copies of each call to a slow service.
func TestCommit(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ direct, first, second way }{
		{calm, calm, calm}, {slow, slow, slow}, {slow, calm, calm}, {refused, calm, calm}, {refused, refused, calm},
		{refused, unreached, calm}, {refused, unreached, unreached}, {refused, silent, calm}, {refused, lost, unreached},
		{silent, calm, calm}, {silent, silent, calm}, {silent, refused, refused}, {silent, unreached, unreached},
		{lost, calm, calm}, {lost, refused, unreached},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &site{table: fakes.NewTable(), direct: c.direct, via: map[netip.AddrPort]way{first: c.first, second: c.second}}
			d := s.detour()
			fmt.Fprintf(&b, "direct %s, others %s and %s:", names[c.direct], names[c.first], names[c.second])
			for _, key := range []string{"a/1", "a/2"} {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				begun, before := time.Now(), s.asked.Load()
				_, err := d.Table().Commit(ctx, store.Txn{Checks: []store.Check{{Key: key}}, Puts: []store.Put{{Key: key}}})
				fmt.Fprintf(&b, " %s after %v by %d others;", outcome(err), time.Since(begun), s.asked.Load()-before)
				cancel()
				synctest.Wait()
				_, known := s.table.Store().Get(t.Context(), key)
				assert.Assert(t, outcome(err) != "refused" || known != nil, "refused although it took effect")
			}
			fmt.Fprintf(&b, "%s\n", s.log.String())
			// Slow calls are carried out although their callers have left.
			time.Sleep(time.Second)
		})
	}
	golden.Assert(t, b.String(), "commit.golden")
}

// TestWait guards against a follower that hears nothing while its connection is
// silent.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{table: fakes.NewTable(), direct: silent, via: map[netip.AddrPort]way{first: calm, second: calm}}
		d := s.detour()
		_, err := s.table.Store().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "a/1"}}})
		assert.NilError(t, err)
		var b strings.Builder
		for _, after := range []int64{0, 1} {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			begun := time.Now()
			c, err := d.Feed().Wait(ctx, "a", after, time.Second)
			cancel()
			assert.NilError(t, err)
			fmt.Fprintf(&b, "after %d: %d changes after %v\n", after, len(c.Rows), time.Since(begun))
		}
		golden.Assert(t, b.String(), "wait.golden")
	})
}

// TestBook guards against an instance that does not know the others, and
// against rows of instances that are gone for good.
func TestBook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fakes.NewTable()
		old := fmt.Sprintf(`{"peer":"10.0.0.9:1","at":%q}`, time.Now().Add(-2*forgotten).Format(time.RFC3339))
		_, err := table.Store().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: InstanceTable + "/gone", Value: []byte(old)}}})
		assert.NilError(t, err)
		var books []*Book
		for i, name := range []string{"a", "b", "c"} {
			book := NewBook(BookDeps{
				Table: table.Store(), Feed: table.Feed(), Name: name, Log: event.New(logr.Discard()),
				Peer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1),
				Leader: func() netip.AddrPort { return second },
			})
			books = append(books, book)
			go book.Run(t.Context())
		}
		time.Sleep(time.Minute)
		var b strings.Builder
		for _, book := range books {
			fmt.Fprintf(&b, "%s: %v\n", book.Name, book.Others())
		}
		books[0].Avoid(second)
		fmt.Fprintf(&b, "a without an answer of the leader: %v\n", books[0].Others())
		writes := len(table.Log())
		time.Sleep(5 * time.Minute)
		fmt.Fprintf(&b, "writes in the next 5 minutes: %d\n", len(table.Log())-writes)
		golden.Assert(t, b.String(), "book.golden")
	})
}

// TestAlarm guards against a leader that learns of new jobs only when its call
// for changes has waited for its whole time, although another call has shown that
// the direct way is silent.
func TestAlarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{table: fakes.NewTable(), direct: silent, via: map[netip.AddrPort]way{first: calm, second: calm}}
		d := s.detour()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		begun := time.Now()
		go func() {
			_, err := d.Table().Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a/1"}}})
			assert.Check(t, err == nil, "%v", err)
		}()
		c, err := d.Feed().Wait(ctx, "a", 0, 2*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(c.Rows), 1)
		assert.Assert(t, time.Since(begun) < 2*leastPatience, "told after %v", time.Since(begun))
	})
}

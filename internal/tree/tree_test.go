package tree

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/shard"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const (
	testTable = "op"
	testWait  = 900 * time.Millisecond
)

// node is an instance that follows testTable.
type node struct {
	*Feed
	copy *Copy
	// silent makes calls of its copy hang, and slow makes the answers arrive in small
	// parts for ever.
	silent atomic.Bool
	slow   atomic.Bool
	// directCalls counts the calls at the store.
	directCalls atomic.Int64
	// rows are the applied rows.
	rows *shard.Map[rowKey, string]
}

// rowKey is the key of a row.
type rowKey string

// startNode starts an instance that follows the table at the parent, which may be nil,
// and at the store.
func startNode(ctx context.Context, table *fakes.Table, parent func() *node) *node {
	n := &node{copy: NewCopy(), rows: shard.New[rowKey, string](1)}
	failedAt := time.Time{}
	n.Feed = New(Deps{
		Direct: store.Feed{
			Read: func(ctx context.Context, name string) (store.Changes, error) {
				n.directCalls.Add(1)
				return table.Feed().Read(ctx, name)
			},
			Wait: func(ctx context.Context, name string, after int64, maxWait time.Duration) (store.Changes, error) {
				n.directCalls.Add(1)
				return table.Feed().Wait(ctx, name, after, maxWait)
			},
		},
		WaitCopy: func(ctx context.Context, _ netip.AddrPort, _ string, after int64, maxWait time.Duration) (
			store.Changes, time.Duration, error,
		) {
			changes, age, err := parent().copy.Wait(ctx, after, maxWait)
			for parent().slow.Load() && ctx.Err() == nil {
				store.ReportProgress(ctx)
				time.Sleep(100 * time.Millisecond)
			}
			if parent().silent.Load() || ctx.Err() != nil {
				<-ctx.Done()
				return store.Changes{}, 0, ctx.Err()
			}
			return changes, age, err
		},
		Parent: func() netip.AddrPort {
			if parent == nil || !failedAt.IsZero() && time.Since(failedAt) < 5*time.Second {
				return netip.AddrPort{}
			}
			return netip.MustParseAddrPort("10.0.0.1:1")
		},
		ParentFailed: func(netip.AddrPort) { failedAt = time.Now() },
		Log:          event.New(logr.Discard()),
	})
	follower := store.Follower{
		Feed: n.Feed.Feed(), Table: testTable, MaxWait: testWait,
		Apply: func(c store.Changes, snapshot bool) {
			n.copy.Apply(c, snapshot)
			for _, change := range c.Rows {
				n.rows.Store(rowKey(change.Row.Key), string(change.Row.Value))
			}
		},
		OnResult:  n.copy.RecordResult,
		OnVersion: func(version int64) { n.copy.Advance(version, n.ConfirmedAt()) },
	}
	go follower.Run(ctx)
	return n
}

// config returns the configuration that the instance has applied.
func (n *node) config() string {
	value, _ := n.rows.Load(testTable + "/config")
	return value
}

func put(t *testing.T, table *fakes.Table, key, value string) {
	t.Helper()
	_, err := table.Store().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: testTable + "/" + key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

// TestChangeBelowFailingParent guards against an instance that misses a change because
// its parent is silent or does not reach the store.
func TestChangeBelowFailingParent(t *testing.T) {
	for _, failure := range []string{"none", "silent", "slow", "store refuses the parent"} {
		t.Run(failure, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, parentTable := fakes.NewTable(), fakes.NewTable()
				put(t, table, "config", "1")
				put(t, parentTable, "config", "1")
				root := startNode(t.Context(), parentTable, nil)
				child := startNode(t.Context(), table, func() *node { return root })
				time.Sleep(10 * time.Second)
				calls := child.directCalls.Load()
				switch failure {
				case "silent":
					root.silent.Store(true)
				case "slow":
					put(t, parentTable, "config", "1")
					root.slow.Store(true)
				case "store refuses the parent":
					parentTable.Faults.Set(fakes.Fault{Kind: fakes.Down})
				default:
					put(t, parentTable, "config", "2")
				}
				put(t, table, "config", "2")
				changed := time.Now()
				for child.config() != "2" {
					time.Sleep(10 * time.Millisecond)
					assert.Assert(t, time.Since(changed) < 2*time.Second, "not in force after %v", time.Since(changed))
				}
				if failure == "none" {
					assert.Equal(t, child.directCalls.Load(), calls, "calls at the store beside the parent")
				}
			})
		})
	}
}

// TestCycleConfirmsItself guards against instances that follow each other in a cycle and
// never learn of a change.
func TestCycleConfirmsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fakes.NewTable()
		put(t, table, "config", "1")
		var a, b atomic.Pointer[node]
		a.Store(&node{copy: NewCopy()})
		b.Store(startNode(t.Context(), table, a.Load))
		// While a has no copy, b turns to the store for 5 s. If both had copies from the
		// start, the cycle would end before the change.
		synctest.Wait()
		a.Store(startNode(t.Context(), table, b.Load))
		time.Sleep(8 * time.Second)
		calls := a.Load().directCalls.Load() + b.Load().directCalls.Load()
		put(t, table, "config", "2")
		time.Sleep(time.Second)
		assert.Equal(t, a.Load().directCalls.Load()+b.Load().directCalls.Load(), calls, "there was no cycle")
		time.Sleep(maxConfirmationAge + time.Second)
		assert.Equal(t, a.Load().config(), "2")
		assert.Equal(t, b.Load().config(), "2")
	})
}

// TestRowDeletedInGap guards against a row that stays at the followers of a copy after
// its deletion went unseen there and only a snapshot shows that it is gone.
func TestRowDeletedInGap(t *testing.T) {
	c := NewCopy()
	row := func(key string, version int64) store.Change {
		return store.Change{Row: store.Row{Key: testTable + "/" + key, Value: []byte(key), Version: version}}
	}
	c.Apply(store.Changes{Version: 5, Rows: []store.Change{row("config", 3), row("evacuate", 5)}}, true)
	c.Apply(store.Changes{Version: 9, Rows: []store.Change{row("config", 8)}}, true)
	c.Advance(9, time.Now())
	var b strings.Builder
	for _, after := range []int64{0, 5, 8, 9, 12} {
		changes, _, err := c.Wait(t.Context(), after, 0)
		assert.NilError(t, err)
		fmt.Fprintf(&b, "after %d:", after)
		for _, change := range changes.Rows {
			fmt.Fprintf(&b, " %s at %d, deleted %v;", change.Row.Key, change.Row.Version, change.Deleted)
		}
		fmt.Fprintf(&b, " version %d\n", changes.Version)
	}
	golden.Assert(t, b.String(), "gap.golden")
}

// TestRowSentTwice guards against a large row that each child gets again until its parent
// has decoded it, since the answer with it has an older version.
func TestRowSentTwice(t *testing.T) {
	c := NewCopy()
	c.Advance(5, time.Now())
	c.Apply(store.Changes{Version: 8, Rows: []store.Change{{Row: store.Row{Key: testTable + "/config", Version: 7}}}}, false)
	changes, _, err := c.Wait(t.Context(), 5, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(changes.Rows), 1)
	changes, _, err = c.Wait(t.Context(), changes.Version, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(changes.Rows), 0)
}

// TestCopyOutOfDate guards against a copy that answers that nothing has changed although
// its instance has not heard from the store.
func TestCopyOutOfDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCopy()
		check := func(want error) {
			t.Helper()
			_, _, err := c.Wait(t.Context(), 1, 0)
			assert.Assert(t, errors.Is(err, want), "%v, want %v", err, want)
		}
		check(ErrOutOfDate)
		c.Advance(1, time.Now())
		check(nil)
		time.Sleep(maxAnswerAge)
		check(ErrOutOfDate)
		c.Advance(1, time.Now().Add(-maxConfirmationAge))
		check(ErrOutOfDate)
		c.Advance(1, time.Now())
		c.RecordResult(store.ErrStale)
		check(ErrOutOfDate)
		c.Advance(1, time.Now())
		go func() {
			time.Sleep(100 * time.Millisecond)
			c.RecordResult(store.ErrUnavailable)
		}()
		start := time.Now()
		_, _, err := c.Wait(t.Context(), 1, time.Second)
		assert.ErrorIs(t, err, ErrOutOfDate)
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
	})
}

// TestPack guards against values that differ after they were packed, and against an older
// version of a row in place of the present one.
func TestPack(t *testing.T) {
	p := NewPacker()
	for version, value := range []string{"", "small", strings.Repeat("first ", 1000), strings.Repeat("second ", 1000)} {
		packed, isPacked := p.Pack(store.Row{Key: "op/config", Value: []byte(value), Version: int64(version)})
		assert.Equal(t, isPacked, len(value) >= minPacked)
		if isPacked {
			unpacked, err := Unpack(packed)
			assert.NilError(t, err)
			packed = unpacked
		}
		assert.Equal(t, string(packed), value)
	}
	_, err := Unpack([]byte("not packed"))
	assert.ErrorContains(t, err, "unpack row")
}

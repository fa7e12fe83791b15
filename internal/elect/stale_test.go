package elect

import (
	"context"
	"fmt"
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

// dropHistory compacts the history of the store, and makes its reads return rows
// that are 6 s old, as the platform permits.
func dropHistory(table *fakes.Table) {
	table.CompactUnseen()
	table.Faults.Set(fakes.Fault{Kind: fakes.Stale, Delay: 6 * time.Second})
}

// TestStaleRenewal guards against a leader that can no longer renew its lease
// after the answer of one renewal was lost, because reads return the row as it was
// before that renewal.
func TestStaleRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, terms := fakes.NewTable(), make(chan Term, 8)
		go New(Deps{
			Table: table.Store(), Feed: table.Feed(), Self: Self{Instance: "a", Incarnation: "a-1"}, Log: event.New(logr.Discard()),
			Lead: func(ctx context.Context, term Term) error {
				terms <- term
				<-ctx.Done()
				return ctx.Err()
			},
		}).Run(t.Context())
		term := <-terms
		time.Sleep(10 * time.Second)
		dropHistory(table)
		table.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 1})
		time.Sleep(4 * time.Second)
		assert.Assert(t, time.Since(term.LastRenewal()) <= renewInterval, "last renewed %v ago", time.Since(term.LastRenewal()))
		assert.Equal(t, len(terms), 0)
	})
}

// TestStaleElection guards against a site that stays without a leader while the
// history of the store is compacted and its reads are stale: the candidates would
// wait for reads that show the current lease.
func TestStaleElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, led := fakes.NewTable(), make(chan string, 64)
		first, end := context.WithCancel(t.Context())
		var crashed atomic.Bool
		firstTable := table.Store()
		commit := firstTable.Commit
		firstTable.Commit = func(ctx context.Context, txn store.Txn) (int64, error) {
			if crashed.Load() {
				return 0, store.ErrUnavailable
			}
			return commit(ctx, txn)
		}
		go New(Deps{
			Table: firstTable, Feed: table.Feed(), Self: Self{Instance: "first", Incarnation: "first-1"}, Log: event.New(logr.Discard()),
			Lead: func(ctx context.Context, _ Term) error {
				led <- "first"
				<-ctx.Done()
				return ctx.Err()
			},
		}).Run(first)
		next(t, led)
		for i := range 5 {
			name := fmt.Sprint("n", i)
			go candidate(t.Context(), table, Self{Instance: name, Incarnation: name + "-1"}, led)
		}
		time.Sleep(10 * time.Second)
		dropHistory(table)
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(led), 0, "the leader was replaced")
		crashed.Store(true)
		end()
		begun := time.Now()
		next(t, led)
		assert.Assert(t, time.Since(begun) < leaseTimeout+watchTimeout, "no leader for %v", time.Since(begun))
	})
}

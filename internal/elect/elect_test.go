package elect

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// candidate runs an elector until ctx ends and reports its terms.
func candidate(ctx context.Context, table *fakes.Table, self Self, led chan<- string) {
	New(Deps{
		Table: table.Store(), Feed: table.Feed(), Self: self, Log: event.New(logr.Discard()),
		Lead: func(ctx context.Context, t Term) error {
			led <- fmt.Sprintf("%s epoch %d", self.Node, t.Epoch)
			<-ctx.Done()
			return ctx.Err()
		},
	}).Run(ctx)
}

// next returns the next term, which must begin within the longest wait.
func next(t *testing.T, led <-chan string) string {
	select {
	case term := <-led:
		return term
	case <-time.After(time.Minute):
		assert.Assert(t, false, "no term within a minute")
		return ""
	}
}

// TestLargerLeads guards against a leader on an instance whose processor time
// does not suffice for all workers while larger instances stand by. The names
// give the smaller one the shorter wait otherwise.
func TestLargerLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, led := fakes.NewTable(), make(chan string, 8)
		var b strings.Builder
		larger, end := context.WithCancel(t.Context())
		go candidate(t.Context(), table, Self{Node: "small", Name: "small-f", Cores: 0.192}, led)
		go candidate(larger, table, Self{Node: "large", Name: "large-a", Cores: 0.8}, led)
		fmt.Fprintln(&b, "at the start:", next(t, led))
		begun := time.Now()
		end()
		fmt.Fprintln(&b, "after the larger one has left:", next(t, led))
		assert.Assert(t, time.Since(begun) < maxSmallWait+patience, "the smaller one takes %v", time.Since(begun))
		golden.Assert(t, b.String(), "larger.golden")
	})
}

// TestWritesRefused guards against a leader that is replaced without need: the
// store refuses all writes for a while and serves reads, so that the lease looks
// stale, and when it takes writes again many candidates stand against one leader.
func TestWritesRefused(t *testing.T) {
	const candidates = 20
	synctest.Test(t, func(t *testing.T) {
		table, led := fakes.NewTable(), make(chan string, 64)
		var down atomic.Bool
		commit := table.Store().Commit
		refusing := table.Store()
		refusing.Commit = func(ctx context.Context, txn store.Txn) (int64, error) {
			if down.Load() {
				return 0, store.ErrUnavailable
			}
			return commit(ctx, txn)
		}
		for i := range candidates {
			name := fmt.Sprint("n", i)
			go New(Deps{
				Table: refusing, Feed: table.Feed(), Self: Self{Node: name, Name: name + "-1"}, Log: event.New(logr.Discard()),
				Lead: func(ctx context.Context, term Term) error {
					led <- fmt.Sprintf("%s epoch %d", name, term.Epoch)
					<-ctx.Done()
					return ctx.Err()
				},
			}).Run(t.Context())
		}
		next(t, led)
		time.Sleep(5 * time.Second)
		down.Store(true)
		time.Sleep(4 * time.Second)
		down.Store(false)
		time.Sleep(6 * time.Second)
		assert.Equal(t, len(led), 0, "the leader was replaced")
	})
}

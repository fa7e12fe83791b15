package elect

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
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

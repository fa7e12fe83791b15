package member

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
)

var errNoAnswer = errors.New("no answer")

// TestPeerEvents guards against an instance whose end is not logged, one that is
// logged as lost while its row changes or more than once, and one whose return
// is not logged. The other instance answers exchanges until 10 s and between 40 s
// and 60 s. Its row changes until 20 s and between 40 s and 60 s, and is then
// deleted.
func TestPeerEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		start := time.Now()
		table := fakes.NewTable().Store()
		other := NewService(Deps{Table: table, Self: Info{Instance: "e2"}})
		s := NewService(Deps{
			Table: table, Self: Info{Instance: "e1"}, Local: func() State { return State{Instance: "e1"} },
			Exchange: func(context.Context, Info, State) (State, error) {
				if elapsed := time.Since(start); elapsed > 10*time.Second && elapsed < 40*time.Second || elapsed > time.Minute {
					return State{}, errNoAnswer
				}
				return State{Instance: "e2"}, nil
			},
			Log: event.New(funcr.New(func(_, args string) {
				fmt.Fprintf(&out, "%v %s\n", time.Since(start).Round(10*time.Second), strings.Split(args, ` "silent"`)[0])
			}, funcr.Options{})),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		for time.Since(start) < 90*time.Second {
			if elapsed := time.Since(start); elapsed < 20*time.Second || elapsed >= 40*time.Second && elapsed < time.Minute {
				assert.NilError(t, other.writeRow(ctx))
			} else if elapsed == time.Minute {
				assert.NilError(t, other.Leave(ctx))
			}
			time.Sleep(4 * time.Second)
		}
		cancel()
		synctest.Wait()
		golden.Assert(t, out.String(), "events.golden")
	})
}

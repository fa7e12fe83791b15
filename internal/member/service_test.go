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

var errSilent = errors.New("no answer")

// TestPeerEvents guards against an instance whose end leaves no trace, one that
// is reported lost while its row changes or more than once, and one whose
// return is not reported. The row of the other instance changes until 20 s, it
// answers until 10 s and from 40 s on, and its row is deleted at 60 s.
func TestPeerEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		begin := time.Now()
		table := fakes.NewTable().Store()
		other := NewService(Deps{Table: table, Self: Info{Instance: "e2"}})
		s := NewService(Deps{
			Table: table, Self: Info{Instance: "e1"}, Local: func() State { return State{Instance: "e1"} },
			Exchange: func(context.Context, Info, State) (State, error) {
				if passed := time.Since(begin); passed > 10*time.Second && passed < 40*time.Second || passed > time.Minute {
					return State{}, errSilent
				}
				return State{Instance: "e2"}, nil
			},
			Log: event.New(funcr.New(func(_, args string) {
				fmt.Fprintf(&out, "%v %s\n", time.Since(begin).Round(10*time.Second), strings.Split(args, ` "silent"`)[0])
			}, funcr.Options{})),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		for time.Since(begin) < 90*time.Second {
			if passed := time.Since(begin); passed < 20*time.Second || passed >= 40*time.Second && passed < time.Minute {
				assert.NilError(t, other.write(ctx))
			} else if passed == time.Minute {
				assert.NilError(t, other.Leave(ctx))
			}
			time.Sleep(4 * time.Second)
		}
		cancel()
		synctest.Wait()
		golden.Assert(t, out.String(), "events.golden")
	})
}

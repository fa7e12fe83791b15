package relay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/claim"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/store"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// drill is a situation in which one guard keeps one promise.
type drill struct {
	promise string
	off     func(c *Calls, s *Settings)
	run     func(w *world)
}

func drills() []drill {
	return []drill{
		{"P4", func(c *Calls, _ *Settings) {
			c.Guards.Matches = func(Attempt, Reply) bool { return true }
		}, func(w *world) {
			w.submit("entry-1", request("any-1"))
			w.scriptAll(previous, 1)
			w.submit("entry-1", request("any-2"))
		}},
		{"P5", func(c *Calls, _ *Settings) {
			c.Guards.NotRun = func(error) bool { return true }
		}, func(w *world) {
			w.scriptAll(diesAfter, 4)
			w.submit("entry-1", request("any"))
		}},
		{"P6", func(c *Calls, _ *Settings) {
			c.Take = func(context.Context, ident.Workspace, ident.Request, string) (claim.Result, error) {
				return claim.Result{Mine: true}, nil
			}
		}, func(w *world) {
			w.scriptAll(diesAfter, 1)
			w.submit("entry-1", request("once"))
			w.heal()
			w.submit("entry-2", request("once"))
		}},
		{"P7", func(c *Calls, _ *Settings) {
			c.Guards.MarkLeaving = func(ident.Endpoint, time.Time) {}
		}, func(w *world) {
			w.backends[0].script = []behaviour{leaves}
			for i := range 40 {
				w.submit("entry-1", request(fmt.Sprint("any-", i)))
				advance(time.Second)
				w.relays["entry-1"].UpdateEndpoints(w.list(), time.Now()) // the list lags
			}
		}},
		{"P8", func(c *Calls, _ *Settings) {
			c.Guards.Wait = func(context.Context) error { return nil }
		}, func(w *world) {
			go w.submit("entry-1", request("any"))
			synctest.Wait()
			w.stop("entry-1")
		}},
	}
}

// stop ends an instance as planned. What is in flight when it ends is cut off.
func (w *world) stop(i ident.Instance) {
	err := w.relays[i].Drain(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := w.open[i]; err == nil && n > 0 {
		w.breach = append(w.breach, fmt.Sprintf("P8: the stop cut off %d callers", n))
	}
	w.dead[i] = true
}

// TestGuards guards against a check that detects nothing: each promise holds
// with its guard, and without it the log of the fakes shows exactly its breach.
func TestGuards(t *testing.T) {
	var out strings.Builder
	for _, d := range drills() {
		for _, guard := range []string{"on", "off"} {
			synctest.Test(t, func(t *testing.T) {
				change := d.off
				if guard == "on" {
					change = nil
				}
				w := newWorld(2, 2, change)
				d.run(w)
				advance(time.Minute)
				for _, b := range w.breach {
					assert.Assert(t, strings.HasPrefix(b, d.promise), b)
				}
				assert.Equal(t, len(w.breach) > 0, guard == "off", "%s guard %s: %v", d.promise, guard, w.breach)
				fmt.Fprintf(&out, "%s guard %s: first breach of %d: %s\n", d.promise, guard, len(w.breach), append(w.breach, "none")[0])
			})
		}
	}
	golden.Assert(t, out.String(), "guards.golden")
}

// TestDuplicates guards against a second run for submissions of one identifier
// that arrive together, for both kinds of requests, and against an answer for
// an identifier that is used for another request.
func TestDuplicates(t *testing.T) {
	for _, id := range []string{"any", "once"} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(1, 2, nil)
			got := make(chan Answer, 10)
			for range 10 {
				go func() { got <- w.submit("entry-1", request(id)) }()
			}
			synctest.Wait()
			other := request(id)
			other.Body = []byte("other")
			assert.Equal(t, w.submit("entry-1", other).Reason, ReasonIDReused)
			for range 10 {
				assert.Equal(t, (<-got).Outcome, Done)
			}
			assert.Equal(t, w.runs[keyOf("foundry-a", ident.Request(id))], 1)
			w.assertNoBreach(t)
		})
	}
}

// TestHandover guards against a claim that is given up to two instances, or
// both given up and used by the claimant, and against callers who get no answer
// because the claim was handed over.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4, 2, nil)
		w.scriptAll(refuses, 4)
		for _, i := range []ident.Instance{"entry-1", "entry-2", "entry-1", "entry-3", "entry-2"} {
			assert.Equal(t, w.submit(i, request("once")).Outcome, NotRun)
			w.scriptAll(refuses, 4)
		}
		w.heal()
		got := make(chan Answer, 4)
		for i := range w.relays {
			go func() { got <- w.submit(i, request("once")) }()
		}
		for range 4 {
			assert.Equal(t, (<-got).Outcome, Done)
		}
		assert.Equal(t, w.runs[keyOf("foundry-a", "once")], 1)
		w.assertNoBreach(t)
	})
}

// TestClaimLife guards against a claim that is used after its row may have been
// deleted, when the caller tries again for a long time at several instances.
func TestClaimLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2, 2, nil)
		for i := range 4 {
			w.scriptAll(refuses, 4)
			instance := ident.Instance(fmt.Sprint("entry-", 1+i%2))
			assert.Equal(t, w.submit(instance, request("once")).Outcome, NotRun)
			advance(9 * time.Minute)
		}
		w.heal()
		for i := range w.relays {
			assert.Equal(t, w.submit(i, request("once")).Outcome, Unknown)
		}
		assert.Equal(t, w.runs[keyOf("foundry-a", "once")], 0)
	})
}

// TestCallerGone guards against work for callers that have gone, and against
// an answer of a non-idempotent request that is lost with its first caller.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, nil)
		w.backends[0].usual = func(ctx context.Context, w *world, b *backend, a Attempt) (Reply, error) {
			advance(time.Second)
			if ctx.Err() != nil {
				return Reply{}, ctx.Err()
			}
			return w.run(b, a, runTime), nil
		}
		for _, id := range []string{"any", "once"} {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			ans := w.relays["entry-1"].Do(ctx, request(id))
			cancel()
			assert.Equal(t, ans.Reason, ReasonCallerGone)
		}
		assert.Equal(t, w.submit("entry-1", request("once")).Outcome, Done)
		assert.Equal(t, w.runs[keyOf("foundry-a", "any")], 0)
		assert.Equal(t, w.runs[keyOf("foundry-a", "once")], 1)
	})
}

// TestDrain guards against a stop that cuts off a request or refuses a caller
// who asks for one in flight, and against new requests during it (P8).
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, nil)
		got := make(chan Answer, 2)
		go func() { got <- w.submit("entry-1", request("once")) }()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- w.relays["entry-1"].Drain(t.Context()) }()
		synctest.Wait()
		assert.Equal(t, w.relays["entry-1"].InFlight(), 1)
		assert.Equal(t, w.submit("entry-1", request("new")).Reason, ReasonStopping)
		go func() { got <- w.submit("entry-1", request("once")) }()
		for range 2 {
			assert.Equal(t, (<-got).Outcome, Done)
		}
		assert.NilError(t, <-drained)
		short, cancel := context.WithCancel(t.Context())
		cancel()
		assert.NilError(t, w.relays["entry-1"].Drain(short), "nothing is in flight")
	})
}

// TestMemoryBound guards against remembered answers without bound.
func TestMemoryBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, func(_ *Calls, s *Settings) { s.MemoryCount = 5 })
		for i := range 20 {
			assert.Equal(t, w.submit("entry-1", request(fmt.Sprint("once-", i))).Outcome, Done)
		}
		assert.Equal(t, w.relays["entry-1"].flights.Len(), 5)
		assert.Equal(t, w.submit("entry-1", request("once-0")).Reason, ReasonForgotten)
		w.assertNoBreach(t)
	})
}

// TestResubmitted guards against a refusal that says a request was not run
// although an earlier submission of it ran at another instance: its caller
// asks again while the store cannot tell.
func TestResubmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2, 2, nil)
		assert.Equal(t, w.submit("entry-1", request("once")).Outcome, Done)
		w.commitFault = func(ident.Instance, func() (int64, error)) (int64, error) { return 0, store.ErrUnavailable }
		first := w.submit("entry-2", request("once-more"))
		assert.Equal(t, first.Outcome, NotRun)
		again := request("once")
		again.Resubmitted = true
		assert.Equal(t, w.submit("entry-2", again).Outcome, Unknown)
		w.assertNoBreach(t)
	})
}

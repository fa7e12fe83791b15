package relay

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/store"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func (w *world) scriptAll(b behaviour, n int) {
	for _, e := range w.backends {
		for range n {
			e.script = append(e.script, b)
		}
	}
}

func (w *world) failCommits(err error, effect bool, d time.Duration) {
	w.commitFault = func(_ ident.Instance, apply func() (int64, error)) (int64, error) {
		advance(d)
		if effect {
			v, applied := apply()
			if err == nil {
				return v, applied
			}
		}
		return 0, fmt.Errorf("fake: %w", err)
	}
}

func show(a Answer) string {
	if a.Outcome == Done {
		return "done"
	}
	return fmt.Sprintf("%s (%s)", a.Outcome, a.Reason)
}

func (w *world) assertNoBreach(t *testing.T) {
	t.Helper()
	assert.Equal(t, strings.Join(w.breach, "\n"), "")
}

// TestFaultMatrix guards against a broken promise under each fault of endpoints
// and store. The caller submits through one instance and, when the fault is
// over, with the same identifier through another and through the first again.
func TestFaultMatrix(t *testing.T) {
	faults := []struct {
		name string
		set  func(w *world)
	}{
		{"no fault", func(*world) {}},
		{"one endpoint refuses", func(w *world) { w.backends[0].script = []behaviour{refuses, refuses} }},
		{"all refuse", func(w *world) { w.scriptAll(refuses, 4) }},
		{"one endpoint unreachable", func(w *world) { w.backends[0].script = []behaviour{unreachable} }},
		{"all unreachable", func(w *world) { w.scriptAll(unreachable, 4) }},
		{"all die before the run", func(w *world) { w.scriptAll(diesBefore, 4) }},
		{"one dies after the run", func(w *world) { w.backends[0].script = []behaviour{diesAfter} }},
		{"all die after the run", func(w *world) { w.scriptAll(diesAfter, 4) }},
		{"all answer late", func(w *world) { w.scriptAll(late, 1) }},
		{"answers cut off", func(w *world) { w.scriptAll(truncated, 4) }},
		{"answers of other requests", func(w *world) { w.scriptAll(previous, 4) }},
		{"store down", func(w *world) { w.failCommits(store.ErrUnavailable, false, 0) }},
		{"store slow", func(w *world) { w.failCommits(nil, true, 2*time.Second) }},
		{"store answer lost after effect", func(w *world) { w.failCommits(store.ErrUncertain, true, 0) }},
		{"store answers lost without effect", func(w *world) { w.failCommits(store.ErrUncertain, false, 0) }},
		{"store answer lost after effect, reads fail", func(w *world) {
			w.failCommits(store.ErrUncertain, true, 0)
			w.readFault = func() error { return store.ErrUnavailable }
		}},
		{"store slower than the deadline", func(w *world) { w.failCommits(nil, true, 12*time.Second) }},
	}
	var out strings.Builder
	for _, id := range []string{"any", "once"} {
		fmt.Fprintf(&out, "# %s\n", map[string]string{"any": "idempotent", "once": "non-idempotent"}[id])
		for _, f := range faults {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(2, 2, nil)
				f.set(w)
				first := w.submit("entry-1", request(id))
				w.heal()
				advance(20 * time.Second)
				second := w.submit("entry-2", request(id))
				third := w.submit("entry-1", request(id))
				fmt.Fprintf(&out, "%s: %s; elsewhere %s; again %s; ran %d times\n", f.name,
					show(first), show(second), show(third), w.runs[keyOf("foundry-a", ident.Request(id))])
				w.assertNoBreach(t)
				advance(time.Minute)
			})
		}
	}
	golden.Assert(t, out.String(), "faults.golden")
}

// TestInstanceDeath guards against a second run or a false refusal when the
// instance dies at any step and the caller retries through another.
func TestInstanceDeath(t *testing.T) {
	var out strings.Builder
	for _, id := range []string{"any", "once"} {
		for _, step := range []string{"before the commit", "after the commit", "before the send", "after the run"} {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(2, 2, nil)
				w.step = func(i ident.Instance, name string) {
					if i == "entry-1" && name == step {
						w.kill(i)
					}
				}
				first := w.submit("entry-1", request(id))
				second := w.submit("entry-2", request(id))
				fmt.Fprintf(&out, "%s, death %s: %s; elsewhere %s; ran %d times\n", id, step,
					show(first), show(second), w.runs[keyOf("foundry-a", ident.Request(id))])
				w.assertNoBreach(t)
			})
		}
	}
	golden.Assert(t, out.String(), "death.golden")
}

// TestSlowStore guards against non-idempotent requests that wait for the store
// and keep idempotent ones from the endpoints.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, nil)
		w.failCommits(nil, true, 8*time.Second)
		for i := range 50 {
			go w.submit("entry-1", request(fmt.Sprint("once-", i)))
		}
		synctest.Wait()
		start := time.Now()
		assert.Equal(t, w.submit("entry-1", request("any")).Outcome, Done)
		assert.Equal(t, time.Since(start), runTime)
		advance(time.Minute)
		w.assertNoBreach(t)
	})
}

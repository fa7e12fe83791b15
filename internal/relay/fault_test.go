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

// scriptAllEndpoints appends n times the behaviour b to the script of each
// endpoint.
func (h *harness) scriptAllEndpoints(b behaviour, n int) {
	for _, e := range h.endpoints {
		for range n {
			e.script = append(e.script, b)
		}
	}
}

// failCommits lets each commit take d and then end with err. If applied is true,
// the commit takes effect nevertheless; with a nil err it then succeeds.
func (h *harness) failCommits(err error, applied bool, d time.Duration) {
	h.commitFault = func(_ ident.Instance, apply func() (int64, error)) (int64, error) {
		advance(d)
		if applied {
			v, applyErr := apply()
			if err == nil {
				return v, applyErr
			}
		}
		return 0, fmt.Errorf("fake: %w", err)
	}
}

func formatAnswer(a Answer) string {
	if a.Outcome == Done {
		return "done"
	}
	return fmt.Sprintf("%s (%s)", a.Outcome, a.Reason)
}

func (h *harness) assertNoBreach(t *testing.T) {
	t.Helper()
	assert.Equal(t, strings.Join(h.breaches, "\n"), "")
}

// TestFaultMatrix guards against a broken promise under each fault of the
// endpoints and the store. The caller submits a request through one instance
// and, when the fault has ended, submits the same identifier through another
// instance ("elsewhere") and through the first one ("again").
func TestFaultMatrix(t *testing.T) {
	faults := []struct {
		name string
		set  func(h *harness)
	}{
		{"no fault", func(*harness) {}},
		{"one endpoint refuses", func(h *harness) { h.endpoints[0].script = []behaviour{refuses, refuses} }},
		{"all refuse", func(h *harness) { h.scriptAllEndpoints(refuses, 4) }},
		{"one endpoint unreachable", func(h *harness) { h.endpoints[0].script = []behaviour{unreachable} }},
		{"all unreachable", func(h *harness) { h.scriptAllEndpoints(unreachable, 4) }},
		{"all die before the run", func(h *harness) { h.scriptAllEndpoints(diesBeforeRun, 4) }},
		{"one dies after the run", func(h *harness) { h.endpoints[0].script = []behaviour{diesAfterRun} }},
		{"all die after the run", func(h *harness) { h.scriptAllEndpoints(diesAfterRun, 4) }},
		{"all answer late", func(h *harness) { h.scriptAllEndpoints(answersLate, 1) }},
		{"answers cut off", func(h *harness) { h.scriptAllEndpoints(truncated, 4) }},
		{"answers of other requests", func(h *harness) { h.scriptAllEndpoints(answersPrevious, 4) }},
		{"store down", func(h *harness) { h.failCommits(store.ErrUnavailable, false, 0) }},
		{"store slow", func(h *harness) { h.failCommits(nil, true, 2*time.Second) }},
		{"store answer lost after effect", func(h *harness) { h.failCommits(store.ErrUncertain, true, 0) }},
		{"store answers lost without effect", func(h *harness) { h.failCommits(store.ErrUncertain, false, 0) }},
		{"store answer lost after effect, reads fail", func(h *harness) {
			h.failCommits(store.ErrUncertain, true, 0)
			h.readFault = func() error { return store.ErrUnavailable }
		}},
		{"store slower than the deadline", func(h *harness) { h.failCommits(nil, true, 12*time.Second) }},
	}
	var out strings.Builder
	for _, id := range []string{"any", "once"} {
		fmt.Fprintf(&out, "# %s\n", map[string]string{"any": "idempotent", "once": "non-idempotent"}[id])
		for _, f := range faults {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(2, 2, nil)
				f.set(h)
				first := h.submit("entry-1", request(id))
				h.clearFaults()
				advance(20 * time.Second)
				second := h.submit("entry-2", request(id))
				third := h.submit("entry-1", request(id))
				fmt.Fprintf(&out, "%s: %s; elsewhere %s; again %s; ran %d times\n", f.name,
					formatAnswer(first), formatAnswer(second), formatAnswer(third), h.runs[keyOf("foundry-a", ident.Request(id))])
				h.assertNoBreach(t)
				advance(time.Minute)
			})
		}
	}
	golden.Assert(t, out.String(), "faults.golden")
}

// TestInstanceDeath guards against a second run of a non-idempotent request, and
// against NotRun for a request that ran, when the instance dies at any step and
// the caller retries through another instance.
func TestInstanceDeath(t *testing.T) {
	var out strings.Builder
	for _, id := range []string{"any", "once"} {
		for _, step := range []string{"before the commit", "after the commit", "before the send", "after the run"} {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(2, 2, nil)
				h.onStep = func(i ident.Instance, name string) {
					if i == "entry-1" && name == step {
						h.kill(i)
					}
				}
				first := h.submit("entry-1", request(id))
				second := h.submit("entry-2", request(id))
				fmt.Fprintf(&out, "%s, death %s: %s; elsewhere %s; ran %d times\n", id, step,
					formatAnswer(first), formatAnswer(second), h.runs[keyOf("foundry-a", ident.Request(id))])
				h.assertNoBreach(t)
			})
		}
	}
	golden.Assert(t, out.String(), "death.golden")
}

// TestSlowStore guards against non-idempotent requests that occupy queue slots
// while they wait for a slow store, and so delay idempotent requests.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1, 1, nil)
		h.failCommits(nil, true, 8*time.Second)
		for i := range 50 {
			go h.submit("entry-1", request(fmt.Sprint("once-", i)))
		}
		synctest.Wait()
		start := time.Now()
		assert.Equal(t, h.submit("entry-1", request("any")).Outcome, Done)
		assert.Equal(t, time.Since(start), runTime)
		advance(time.Minute)
		h.assertNoBreach(t)
	})
}

package trial

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"gotest.tools/v3/assert"
)

const (
	// maxStoreDelay bounds the time from the end of an outage that lasts longer
	// than one call until an end is stored: the longer pause of the leader's writer
	// between two attempts (0.3 s), the time for which changes are batched (25 ms)
	// and the polling interval of the test. The stand-in itself answers at once.
	maxStoreDelay = 300*time.Millisecond + 25*time.Millisecond + outagePoll
	outagePoll    = 5 * time.Millisecond
)

// outages are the kinds of outage of the store, as faults of the calls to it. The
// zero fault stands for a store that refuses calls.
var outages = []struct {
	name  string
	fault fault
}{
	{name: "refuses"},
	{name: "silent", fault: fault{effectDelay: time.Hour}},
	{name: "resets", fault: fault{reset: true}},
}

// startOutage makes the store unavailable in the given way, and returns a function
// that ends the outage.
func (h *harness) startOutage(f fault) (restore func()) {
	if f.effectDelay == 0 && !f.reset {
		h.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
		return h.table.Faults.Clear
	}
	h.setHook(func(_ *link, s step) fault {
		if s == stepStart || s == stepStop || s == stepContact || s == stepHold {
			return fault{}
		}
		return f
	})
	return func() { h.setHook(nil) }
}

// TestCompletedOnceStored guards against a job that is shown as completed before
// its end is stored, or later than maxStoreDelay after an outage of the store, or
// that is shown as completed and then as something else.
func TestCompletedOnceStored(t *testing.T) {
	for _, o := range outages {
		for _, detours := range []bool{false, true} {
			var delays []time.Duration
			for duration := 2 * time.Second; duration < 3100*time.Millisecond; duration += 130 * time.Millisecond {
				delays = append(delays, completionDelay(t, o.fault, duration, detours))
			}
			slices.Sort(delays)
			t.Logf("%s, detours %v: median %v, longest %v", o.name, detours, delays[len(delays)/2], delays[len(delays)-1])
			assert.Assert(t, delays[len(delays)-1] <= maxStoreDelay, "%s: %v", o.name, delays)
		}
	}
}

// completionDelay returns the time from the end of an outage until a job whose
// tasks ended during the outage is shown as completed.
func completionDelay(t *testing.T, f fault, duration time.Duration, detours bool) (delay time.Duration) {
	runHarnessWith(t, detours, func(h *harness) {
		time.Sleep(2 * time.Second)
		go h.submit(0, "urgent", "kn", urgentJob, graph.Step{Count: 2, Demand: gpu(4), Gang: true, Estimate: time.Second})
		time.Sleep(500 * time.Millisecond)
		leader := h.leader()
		restore := h.startOutage(f)
		phase := func() graph.Phase {
			s, ok := leader.current().scheduler.Status(urgentJob)
			assert.Assert(t, ok)
			return s.Phase
		}
		for begun := time.Now(); time.Since(begun) < duration; time.Sleep(outagePoll) {
			assert.Equal(t, phase(), graph.Running)
		}
		restore()
		restored := time.Now()
		for phase() == graph.Running && time.Since(restored) < time.Minute {
			time.Sleep(outagePoll)
		}
		delay = time.Since(restored)
		assert.Equal(t, phase(), graph.Completed)
		time.Sleep(10 * time.Second)
		assert.Equal(t, h.phase("urgent", "kn", urgentJob), "completed")
		assert.Equal(t, len(h.workers.Runs()), 2, fmt.Sprint(h.workers.Runs()))
		assert.DeepEqual(t, h.check(), []string(nil))
	})
	return delay
}

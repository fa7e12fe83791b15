package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
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

// TestExpiredLeaseAfterOutage guards against starts that workers refuse as late, one
// after the other, when the store is back: the leader's lease is not renewed yet, so that
// the leases of the starts have ended before they are sent.
func TestExpiredLeaseAfterOutage(t *testing.T) {
	for _, o := range outages {
		for outage := 5 * time.Second; outage <= 8*time.Second; outage += 250 * time.Millisecond {
			runHarness(t, func(h *harness) {
				time.Sleep(2 * time.Second)
				h.submit(0, "normal", "ks", batchJob, graph.Step{Count: 16, Demand: gpu(1), Estimate: 2 * time.Second},
					graph.Step{Count: 16, Demand: gpu(1), After: []int{0}, Estimate: 2 * time.Second})
				time.Sleep(200 * time.Millisecond)
				restore := h.startOutage(o.fault)
				time.Sleep(outage)
				restore()
				time.Sleep(12 * time.Second)
				refused := 0
				h.mu.Lock()
				for _, line := range h.logLines {
					if strings.Contains(line, `"msg"="taskRefused"`) {
						refused++
					}
				}
				h.mu.Unlock()
				assert.Equal(t, refused, 0, "starts refused after an outage of %v that %s", outage, o.name)
				assert.Equal(t, h.phase("normal", "ks", batchJob), "completed")
				assert.DeepEqual(t, h.check(), []string(nil))
			})
		}
	}
}

// TestStartGivenUpWhileSent guards against a task that runs on two workers: its start
// to a worker that was cut off during an outage of the store was given up, since the
// leases had expired, and was sent again under a new lease while the task was started
// elsewhere.
func TestStartGivenUpWhileSent(t *testing.T) {
	for _, o := range outages {
		for seed := range uint64(25) {
			t.Run(fmt.Sprintf("%s/%d", o.name, seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				runHarness(t, func(h *harness) { h.cutOffDuringOutage(random, o.fault) })
			})
		}
	}
}

// cutOffDuringOutage cuts all workers off, each from before the end of an outage of the
// store until after it, while tasks wait to be started.
func (h *harness) cutOffDuringOutage(random *rand.Rand, f fault) {
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	time.Sleep(2 * time.Second)
	ids := []graph.ID{batchJob, gangJob, urgentJob}
	steps := []graph.Step{
		{Count: 8, Demand: gpu(1), Estimate: 2 * time.Second}, {Count: 8, Demand: gpu(1), After: []int{0}, Estimate: 2 * time.Second},
	}
	h.submit(0, "normal", "ks", ids[0], steps...)
	h.submit(1, "normal", "ks", ids[1], steps...)
	time.Sleep(200 * time.Millisecond)
	l := h.leader().current().link
	restore := h.startOutage(f)
	end := time.Now().Add(between(5*time.Second, 8*time.Second))
	for _, id := range []pool.WorkerID{"w1", "w2", "w3", "w4"} {
		before, after := between(200*time.Millisecond, 2400*time.Millisecond), between(200*time.Millisecond, 1600*time.Millisecond)
		time.AfterFunc(time.Until(end)-before, func() { l.cutWorker(id, before+after) })
	}
	time.Sleep(time.Until(end))
	restore()
	h.submit(2, "urgent", "kn", ids[2], graph.Step{Count: 4, Demand: gpu(1), Estimate: time.Second})
	time.Sleep(25 * time.Second)
	for i, queue := range []string{"normal", "normal", "urgent"} {
		key := map[string]string{"normal": "ks", "urgent": "kn"}[queue]
		assert.Equal(h.t, h.phase(queue, key, ids[i]), "completed", "job %s", ids[i])
	}
	assert.DeepEqual(h.t, h.check(), []string(nil))
}

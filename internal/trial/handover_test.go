package trial

import (
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"gotest.tools/v3/assert"
)

// setUpUnstoredEnd cuts the leader off from the store for the given time, lets a
// task end, and crashes its worker when only the leader knows of the end. It
// drops the answers of the next lostAcquisitions commits that acquire the lease,
// so that nobody leads in the epochs that these begin.
func (h *harness) setUpUnstoredEnd(cut time.Duration, lostAcquisitions int) {
	time.Sleep(2 * time.Second)
	go h.submit(0, "normal", "kn", batchJob, graph.Step{Count: 1, Demand: gpu(1), Estimate: time.Second})
	time.Sleep(950 * time.Millisecond)
	l := h.leader().current().link
	l.cut(&l.storeCutUntil, cut)
	h.setHook(func(_ *link, s step) fault {
		if s != stepTake || lostAcquisitions == 0 {
			return fault{}
		}
		lostAcquisitions--
		return fault{answerLost: true}
	})
	time.Sleep(400 * time.Millisecond)
	h.workers.Crash(h.workers.Runs()[0].Worker)
}

// TestUnstoredEndBeforeLostAcquisitions guards against a task that runs again
// although a former leader knows of its end. An instance acquires the lease but
// does not get the answer, and so never leads. The next leader must ask the last
// instance that led for ends that are not stored, not the last holder of the
// lease.
func TestUnstoredEndBeforeLostAcquisitions(t *testing.T) {
	for lostAcquisitions := 1; lostAcquisitions <= 2; lostAcquisitions++ {
		runHarness(t, func(h *harness) {
			h.setUpUnstoredEnd(12*time.Second, lostAcquisitions)
			time.Sleep(20 * time.Second)
			assert.Equal(t, len(h.workers.Runs()), 1, "%d lost acquisitions: %s", lostAcquisitions, h.eventLines("handOver", "handedOver"))
			assert.Equal(t, h.phase("normal", "kn", batchJob), "completed")
		})
	}
}

// TestUnstoredEndOfSameLeader guards against an instance that leads again and
// has dropped an end of its earlier term that it could not store. Nobody leads
// in between: the answer to the next acquisition of the lease is lost, and the
// other instances are then cut off from the store.
func TestUnstoredEndOfSameLeader(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.setUpUnstoredEnd(5*time.Second, 1)
		first := h.leader()
		for _, inst := range h.instances {
			if inst == first {
				continue
			}
			l := inst.current().link
			time.AfterFunc(2*time.Second, func() { l.cut(&l.storeCutUntil, 20*time.Second) })
		}
		time.Sleep(18 * time.Second)
		assert.Equal(t, h.leader(), first)
		assert.Equal(t, len(h.workers.Runs()), 1, h.eventLines("handOver", "handedOver", "termBegun"))
	})
}

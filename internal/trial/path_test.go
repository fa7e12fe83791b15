package trial

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// runHarness runs f with a new harness on a virtual clock. Each instance reaches
// the store only over its own connection.
func runHarness(t *testing.T, f func(*harness)) { runHarnessWith(t, false, f) }

// runHarnessWith runs f with a new harness on a virtual clock. With detours,
// instances also reach the store through other instances.
func runHarnessWith(t *testing.T, detours bool, f func(*harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.WithValue(t.Context(), startTimeKey{}, time.Now()))
		h := newHarness(ctx, t, detours)
		f(h)
		if os.Getenv("TRIAL_LOG") != "" {
			h.mu.Lock()
			t.Log("\n" + strings.Join(h.logLines, "\n"))
			h.mu.Unlock()
		}
		cancel()
		for _, inst := range h.instances {
			inst.current().done.Wait()
		}
	})
}

// The jobs of the workload. The tasks of jobs whose identifier starts with f fail.
const (
	batchJob     graph.ID = "aaaaaaaaaaaaaaaa"
	gangJob      graph.ID = "bbbbbbbbbbbbbbbb"
	urgentJob    graph.ID = "cccccccccccccccc"
	cancelledJob graph.ID = "dddddddddddddddd"
	failingJob   graph.ID = "ffffffffffffffff"
	lateJob      graph.ID = "eeeeeeeeeeeeeeee"
)

func gpu(n int64) graph.Demand { return graph.Demand{Accelerators: n} }

// submitWorkload submits jobs of all kinds over four seconds.
func (h *harness) submitWorkload() {
	go h.submit(0, "normal", "ks", batchJob, graph.Step{Count: 6, Demand: gpu(2), Estimate: 2 * time.Second},
		graph.Step{Count: 3, Demand: gpu(1), After: []int{0}, Estimate: time.Second})
	go h.submit(1, "normal", "ks", gangJob, graph.Step{Count: 4, Demand: gpu(4), Gang: true, SameRack: true, Estimate: 2 * time.Second})
	time.Sleep(700 * time.Millisecond)
	go h.submit(2, "urgent", "kn", urgentJob, graph.Step{Count: 2, Demand: gpu(4), Gang: true, SameRack: true, Estimate: 2 * time.Second})
	go h.submit(0, "normal", "kn", cancelledJob, graph.Step{Count: 8, Demand: gpu(1), Estimate: 5 * time.Second})
	go h.submit(1, "normal", "kn", failingJob, graph.Step{Count: 1, Demand: gpu(1), Estimate: time.Second})
	time.Sleep(1300 * time.Millisecond)
	go h.cancel(0, "normal", "kn", cancelledJob)
	time.Sleep(2 * time.Second)
	go h.submit(2, "urgent", "kn", lateJob, graph.Step{Count: 2, Demand: gpu(2), Gang: true, Estimate: time.Second})
}

// formatPhases formats the phases of the jobs of the workload.
func (h *harness) formatPhases() string {
	var b strings.Builder
	for _, j := range []struct {
		queue, key string
		id         graph.ID
	}{
		{"normal", "ks", batchJob}, {"normal", "ks", gangJob}, {"urgent", "kn", urgentJob}, {"normal", "kn", cancelledJob},
		{"normal", "kn", failingJob}, {"urgent", "kn", lateJob},
	} {
		fmt.Fprintf(&b, "%s %s\n", j.id, h.phase(j.queue, j.key, j.id))
	}
	return b.String()
}

// TestPath guards against errors anywhere between the acceptance of a job and its
// end when there are no faults.
func TestPath(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		h.submitWorkload()
		time.Sleep(16 * time.Second)
		golden.Assert(t, h.formatPhases()+h.formatRuns(), "path.golden")
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestLeaderKilled guards against lost or duplicate runs when the leader is killed
// while gangs run.
func TestLeaderKilled(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		h.submitWorkload()
		h.leader().kill()
		time.Sleep(20 * time.Second)
		golden.Assert(t, h.formatPhases(), "phases.golden")
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestLeaderCutOff guards against two leaders that both start tasks. The former
// leader is cut off from the store and still reaches the workers.
func TestLeaderCutOff(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		l := h.leader().current().link
		l.mu.Lock()
		l.storeCutUntil = time.Now().Add(8 * time.Second)
		l.mu.Unlock()
		h.submitWorkload()
		time.Sleep(24 * time.Second)
		golden.Assert(t, h.formatPhases(), "phases.golden")
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestSilentWorkerLapses guards against a crashed worker whose leases are extended
// by each failed call to it, so that its tasks never start on another worker.
func TestSilentWorkerLapses(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		h.submitWorkload()
		h.workers.Crash("w1")
		time.Sleep(24 * time.Second)
		golden.Assert(t, h.formatPhases(), "phases.golden")
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestOneTermAtATime guards against candidates that take a lease which another
// instance has just taken, because they were woken for the former lease.
func TestOneTermAtATime(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		h.leader().stop()
		time.Sleep(2 * time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		terms := 0
		for _, l := range h.logLines {
			if strings.Contains(l, `"termBegun"`) {
				terms++
			}
		}
		assert.Equal(t, terms, 2)
	})
}

// TestCapacityOfEndedMembers guards against an urgent gang that is placed on
// capacity which is not available. A new leader learns of the end of one member
// of a gang before it learns of the others. The capacity of this member is then
// free and must not be counted again as capacity that preemption of the gang
// would free.
func TestCapacityOfEndedMembers(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		const first, second graph.ID = "1111111111111111", "2222222222222222"
		wholeRack := graph.Step{Count: 2, Demand: gpu(8), Gang: true, SameRack: true, Estimate: time.Second}
		go h.submit(0, "normal", "ks", first, wholeRack)
		time.Sleep(time.Second)
		h.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
		time.Sleep(time.Second) // the gang ends, and its end cannot be stored
		h.restart(h.leader().current().link, time.Second)
		h.table.Faults.Clear()
		contacts := 0
		h.mu.Lock()
		h.hook = func(_ *link, s step) fault {
			if s != stepContact {
				return fault{}
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			if contacts++; contacts%2 == 0 {
				return fault{delay: 300 * time.Millisecond}
			}
			return fault{}
		}
		h.mu.Unlock()
		// Both racks are in use, so that the urgent job has to preempt a gang.
		go h.submit(1, "normal", "ks", "3333333333333333", wholeRack)
		go h.submit(1, "urgent", "kn", second, wholeRack)
		time.Sleep(12 * time.Second)
		assert.Equal(t, h.phase("urgent", "kn", second), "completed")
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestRestartedLeader guards against instances that wait until the lease of a
// killed leader expires, although its next incarnation knows that it has ended.
func TestRestartedLeader(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		for _, inst := range h.instances {
			h.restart(inst.current().link, 300*time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, h.leader() != nil, "no leader 200 ms after all instances have restarted")
	})
}

// TestCompletedJobRunsAgain guards against a job that is shown as completed before
// its end is stored, and that runs again after both the worker that reports the end
// and the leader that knows of it are lost during an outage of the store.
func TestCompletedJobRunsAgain(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		go h.submit(0, "urgent", "kn", urgentJob, graph.Step{Count: 1, Demand: gpu(4), Estimate: time.Second})
		time.Sleep(500 * time.Millisecond)
		h.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
		time.Sleep(1500 * time.Millisecond) // the task ends, and its end cannot be stored
		h.workers.Crash(h.workers.Runs()[0].Worker)
		h.leader().kill()
		h.table.Faults.Clear()
		time.Sleep(20 * time.Second)
		assert.Equal(t, h.phase("urgent", "kn", urgentJob), "completed")
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestSecondTermOfInstance guards against an instance that leads a second time
// and shows the phases of its first term for jobs that have ended since.
func TestSecondTermOfInstance(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		first := h.leader()
		go h.submit(slices.Index(h.instances, first)+1, "urgent", "kn", urgentJob, graph.Step{Count: 1, Demand: gpu(4), Estimate: time.Second})
		time.Sleep(500 * time.Millisecond)
		l := first.current().link
		l.cut(&l.frozenUntil, 4*time.Second)
		time.Sleep(5 * time.Second) // the next leader stores the end
		for _, inst := range h.instances {
			if inst != first {
				inst.kill()
			}
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, h.leader(), first)
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestDrainingAndOutOfService guards against tasks that start on a draining
// worker, or in a failure domain that is out of service.
func TestDrainingAndOutOfService(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		h.registerWorker("w1", "r0", true)
		time.Sleep(100 * time.Millisecond)
		drainingSince := time.Now()
		h.submitWorkload()
		time.Sleep(2 * time.Second)
		for _, inst := range h.instances {
			inst.current().activeConfig.SetOutOfService("d1", true)
		}
		time.Sleep(500 * time.Millisecond)
		outOfServiceSince := time.Now()
		go h.submit(0, "urgent", "kn", "9999999999999999", graph.Step{Count: 1, Demand: gpu(1), Estimate: time.Second})
		time.Sleep(4 * time.Second)
		for _, r := range h.workers.Runs() {
			if r.Worker == "w1" && r.Begun.After(drainingSince) {
				t.Errorf("%s begins on a draining worker", r.Task)
			}
			if r.Begun.After(outOfServiceSince) {
				t.Errorf("%s begins in a failure domain that is out of service", r.Task)
			}
		}
	})
}

// TestUnstoredEndOfFormerLeader guards against a task that runs again although a
// former leader knows of its end. That leader is cut off from the store before
// it can store the end, and the worker crashes before the next leader reaches
// it.
func TestUnstoredEndOfFormerLeader(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		go h.submit(0, "normal", "kn", batchJob, graph.Step{Count: 1, Demand: gpu(1), Estimate: time.Second})
		time.Sleep(950 * time.Millisecond)
		l := h.leader().current().link
		l.cut(&l.storeCutUntil, 7*time.Second)
		time.Sleep(400 * time.Millisecond)
		h.workers.Crash(h.workers.Runs()[0].Worker)
		time.Sleep(14 * time.Second)
		assert.Equal(t, len(h.workers.Runs()), 1)
		lines := h.eventLines("handOver", "handedOver")
		assert.Assert(t, strings.Contains(lines, `"outcome"="given"`), lines)
		assert.Assert(t, strings.Contains(lines, `"newTasks"=1`), lines)
	})
}

// TestInstancesCutOff guards against callers who wait for their whole time-out at
// an instance that gets no answer from the store, and against a change of leader
// because only the connection between leader and store is cut.
func TestInstancesCutOff(t *testing.T) {
	runHarnessWith(t, true, func(h *harness) {
		time.Sleep(2 * time.Second)
		leader := h.leader()
		follower := slices.IndexFunc(h.instances, func(inst *instance) bool { return inst != leader })
		for _, inst := range []*instance{leader, h.instances[follower]} {
			l := inst.current().link
			l.cut(&l.storeCutUntil, 6*time.Second)
		}
		for i, id := range []graph.ID{urgentJob, lateJob} {
			begun := time.Now()
			h.submit(follower, "urgent", "kn", id, graph.Step{Count: 2, Demand: gpu(4), Gang: true, Estimate: time.Second})
			// The first call waits for a direct answer before it goes through another
			// instance, the next ones use both ways at once. One of the two other
			// instances is cut off too.
			assert.Assert(t, time.Since(begun) < time.Duration(2-i)*300*time.Millisecond, "stored after %v", time.Since(begun))
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, h.leader(), leader, "the leader was replaced")
		for _, id := range []graph.ID{urgentJob, lateJob} {
			s, ok := leader.current().scheduler.Status(id)
			assert.Assert(t, ok && s.Phase == graph.Completed, "%s is %s", id, s.Phase)
		}
		time.Sleep(8 * time.Second)
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

// TestWaiting guards against a count of waiting jobs that includes jobs which have
// started or ended, or that lacks jobs for which there is no capacity.
func TestWaiting(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		// The first job takes the whole capacity, and the next ones wait for it.
		go h.submit(0, "normal", "ks", batchJob, graph.Step{Count: 4, Demand: gpu(8), Estimate: 2 * time.Second})
		time.Sleep(500 * time.Millisecond)
		for _, id := range []graph.ID{gangJob, cancelledJob, lateJob} {
			go h.submit(0, "normal", "ks", id, graph.Step{Count: 4, Demand: gpu(8), Gang: true, Estimate: 2 * time.Second})
		}
		time.Sleep(500 * time.Millisecond)
		count := func() int {
			n, leads := h.leader().current().scheduler.Waiting("normal")
			assert.Assert(t, leads)
			return n
		}
		assert.Equal(t, count(), 3)
		h.cancel(0, "normal", "ks", cancelledJob)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, count(), 2)
		time.Sleep(15 * time.Second)
		assert.Equal(t, count(), 0)
	})
}

// TestEndNumberedInLaterIncarnation guards against an end that a worker drops
// before any leader knows of it, because an acknowledgement meant for the former
// incarnation of the worker, whose end numbers were higher, reaches the next
// one.
func TestEndNumberedInLaterIncarnation(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(2 * time.Second)
		go h.submit(0, "normal", "ks", batchJob, graph.Step{Count: 24, Demand: gpu(1), Estimate: time.Second})
		time.Sleep(3 * time.Second)
		go h.submit(0, "normal", "ks", lateJob, graph.Step{Count: 4, Demand: gpu(8), Estimate: time.Second})
		time.Sleep(300 * time.Millisecond)
		for _, id := range []pool.WorkerID{"w1", "w2", "w3", "w4"} {
			h.workers.Crash(id)
			h.bootWorker(id)
		}
		time.Sleep(700 * time.Millisecond)
		h.leader().kill()
		time.Sleep(14 * time.Second)
		assert.Equal(t, h.phase("normal", "ks", lateJob), "completed")
		assert.DeepEqual(t, h.check(), []string(nil))
	})
}

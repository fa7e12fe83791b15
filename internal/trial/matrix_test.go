package trial

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"gotest.tools/v3/assert"
)

type (
	// cell is one case of the matrix: a step, the fault injected into it, and
	// the mode, which is how often this happens and what follows.
	cell struct {
		step  step
		fault string
		mode  string
		// detours reports whether instances also reach the store through other
		// instances.
		detours bool
	}

	// injector injects the fault of a cell into calls of its step.
	injector struct {
		h    *harness
		cell cell

		mu        sync.Mutex
		calls     int
		notBefore time.Time
		injected  int
	}
)

const (
	// settleTime is how long a cell runs after its last submission: two changes
	// of leader, the longest leases and the tasks themselves.
	settleTime = 34 * time.Second
	// faultInterval is the minimum time between two faults of a cell.
	faultInterval = 1500 * time.Millisecond
	// skipCalls is how many calls of a step pass before its fault, so that the
	// fault does not always hit the start of the instances.
	skipCalls = 2
	// outageBeforeLoss is how long the store is unavailable before the worker
	// and the leader are lost, long enough for tasks of the workload to end.
	// lossDuration is the time until these two restart.
	outageBeforeLoss = 1500 * time.Millisecond
	lossDuration     = 2 * time.Second
)

var (
	matrixSteps = []step{
		stepAccept, stepCancel, stepTake, stepRenew, stepCommit, stepGet, stepReadJobs, stepReadProgress, stepReadWorkers,
		stepReadList, stepFollowJobs, stepFollowList, stepFollowLead, stepStart, stepStop, stepContact, stepHold,
	}
	matrixModes = []string{"once", "twice", "thenKill", "thenCrash", "thenLose"}

	// matrixFaults are the faults by name. They get the link that carries the
	// call.
	matrixFaults = map[string]func(*harness, *link) fault{
		"killBefore": func(h *harness, l *link) fault { return fault{before: func() { h.restart(l, 2*time.Second) }} },
		"killAfter":  func(h *harness, l *link) fault { return fault{after: func() { h.restart(l, 2*time.Second) }} },
		"answerLost": func(*harness, *link) fault { return fault{answerLost: true} },
		"doneLate":   func(*harness, *link) fault { return fault{effectDelay: 3 * time.Second} },
		"slow":       func(*harness, *link) fault { return fault{delay: 600 * time.Millisecond} },
		"storeDown": func(h *harness, _ *link) fault {
			h.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
			time.AfterFunc(4*time.Second, h.table.Faults.Clear)
			return fault{}
		},
		"storeSlow": func(h *harness, _ *link) fault {
			h.table.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: 250 * time.Millisecond})
			time.AfterFunc(4*time.Second, h.table.Faults.Clear)
			return fault{}
		},
		"cutFromStore": func(_ *harness, l *link) fault {
			return fault{before: func() { l.cut(&l.storeCutUntil, 5*time.Second) }}
		},
		"cutFromWorkers": func(_ *harness, l *link) fault {
			return fault{before: func() { l.cut(&l.workersCutUntil, 5*time.Second) }}
		},
		"frozen": func(_ *harness, l *link) fault { return fault{after: func() { l.cut(&l.frozenUntil, 4*time.Second) }} },
		"workerCrash": func(h *harness, _ *link) fault {
			h.workers.Crash("w2")
			return fault{}
		},
		"workerReborn": func(h *harness, _ *link) fault {
			h.workers.Crash("w1")
			time.AfterFunc(700*time.Millisecond, func() { h.bootWorker("w1") })
			return fault{}
		},
		"powerLoss": func(h *harness, _ *link) fault {
			return fault{after: func() {
				for _, inst := range h.instances {
					h.restart(inst.current().link, 1500*time.Millisecond)
				}
			}}
		},
		staleFault: func(h *harness, _ *link) fault {
			h.compactWithStaleReads(14 * time.Second)
			return fault{}
		},
		"historyDropped": func(h *harness, _ *link) fault {
			h.table.Compact()
			return fault{}
		},
	}
)

// cut blocks the calls that depend on until, a field of l, for the given time.
func (l *link) cut(until *time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*until = time.Now().Add(d)
}

// restart kills the instance of the link and starts it again after the given time.
func (h *harness) restart(l *link, down time.Duration) {
	for _, inst := range h.instances {
		if inst.current().link != l {
			continue
		}
		inst.kill()
		time.AfterFunc(down, inst.start)
	}
}

// loseWorkerAndLeader makes the store unavailable and after outageBeforeLoss kills,
// at the same instant, the worker on which a run completed last and the leader. Both
// lose what is not stored, and restart after lossDuration.
func (h *harness) loseWorkerAndLeader() {
	h.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
	time.AfterFunc(outageBeforeLoss, func() {
		if id := h.lastFinishedWorker(); id != "" {
			h.workers.Crash(id)
			time.AfterFunc(lossDuration, func() {
				// Another fault may have booted the worker in the meantime.
				h.workers.Crash(id)
				h.bootWorker(id)
			})
		}
		if inst := h.leader(); inst != nil {
			h.restart(inst.current().link, lossDuration)
		}
		h.table.Faults.Clear()
	})
}

// lastFinishedWorker returns the worker on which a run completed last, or an empty
// identifier.
func (h *harness) lastFinishedWorker() pool.WorkerID {
	var last fakes.TaskRun
	for _, r := range h.workers.Runs() {
		if r.Outcome == graph.Done && r.Ended.After(last.Ended) {
			last = r
		}
	}
	return last.Worker
}

// inject returns the fault of the cell if it is due at this call. Steps that occur
// rarely, such as those of a new leader, get it at their first call.
func (inj *injector) inject(l *link, s step) fault {
	if s != inj.cell.step {
		return fault{}
	}
	inj.mu.Lock()
	inj.calls++
	due := inj.calls > skipCalls || s == stepTake || strings.HasPrefix(string(s), "read") || s == stepCancel || s == stepGet
	wanted := 1
	if inj.cell.mode == "twice" {
		wanted = 2
	}
	if !due || inj.injected >= wanted || time.Now().Before(inj.notBefore) {
		inj.mu.Unlock()
		return fault{}
	}
	inj.injected++
	inj.notBefore = time.Now().Add(faultInterval)
	inj.mu.Unlock()
	switch inj.cell.mode {
	case "thenKill":
		time.AfterFunc(300*time.Millisecond, func() {
			if inst := inj.h.leader(); inst != nil {
				inj.h.restart(inst.current().link, time.Second)
			}
		})
	case "thenCrash":
		time.AfterFunc(300*time.Millisecond, func() { inj.h.workers.Crash("w3") })
	case "thenLose":
		time.AfterFunc(300*time.Millisecond, inj.h.loseWorkerAndLeader)
	}
	return matrixFaults[inj.cell.fault](inj.h, l)
}

// runCell runs a cell. It returns the breaches, and whether the fault was injected.
func runCell(t *testing.T, c cell) ([]string, bool) {
	var breaches []string
	inj := &injector{cell: c}
	runHarnessWith(t, c.detours, func(h *harness) {
		inj.h = h
		time.Sleep(2 * time.Second)
		h.mu.Lock()
		h.hook = inj.inject
		h.mu.Unlock()
		if c.step == stepTake || strings.HasPrefix(string(c.step), "read") || c.step == stepContact {
			// These steps occur only after a change of leader.
			h.restart(h.leader().current().link, 3*time.Second)
		}
		h.submitWorkload()
		time.Sleep(settleTime)
		h.mu.Lock()
		h.hook = nil
		h.mu.Unlock()
		breaches = append(h.check(), h.unfinished()...)
	})
	return breaches, inj.injected > 0
}

// unfinished returns a breach for each job that was accepted and has not ended, or
// that is shown as cancelled without a cancellation.
func (h *harness) unfinished() []string {
	var lost []string
	for _, line := range strings.Split(strings.TrimSpace(h.formatPhases()), "\n") {
		id, phase, _ := strings.Cut(line, " ")
		switch phase {
		case "completed", "failed":
		case "cancelled":
			if _, ok := h.cancelledAt[graph.ID(id)]; !ok {
				lost = append(lost, "LOST "+line)
			}
		case "noJob":
			if h.submitOutcomes[graph.ID(id)] == 0 {
				lost = append(lost, "LOST "+line)
			}
		default:
			lost = append(lost, "LOST "+line)
		}
	}
	return lost
}

// TestMatrix runs every step against every fault: once, twice, and followed by a
// kill of the leader, a crash of a worker, or the loss of both in an outage of the
// store, each with and without access to the store through other instances.
// Without MATRIX it runs a sample. It guards against the breaches that check and
// unfinished report, at moments that other tests hit only by chance.
func TestMatrix(t *testing.T) {
	names := make([]string, 0, len(matrixFaults))
	for n := range matrixFaults {
		if n != staleFault {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	runCells(t, names)
}

// TestStaleMatrix runs every step against reads that return an older state after
// the store has dropped its history. It guards against the same breaches as
// TestMatrix.
func TestStaleMatrix(t *testing.T) { runCells(t, []string{staleFault}) }

// runCells runs the cells of the given faults: all of them with MATRIX, the one
// named by CELL, or a sample.
func runCells(t *testing.T, faults []string) {
	var cells []cell
	for _, s := range matrixSteps {
		for _, f := range faults {
			for _, m := range matrixModes {
				cells = append(cells, cell{s, f, m, false}, cell{s, f, m, true})
			}
		}
	}
	all := os.Getenv("MATRIX") != ""
	only := os.Getenv("CELL")
	breached, unreached, ran := 0, 0, 0
	for i, c := range cells {
		name := fmt.Sprintf("%s/%s/%s", c.step, c.fault, c.mode)
		if c.detours {
			name += "/detours"
		}
		if only != "" && only != name || only == "" && !all && i%sampleEvery != 0 {
			continue
		}
		ran++
		breaches, reached := runCell(t, c)
		if !reached {
			unreached++
			t.Logf("cell %s not reached", name)
		}
		if len(breaches) > 0 {
			breached++
			t.Logf("cell %s: %d breaches, the first: %s", name, len(breaches), breaches[0])
		}
	}
	t.Logf("trial: cells=%d breaches=%d unreached=%d", ran, breached, unreached)
	assert.Equal(t, breached, 0)
	assert.Equal(t, unreached, 0)
}

// staleFault is the fault of TestStaleMatrix.
const staleFault = "staleReads"

// sampleEvery is the inverse of the share of the cells that run without MATRIX.
const sampleEvery = 13

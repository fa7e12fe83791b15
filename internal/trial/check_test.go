package trial

import (
	"fmt"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/accept"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/store"
)

const (
	// maxCancelDelay is the time within which a cancellation takes effect, the
	// platform's cancel_ms, and maxStopDelay the time within which a worker stops
	// a run, its stop_ms.
	maxCancelDelay = 3 * time.Second
	maxStopDelay   = 200 * time.Millisecond
)

// check compares the logs of the workers and of the table with the answers that
// callers got, and returns all breaches so far. Each one starts with a label in
// capitals that names its kind.
func (h *harness) check() []string {
	// The workers hold their lock while they ask the harness for the size of a gang.
	runs := h.workers.Runs()
	h.mu.Lock()
	defer h.mu.Unlock()
	byTask := make(map[graph.TaskID][]fakes.TaskRun)
	for _, r := range runs {
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	for task, list := range byTask {
		h.checkTask(task, list)
	}
	h.checkCapacity(runs)
	h.checkStored(runs)
	h.checkFinalPhase(runs)
	h.checkAcknowledged(runs)
	return h.breaches
}

func (h *harness) breach(format string, args ...any) {
	h.breaches = append(h.breaches, fmt.Sprintf(format, args...))
}

// checkTask guards against concurrent runs of a task, a start after an
// acknowledged end, more attempts than allowed, run numbers that do not increase
// from worker to worker, and runs of jobs that were refused, cancelled or unknown to a
// cancel.
func (h *harness) checkTask(task graph.TaskID, runs []fakes.TaskRun) {
	j := h.jobs[task.Job]
	failures := 0
	for i, r := range runs {
		if h.submitOutcomes[task.Job] == accept.Refused {
			h.breach("REFUSED %s run %d of a job that was refused", task, r.Run)
		}
		if at, ok := h.cancelledAt[task.Job]; ok && r.Begun.After(at.Add(maxCancelDelay)) {
			h.breach("UNASKED %s run %d begins %v after the cancel", task, r.Run, r.Begun.Sub(at))
		}
		if at, ok := h.unknownAt[task.Job]; ok && r.Begun.After(at.Add(maxCancelDelay)) {
			h.breach("UNASKED %s run %d begins %v after a cancel found no job", task, r.Run, r.Begun.Sub(at))
		}
		if failures >= j.MaxAttempts {
			h.breach("BUDGET %s run %d after %d failures", task, r.Run, failures)
		}
		for _, other := range runs[:i] {
			if other.Ended.IsZero() || other.Ended.After(r.Begun) {
				h.breach("TWICE %s run %d on %s starts while run %d runs on %s", task, r.Run, r.Worker, other.Run, other.Worker)
			}
			if other.Outcome == graph.Done && other.Acknowledged && !other.Ended.After(r.Begun) {
				h.breach("TWICE %s run %d after run %d was done", task, r.Run, other.Run)
			}
			if r.Run <= other.Run && r.Worker != other.Worker {
				h.breach("NUMBER %s run %d on another worker after run %d", task, r.Run, other.Run)
			}
		}
		if r.Outcome == graph.Failed && r.Acknowledged {
			failures++
		}
	}
}

// checkStored guards against runs that the next leader would not know of: the
// progress row of the job must list a run before the run starts.
func (h *harness) checkStored(runs []fakes.TaskRun) {
	log := h.table.Log()
	for _, r := range runs {
		stored := false
		for _, c := range log {
			if c.Key == ledger.ProgressKey(r.Task.Job) && !c.At.After(r.Begun) && listsRun(c.Value, r) {
				stored = true
				break
			}
		}
		if !stored {
			h.breach("UNSTORED %s run %d begins before it is stored", r.Task, r.Run)
		}
	}
}

// checkAcknowledged guards against ends that are acknowledged before they are
// stored: the worker drops an acknowledged end, so that the next leader would run
// the task again.
func (h *harness) checkAcknowledged(runs []fakes.TaskRun) {
	log := h.table.Log()
	for _, r := range runs {
		if !r.Acknowledged || r.Outcome != graph.Done {
			continue
		}
		stored := slices.ContainsFunc(log, func(c fakes.Commit) bool {
			return !c.At.After(r.AcknowledgedAt) && (c.Key == ledger.EndedKey(r.Task.Job) && !c.Deleted ||
				c.Key == ledger.ProgressKey(r.Task.Job) && h.isDone(c.Value, r.Task))
		})
		if !stored {
			h.breach("UNSTORED end of %s run %d is acknowledged before it is stored", r.Task, r.Run)
		}
	}
}

// isDone reports whether the task is done according to a progress row.
func (h *harness) isDone(value []byte, id graph.TaskID) bool {
	var snapshot graph.Snapshot
	if err := ledger.Decode(store.Row{Value: value}, &snapshot); err != nil {
		return false
	}
	return graph.Restore(h.jobs[id.Job], snapshot).IsDone(id)
}

// listsRun reports whether a progress row lists the run as placed.
func listsRun(value []byte, r fakes.TaskRun) bool {
	var snapshot graph.Snapshot
	if err := ledger.Decode(store.Row{Value: value}, &snapshot); err != nil {
		return false
	}
	for _, p := range snapshot.Placed {
		if p.Run == r.Run && p.Step == r.Task.Step && slices.Contains(p.Members, r.Task.Index) &&
			slices.Contains(p.Workers, string(r.Worker)) {
			return true
		}
	}
	return false
}

// checkCapacity guards against workers whose tasks exceed their capacity.
func (h *harness) checkCapacity(runs []fakes.TaskRun) {
	for _, r := range runs {
		used := int64(0)
		for _, other := range runs {
			if other.Worker == r.Worker && !other.Begun.After(r.Begun) && (other.Ended.IsZero() || other.Ended.After(r.Begun)) {
				used += h.jobs[other.Task.Job].Steps[other.Task.Step].Demand.Accelerators
			}
		}
		if used > workerAccelerators {
			h.breach("LIMIT %s has %d accelerators in use as %s begins", r.Worker, used, r.Task)
		}
	}
}

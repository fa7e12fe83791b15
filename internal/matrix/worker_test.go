package matrix

import (
	"context"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// Worker is a worker whose process can be killed and started again. At most one
// process runs at a time.
type Worker struct {
	spec worker.Spec

	mu        sync.Mutex
	guards    func(*worker.Simulator)
	process   *fakes.Worker
	endedLogs []WorkerLog
	// unreachableCause is the fault that keeps the worker from answering, or "".
	unreachableCause string
	killed           bool
}

func newWorker(s worker.Spec, guards func(*worker.Simulator)) *Worker {
	w := &Worker{spec: s, guards: guards}
	w.startProcess()
	return w
}

func (w *Worker) startProcess() {
	w.process = fakes.NewWorker(w.spec, 0)
	if w.guards != nil {
		w.guards(w.process.Simulator)
	}
}

// call runs effect with the agent of the current process, or fails if the
// worker is unreachable.
func (w *Worker) call(ctx context.Context, n *Network, effect func(context.Context, worker.Agent) error) error {
	w.mu.Lock()
	p, cause := w.process, w.unreachableCause
	w.mu.Unlock()
	if cause != "" {
		n.Hit(cause)
		time.Sleep(lossTimeout)
		return worker.ErrUnreachable
	}
	return effect(ctx, p.Agent())
}

// silence keeps the worker from answering. Its tasks continue to run.
func (w *Worker) silence(cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachableCause == "" {
		w.unreachableCause = cause
	}
}

// kill ends the process and its tasks.
func (w *Worker) kill(cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.killed {
		return
	}
	w.endedLogs = append(w.endedLogs, w.processLog(time.Now()))
	w.killed, w.unreachableCause = true, cause
}

// restore makes the worker answer again, with a new process if it was killed.
func (w *Worker) restore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.killed {
		w.startProcess()
	}
	w.killed, w.unreachableCause = false, ""
}

// failAll sets whether all tasks of the current process fail.
func (w *Worker) failAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.process.FailAll(fail)
}

// processLog returns the log of the current process. It makes a report first,
// so that events up to the present are logged.
func (w *Worker) processLog(killed time.Time) WorkerLog {
	w.process.Simulator.Report(time.Now())
	return WorkerLog{Worker: w.spec.ID, Domain: w.spec.Domain, Entries: w.process.Log(), Killed: killed}
}

// logs returns the logs of all processes.
func (w *Worker) logs() []WorkerLog {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := append([]WorkerLog(nil), w.endedLogs...)
	if !w.killed {
		all = append(all, w.processLog(time.Time{}))
	}
	return all
}

// runsTask reports whether the worker runs a task.
func (w *Worker) runsTask() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.process.Simulator.Report(time.Now()).Statuses {
		if s.State == worker.Running {
			return true
		}
	}
	return false
}

// failedTasks returns the number of tasks that failed on all processes.
func (w *Worker) failedTasks() int {
	n := 0
	for _, l := range w.logs() {
		for _, e := range l.Entries {
			if e.Event == worker.EventFailed {
				n++
			}
		}
	}
	return n
}

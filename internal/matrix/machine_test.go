package matrix

import (
	"context"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// Machine is a worker whose process can be killed and started again.
type Machine struct {
	spec worker.Spec

	mu      sync.Mutex
	guards  func(*worker.Machine)
	process *fakes.Worker
	ended   []WorkerLog
	// cause is the fault that keeps the worker from answering, or "".
	cause string
	dead  bool
}

func newMachine(s worker.Spec, guards func(*worker.Machine)) *Machine {
	m := &Machine{spec: s, guards: guards}
	m.boot()
	return m
}

func (m *Machine) boot() {
	m.process = fakes.NewWorker(m.spec, 0)
	if m.guards != nil {
		m.guards(m.process.Machine)
	}
}

// call has the present process answer.
func (m *Machine) call(ctx context.Context, n *Net, effect func(context.Context, worker.Agent) error) error {
	m.mu.Lock()
	p, cause := m.process, m.cause
	m.mu.Unlock()
	if cause != "" {
		n.Hit(cause)
		time.Sleep(lossDelay)
		return worker.ErrUnreachable
	}
	return effect(ctx, p.Agent())
}

// silence keeps the worker from answering; its tasks run on.
func (m *Machine) silence(cause string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cause == "" {
		m.cause = cause
	}
}

// kill ends the process with its tasks.
func (m *Machine) kill(cause string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		return
	}
	m.ended = append(m.ended, m.log(time.Now()))
	m.dead, m.cause = true, cause
}

// restore makes the worker answer again, with a new process if it was killed.
func (m *Machine) restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		m.boot()
	}
	m.dead, m.cause = false, ""
}

func (m *Machine) failAll(fail bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process.FailAll(fail)
}

// log settles the process and returns its log.
func (m *Machine) log(killed time.Time) WorkerLog {
	m.process.Machine.Report(time.Now())
	return WorkerLog{Worker: m.spec.ID, Domain: m.spec.Domain, Entries: m.process.Log(), Killed: killed}
}

// logs returns the logs of all processes.
func (m *Machine) logs() []WorkerLog {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := append([]WorkerLog(nil), m.ended...)
	if !m.dead {
		all = append(all, m.log(time.Time{}))
	}
	return all
}

// runs reports whether the worker runs a task, and failures how many failed.
func (m *Machine) runs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.process.Machine.Report(time.Now()).Statuses {
		if s.State == worker.Running {
			return true
		}
	}
	return false
}

func (m *Machine) failures() int {
	n := 0
	for _, l := range m.logs() {
		for _, e := range l.Entries {
			if e.Event == worker.EventFailed {
				n++
			}
		}
	}
	return n
}

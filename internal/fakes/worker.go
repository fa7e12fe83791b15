package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Worker adds faults, a log and a lag of the reported usage to a
	// worker.Simulator.
	Worker struct {
		Faults    Faults
		Simulator *worker.Simulator

		usageLag time.Duration

		mu      sync.Mutex
		failAll bool
		log     []worker.Entry
		samples []sample
	}

	// sample is the progress of the attempts at one instant.
	sample struct {
		at       time.Time
		progress map[worker.Attempt]time.Duration
	}

	// payload is a job payload that specifies the run time and the outcome of the
	// job.
	payload struct {
		RunFor    string `json:"runFor"`
		FailAfter string `json:"failAfter"`
		Result    string `json:"result"`
		Detail    string `json:"detail"`
	}
)

// failAllAfter is the run time after which tasks fail that started while FailAll
// was set.
const failAllAfter = 100 * time.Millisecond

// NewWorker returns an idle worker whose reports show the progress of running
// attempts with the given lag.
func NewWorker(s worker.Spec, usageLag time.Duration) *Worker {
	w := &Worker{Simulator: worker.NewSimulator(s), usageLag: usageLag}
	w.Simulator.Run = w.run
	w.Simulator.OnLog = w.appendLog
	return w
}

// FailAll sets whether the tasks that start from now on fail.
func (w *Worker) FailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = fail
}

// Log returns a copy of the log of state changes of the worker's attempts.
func (w *Worker) Log() []worker.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.log)
}

// Instance returns the worker's entry in the list of instances.
func (w *Worker) Instance() plat.Instance {
	return plat.Instance{Kind: plat.KindWorker, State: plat.Live, Worker: w.Simulator.Spec()}
}

// Agent returns the calls to w.
func (w *Worker) Agent() worker.Agent {
	m := w.Simulator.Agent()
	return worker.Agent{
		Report: func(ctx context.Context) (worker.Report, error) {
			return workerCall(ctx, &w.Faults, false, func() (worker.Report, error) { return w.delayUsage(m.Report(ctx)) })
		},
		Fence: func(ctx context.Context, f worker.Fence) (worker.Report, error) {
			return workerCall(ctx, &w.Faults, true, func() (worker.Report, error) { return w.delayUsage(m.Fence(ctx, f)) })
		},
		Heartbeat: func(ctx context.Context, b worker.Heartbeat) (worker.Report, error) {
			// A heartbeat is sent periodically, like a report, and does not count
			// as a write: faults limited to the next writes are meant for orders.
			return workerCall(ctx, &w.Faults, false, func() (worker.Report, error) { return w.delayUsage(m.Heartbeat(ctx, b)) })
		},
		Reserve:    orderCall(&w.Faults, m.Reserve),
		Start:      orderCall(&w.Faults, m.Start),
		Renew:      orderCall(&w.Faults, m.Renew),
		Checkpoint: orderCall(&w.Faults, m.Checkpoint),
		Throttle:   orderCall(&w.Faults, m.Throttle),
		Stop:       orderCall(&w.Faults, m.Stop),
	}
}

// run returns the program that the payload of s specifies, or one that fails if
// FailAll is set. An invalid payload yields a program that fails at once with the
// error as its detail.
func (w *Worker) run(s worker.Start) worker.Program {
	w.mu.Lock()
	failAll := w.failAll
	w.mu.Unlock()
	if failAll {
		return worker.Program{RunFor: time.Hour, FailAfter: failAllAfter, Detail: "worker fails every task"}
	}
	p, err := parsePayload(s.Payload)
	if err != nil {
		return worker.Program{RunFor: time.Hour, FailAfter: time.Nanosecond, Detail: err.Error()}
	}
	return p
}

func (w *Worker) appendLog(e worker.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, e)
}

// delayUsage replaces the progress of running attempts by the progress that they
// had usageLag ago, but never by less than they have saved.
func (w *Worker) delayUsage(r worker.Report, err error) (worker.Report, error) {
	if err != nil || r.Unchanged {
		return r, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	s := sample{at: now, progress: make(map[worker.Attempt]time.Duration)}
	for _, st := range r.Statuses {
		s.progress[st.Attempt] = st.Progress
	}
	w.samples = append(w.samples, s)
	for len(w.samples) > 1 && now.Sub(w.samples[1].at) >= w.usageLag {
		w.samples = w.samples[1:]
	}
	delayed := w.samples[0]
	for i := range r.Statuses {
		st := &r.Statuses[i]
		if st.State == worker.Running {
			st.Progress = max(delayed.progress[st.Attempt], st.Saved)
		}
	}
	return r, nil
}

func parsePayload(b []byte) (worker.Program, error) {
	var p payload
	if err := json.Unmarshal(b, &p); err != nil {
		return worker.Program{}, fmt.Errorf("decode payload: %w", err)
	}
	program := worker.Program{Result: []byte(p.Result), Detail: p.Detail}
	var err error
	if program.RunFor, err = time.ParseDuration(p.RunFor); err != nil {
		return worker.Program{}, fmt.Errorf("decode runFor: %w", err)
	}
	if p.FailAfter == "" {
		return program, nil
	}
	if program.FailAfter, err = time.ParseDuration(p.FailAfter); err != nil {
		return worker.Program{}, fmt.Errorf("decode failAfter: %w", err)
	}
	return program, nil
}

func orderCall[T any](fs *Faults, call func(context.Context, T) error) func(context.Context, T) error {
	return func(ctx context.Context, v T) error {
		_, err := workerCall(ctx, fs, true, func() (struct{}, error) { return struct{}{}, call(ctx, v) })
		return err
	}
}

func workerCall[T any](ctx context.Context, fs *Faults, write bool, effect func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
	}
	return perform(ctx, fs.consume(write), worker.ErrUnreachable, worker.ErrUnreachable, effect)
}

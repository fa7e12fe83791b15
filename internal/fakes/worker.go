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
	// Worker is a worker on top of worker.Machine.
	Worker struct {
		Faults  Faults
		Machine *worker.Machine

		lag time.Duration

		mu      sync.Mutex
		failAll bool
		log     []worker.Entry
		samples []sample
	}

	// sample is the progress of the running attempts at one instant.
	sample struct {
		at       time.Time
		progress map[worker.Attempt]time.Duration
	}

	// payload is a job payload that tells how the job behaves.
	payload struct {
		RunFor    string `json:"runFor"`
		FailAfter string `json:"failAfter"`
		Result    string `json:"result"`
		Detail    string `json:"detail"`
	}
)

// failAllAfter is the run time at which a worker that fails everything does so.
const failAllAfter = 100 * time.Millisecond

// NewWorker returns an idle worker that reports usage with the given lag.
func NewWorker(s worker.Spec, usageLag time.Duration) *Worker {
	w := &Worker{Machine: worker.NewMachine(s), lag: usageLag}
	w.Machine.Run = w.run
	w.Machine.Logged = w.logged
	return w
}

// FailAll makes the worker fail every task that starts from now on, or not.
func (w *Worker) FailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = fail
}

// Log returns the changes in the life of the worker's attempts so far.
func (w *Worker) Log() []worker.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.log)
}

// Instance returns the worker's entry in the list.
func (w *Worker) Instance() plat.Instance {
	return plat.Instance{Kind: plat.KindWorker, State: plat.Live, Worker: w.Machine.Spec()}
}

// Agent returns the calls to w.
func (w *Worker) Agent() worker.Agent {
	m := w.Machine.Agent()
	return worker.Agent{
		Report: func(ctx context.Context) (worker.Report, error) {
			return workerCall(ctx, &w.Faults, false, func() (worker.Report, error) { return w.delayed(m.Report(ctx)) })
		},
		Fence: func(ctx context.Context, f worker.Fence) (worker.Report, error) {
			return workerCall(ctx, &w.Faults, true, func() (worker.Report, error) { return w.delayed(m.Fence(ctx, f)) })
		},
		Heartbeat: func(ctx context.Context, b worker.Heartbeat) (worker.Report, error) {
			// Like a report it comes with each round; a fault of the next
			// write is meant for an order.
			return workerCall(ctx, &w.Faults, false, func() (worker.Report, error) { return w.delayed(m.Heartbeat(ctx, b)) })
		},
		Reserve:    order(&w.Faults, m.Reserve),
		Start:      order(&w.Faults, m.Start),
		Renew:      order(&w.Faults, m.Renew),
		Checkpoint: order(&w.Faults, m.Checkpoint),
		Throttle:   order(&w.Faults, m.Throttle),
		Stop:       order(&w.Faults, m.Stop),
	}
}

// run interprets the payload. Its detail is the reason of a failure.
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

func (w *Worker) logged(e worker.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, e)
}

// delayed replaces the progress of running attempts by that of lag ago.
func (w *Worker) delayed(r worker.Report, err error) (worker.Report, error) {
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
	for len(w.samples) > 1 && now.Sub(w.samples[1].at) >= w.lag {
		w.samples = w.samples[1:]
	}
	old := w.samples[0]
	for i := range r.Statuses {
		st := &r.Statuses[i]
		if st.State == worker.Running {
			st.Progress = max(old.progress[st.Attempt], st.Saved)
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

func order[T any](fs *Faults, do func(context.Context, T) error) func(context.Context, T) error {
	return func(ctx context.Context, v T) error {
		_, err := workerCall(ctx, fs, true, func() (struct{}, error) { return struct{}{}, do(ctx, v) })
		return err
	}
}

func workerCall[T any](ctx context.Context, fs *Faults, write bool, effect func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
	}
	return perform(ctx, fs.take(write), worker.ErrUnreachable, worker.ErrUnreachable, effect)
}

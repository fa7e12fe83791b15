package plat

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/pkg/errors"
)

type (
	headerForm struct {
		Epoch  int64 `json:"epoch"`
		Config int64 `json:"config"`
	}

	attemptForm struct {
		Workspace ident.Workspace `json:"workspace"`
		Job       ident.Job       `json:"job"`
		Number    int             `json:"number"`
	}

	resourcesForm struct {
		Accelerators int         `json:"accelerators"`
		Processors   int         `json:"processors"`
		Memory       shape.Bytes `json:"memory"`
	}

	reserveForm struct {
		headerForm
		Attempt attemptForm   `json:"attempt"`
		Members int           `json:"members"`
		Member  resourcesForm `json:"member"`
		Hold    span          `json:"hold"`
	}

	startForm struct {
		headerForm
		Attempt   attemptForm `json:"attempt"`
		First     int         `json:"first"`
		Tick      span        `json:"tick"`
		Boot      string      `json:"boot"`
		InService bool        `json:"inService"`
		Saved     span        `json:"saved"`
		Payload   []byte      `json:"payload,omitempty"`
	}

	heartbeatForm struct {
		headerForm
		Boot    string `json:"boot"`
		Changes int64  `json:"changes"`
		Lease   span   `json:"lease"`
	}

	renewForm struct {
		headerForm
		Attempts []attemptForm `json:"attempts"`
		Lease    span          `json:"lease"`
	}

	stopForm struct {
		headerForm
		Attempts []attemptForm `json:"attempts"`
	}

	checkpointForm struct {
		headerForm
		Attempt attemptForm `json:"attempt"`
	}

	throttleForm struct {
		headerForm
		Attempt attemptForm `json:"attempt"`
		Share   float64     `json:"share"`
	}

	statusForm struct {
		Attempt  attemptForm   `json:"attempt"`
		State    string        `json:"state"`
		Members  int           `json:"members"`
		Member   resourcesForm `json:"member"`
		Progress span          `json:"progress"`
		Saved    span          `json:"saved"`
		Result   []byte        `json:"result,omitempty"`
		Detail   string        `json:"detail,omitempty"`
	}

	reportForm struct {
		Worker  ident.Worker `json:"worker"`
		Epoch   int64        `json:"epoch"`
		Config  int64        `json:"config"`
		Tick    span         `json:"tick"`
		Boot    string       `json:"boot"`
		Changes int64        `json:"changes"`
		// Unchanged is set in the answer to a heartbeat that left the statuses out.
		Unchanged bool         `json:"unchanged,omitempty"`
		Statuses  []statusForm `json:"statuses,omitempty"`
	}
)

const (
	pathReport     = "/worker/report"
	pathFence      = "/worker/fence"
	pathReserve    = "/worker/reserve"
	pathHeartbeat  = "/worker/heartbeat"
	pathStart      = "/worker/start"
	pathRenew      = "/worker/renew"
	pathCheckpoint = "/worker/checkpoint"
	pathThrottle   = "/worker/throttle"
	pathStop       = "/worker/stop"
)

// Agent returns the calls to the worker at address. Errors wrap
// worker.ErrUnreachable or are a *worker.RefusedError.
func Agent(address netip.AddrPort, c *http.Client) worker.Agent {
	to := caller{address, c}
	return worker.Agent{
		Report: func(ctx context.Context) (worker.Report, error) {
			return reportCall(ctx, to, pathReport, empty{})
		},
		Fence: func(ctx context.Context, f worker.Fence) (worker.Report, error) {
			return reportCall(ctx, to, pathFence, headerForm(f.Header))
		},
		Heartbeat: func(ctx context.Context, b worker.Heartbeat) (worker.Report, error) {
			return reportCall(ctx, to, pathHeartbeat, heartbeatForm{headerForm(b.Header), b.Boot, b.Changes, span(b.Lease)})
		},
		Reserve: func(ctx context.Context, r worker.Reserve) error {
			return orderCall(ctx, to, pathReserve, reserveForm{
				headerForm(r.Header), attemptForm(r.Attempt), r.Members, resourcesForm(r.Member), span(r.Hold),
			})
		},
		Start: func(ctx context.Context, s worker.Start) error {
			return orderCall(ctx, to, pathStart, startForm{
				headerForm(s.Header), attemptForm(s.Attempt), s.First, span(s.Tick), s.Boot, s.InService, span(s.Saved), s.Payload,
			})
		},
		Renew: func(ctx context.Context, r worker.Renew) error {
			return orderCall(ctx, to, pathRenew, renewForm{
				headerForm(r.Header), attemptsToForm(r.Attempts), span(r.Lease),
			})
		},
		Checkpoint: func(ctx context.Context, k worker.Checkpoint) error {
			return orderCall(ctx, to, pathCheckpoint, checkpointForm{headerForm(k.Header), attemptForm(k.Attempt)})
		},
		Throttle: func(ctx context.Context, t worker.Throttle) error {
			return orderCall(ctx, to, pathThrottle, throttleForm{headerForm(t.Header), attemptForm(t.Attempt), t.Share})
		},
		Stop: func(ctx context.Context, s worker.Stop) error {
			return orderCall(ctx, to, pathStop, stopForm{headerForm(s.Header), attemptsToForm(s.Attempts)})
		},
	}
}

// AgentRoutes returns the server side of Agent.
func AgentRoutes(a worker.Agent) []Route {
	return []Route{
		route(pathReport, func(ctx context.Context, _ empty) (reportForm, error) {
			r, err := a.Report(ctx)
			return reportToForm(r), err
		}),
		route(pathFence, func(ctx context.Context, f headerForm) (reportForm, error) {
			r, err := a.Fence(ctx, worker.Fence{Header: worker.Header(f)})
			return reportToForm(r), err
		}),
		route(pathHeartbeat, func(ctx context.Context, f heartbeatForm) (reportForm, error) {
			r, err := a.Heartbeat(ctx, worker.Heartbeat{
				Header: worker.Header(f.headerForm), Boot: f.Boot, Changes: f.Changes, Lease: time.Duration(f.Lease),
			})
			return reportToForm(r), err
		}),
		route(pathReserve, func(ctx context.Context, f reserveForm) (empty, error) {
			return empty{}, a.Reserve(ctx, worker.Reserve{
				Header: worker.Header(f.headerForm), Attempt: worker.Attempt(f.Attempt),
				Members: f.Members, Member: shape.Resources(f.Member), Hold: time.Duration(f.Hold),
			})
		}),
		route(pathStart, func(ctx context.Context, f startForm) (empty, error) {
			return empty{}, a.Start(ctx, worker.Start{
				Header: worker.Header(f.headerForm), Attempt: worker.Attempt(f.Attempt), First: f.First,
				Tick: time.Duration(f.Tick), Boot: f.Boot, InService: f.InService, Saved: time.Duration(f.Saved), Payload: f.Payload,
			})
		}),
		route(pathRenew, func(ctx context.Context, f renewForm) (empty, error) {
			return empty{}, a.Renew(ctx, worker.Renew{
				Header: worker.Header(f.headerForm), Attempts: attemptsFromForm(f.Attempts), Lease: time.Duration(f.Lease),
			})
		}),
		route(pathCheckpoint, func(ctx context.Context, f checkpointForm) (empty, error) {
			return empty{}, a.Checkpoint(ctx, worker.Checkpoint{
				Header: worker.Header(f.headerForm), Attempt: worker.Attempt(f.Attempt),
			})
		}),
		route(pathThrottle, func(ctx context.Context, f throttleForm) (empty, error) {
			return empty{}, a.Throttle(ctx, worker.Throttle{
				Header: worker.Header(f.headerForm), Attempt: worker.Attempt(f.Attempt), Share: f.Share,
			})
		}),
		route(pathStop, func(ctx context.Context, f stopForm) (empty, error) {
			return empty{}, a.Stop(ctx, worker.Stop{
				Header: worker.Header(f.headerForm), Attempts: attemptsFromForm(f.Attempts),
			})
		}),
	}
}

func reportCall[In any](ctx context.Context, to caller, path string, in In) (worker.Report, error) {
	f, err := call[In, reportForm](ctx, to, path, in)
	if err != nil {
		return worker.Report{}, workerError(err)
	}
	r, err := reportFromForm(f)
	if err != nil {
		return worker.Report{}, fmt.Errorf("decode report: %w: %w", worker.ErrUnreachable, err)
	}
	return r, nil
}

func orderCall[In any](ctx context.Context, to caller, path string, in In) error {
	if _, err := call[In, empty](ctx, to, path, in); err != nil {
		return workerError(err)
	}
	return nil
}

// workerError adds the error of package worker that err stands for.
func workerError(err error) error {
	var f *failureError
	if errors.As(err, &f) && f.failure.Error == kindRefused {
		return fmt.Errorf("call worker: %w", &worker.RefusedError{Reason: worker.Reason(f.Reason), Detail: f.Detail})
	}
	return fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
}

func attemptsToForm(as []worker.Attempt) []attemptForm {
	return convert(as, func(a worker.Attempt) attemptForm { return attemptForm(a) })
}

func attemptsFromForm(fs []attemptForm) []worker.Attempt {
	return convert(fs, func(f attemptForm) worker.Attempt { return worker.Attempt(f) })
}

func reportToForm(r worker.Report) reportForm {
	f := reportForm{Worker: r.Worker, Epoch: r.Epoch, Config: r.Config, Tick: span(r.Tick), Boot: r.Boot,
		Changes: r.Changes, Unchanged: r.Unchanged,
	}
	for _, s := range r.Statuses {
		f.Statuses = append(f.Statuses, statusForm{
			Attempt: attemptForm(s.Attempt), State: s.State.String(), Members: s.Members,
			Member: resourcesForm(s.Member), Progress: span(s.Progress), Saved: span(s.Saved),
			Result: s.Result, Detail: s.Detail,
		})
	}
	return f
}

func reportFromForm(f reportForm) (worker.Report, error) {
	r := worker.Report{
		Worker: f.Worker, Epoch: f.Epoch, Config: f.Config, Tick: time.Duration(f.Tick), Boot: f.Boot,
		Changes: f.Changes, Unchanged: f.Unchanged,
	}
	for _, s := range f.Statuses {
		state, err := worker.ParseState(s.State)
		if err != nil {
			return worker.Report{}, fmt.Errorf("status of %v: %w", worker.Attempt(s.Attempt), err)
		}
		r.Statuses = append(r.Statuses, worker.Status{
			Attempt: worker.Attempt(s.Attempt), State: state, Members: s.Members,
			Member: shape.Resources(s.Member), Progress: time.Duration(s.Progress), Saved: time.Duration(s.Saved),
			Result: s.Result, Detail: s.Detail,
		})
	}
	return r, nil
}

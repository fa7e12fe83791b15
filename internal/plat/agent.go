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

// The JSON forms of the messages of package worker, whose types explain the
// fields.
type (
	headerJSON struct {
		Epoch         int64 `json:"epoch"`
		ConfigVersion int64 `json:"config"`
	}

	attemptJSON struct {
		Workspace ident.Workspace `json:"workspace"`
		Job       ident.Job       `json:"job"`
		Number    int             `json:"number"`
	}

	resourcesJSON struct {
		Accelerators int         `json:"accelerators"`
		Processors   int         `json:"processors"`
		Memory       shape.Bytes `json:"memory"`
	}

	reserveJSON struct {
		headerJSON
		Attempt attemptJSON   `json:"attempt"`
		Members int           `json:"members"`
		Member  resourcesJSON `json:"member"`
		Hold    duration      `json:"hold"`
	}

	startJSON struct {
		headerJSON
		Attempt     attemptJSON `json:"attempt"`
		First       int         `json:"first"`
		Uptime      duration    `json:"tick"`
		Incarnation string      `json:"boot"`
		InService   bool        `json:"inService"`
		Saved       duration    `json:"saved"`
		Payload     []byte      `json:"payload,omitempty"`
	}

	heartbeatJSON struct {
		headerJSON
		Incarnation string   `json:"boot"`
		Changes     int64    `json:"changes"`
		Lease       duration `json:"lease"`
	}

	renewJSON struct {
		headerJSON
		Attempts []attemptJSON `json:"attempts"`
		Lease    duration      `json:"lease"`
	}

	stopJSON struct {
		headerJSON
		Attempts []attemptJSON `json:"attempts"`
	}

	checkpointJSON struct {
		headerJSON
		Attempt attemptJSON `json:"attempt"`
	}

	throttleJSON struct {
		headerJSON
		Attempt attemptJSON `json:"attempt"`
		Share   float64     `json:"share"`
	}

	statusJSON struct {
		Attempt  attemptJSON   `json:"attempt"`
		State    string        `json:"state"`
		Members  int           `json:"members"`
		Member   resourcesJSON `json:"member"`
		Progress duration      `json:"progress"`
		Saved    duration      `json:"saved"`
		Result   []byte        `json:"result,omitempty"`
		Detail   string        `json:"detail,omitempty"`
	}

	reportJSON struct {
		Worker        ident.Worker `json:"worker"`
		Epoch         int64        `json:"epoch"`
		ConfigVersion int64        `json:"config"`
		Uptime        duration     `json:"tick"`
		Incarnation   string       `json:"boot"`
		Changes       int64        `json:"changes"`
		// Unchanged is set in the answer to a heartbeat if the attempts have not
		// changed. The statuses are then omitted.
		Unchanged bool         `json:"unchanged,omitempty"`
		Statuses  []statusJSON `json:"statuses,omitempty"`
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

// Agent returns a client of the worker at address. Its errors wrap
// worker.ErrUnreachable or a *worker.RefusedError.
func Agent(address netip.AddrPort, c *http.Client) worker.Agent {
	rpc := rpcClient{address, c}
	return worker.Agent{
		Report: func(ctx context.Context) (worker.Report, error) {
			return reportCall(ctx, rpc, pathReport, empty{})
		},
		Fence: func(ctx context.Context, f worker.Fence) (worker.Report, error) {
			return reportCall(ctx, rpc, pathFence, headerJSON(f.Header))
		},
		Heartbeat: func(ctx context.Context, b worker.Heartbeat) (worker.Report, error) {
			return reportCall(ctx, rpc, pathHeartbeat, heartbeatJSON{
				headerJSON(b.Header), b.Incarnation, b.Changes, duration(b.Lease),
			})
		},
		Reserve: func(ctx context.Context, r worker.Reserve) error {
			return ackCall(ctx, rpc, pathReserve, reserveJSON{
				headerJSON(r.Header), attemptJSON(r.Attempt), r.Members, resourcesJSON(r.Member), duration(r.Hold),
			})
		},
		Start: func(ctx context.Context, s worker.Start) error {
			return ackCall(ctx, rpc, pathStart, startJSON{
				headerJSON(s.Header), attemptJSON(s.Attempt), s.First, duration(s.Uptime), s.Incarnation, s.InService,
				duration(s.Saved), s.Payload,
			})
		},
		Renew: func(ctx context.Context, r worker.Renew) error {
			return ackCall(ctx, rpc, pathRenew, renewJSON{
				headerJSON(r.Header), attemptsToJSON(r.Attempts), duration(r.Lease),
			})
		},
		Checkpoint: func(ctx context.Context, k worker.Checkpoint) error {
			return ackCall(ctx, rpc, pathCheckpoint, checkpointJSON{headerJSON(k.Header), attemptJSON(k.Attempt)})
		},
		Throttle: func(ctx context.Context, t worker.Throttle) error {
			return ackCall(ctx, rpc, pathThrottle, throttleJSON{headerJSON(t.Header), attemptJSON(t.Attempt), t.Share})
		},
		Stop: func(ctx context.Context, s worker.Stop) error {
			return ackCall(ctx, rpc, pathStop, stopJSON{headerJSON(s.Header), attemptsToJSON(s.Attempts)})
		},
	}
}

// AgentRoutes returns the HTTP routes that serve the calls of Agent from a.
func AgentRoutes(a worker.Agent) []Route {
	return []Route{
		route(pathReport, func(ctx context.Context, _ empty) (reportJSON, error) {
			r, err := a.Report(ctx)
			return reportToJSON(r), err
		}),
		route(pathFence, func(ctx context.Context, msg headerJSON) (reportJSON, error) {
			r, err := a.Fence(ctx, worker.Fence{Header: worker.Header(msg)})
			return reportToJSON(r), err
		}),
		route(pathHeartbeat, func(ctx context.Context, msg heartbeatJSON) (reportJSON, error) {
			r, err := a.Heartbeat(ctx, worker.Heartbeat{
				Header: worker.Header(msg.headerJSON), Incarnation: msg.Incarnation, Changes: msg.Changes,
				Lease: time.Duration(msg.Lease),
			})
			return reportToJSON(r), err
		}),
		route(pathReserve, func(ctx context.Context, msg reserveJSON) (empty, error) {
			return empty{}, a.Reserve(ctx, worker.Reserve{
				Header: worker.Header(msg.headerJSON), Attempt: worker.Attempt(msg.Attempt),
				Members: msg.Members, Member: shape.Resources(msg.Member), Hold: time.Duration(msg.Hold),
			})
		}),
		route(pathStart, func(ctx context.Context, msg startJSON) (empty, error) {
			return empty{}, a.Start(ctx, worker.Start{
				Header: worker.Header(msg.headerJSON), Attempt: worker.Attempt(msg.Attempt), First: msg.First,
				Uptime: time.Duration(msg.Uptime), Incarnation: msg.Incarnation, InService: msg.InService,
				Saved: time.Duration(msg.Saved), Payload: msg.Payload,
			})
		}),
		route(pathRenew, func(ctx context.Context, msg renewJSON) (empty, error) {
			return empty{}, a.Renew(ctx, worker.Renew{
				Header: worker.Header(msg.headerJSON), Attempts: attemptsFromJSON(msg.Attempts), Lease: time.Duration(msg.Lease),
			})
		}),
		route(pathCheckpoint, func(ctx context.Context, msg checkpointJSON) (empty, error) {
			return empty{}, a.Checkpoint(ctx, worker.Checkpoint{
				Header: worker.Header(msg.headerJSON), Attempt: worker.Attempt(msg.Attempt),
			})
		}),
		route(pathThrottle, func(ctx context.Context, msg throttleJSON) (empty, error) {
			return empty{}, a.Throttle(ctx, worker.Throttle{
				Header: worker.Header(msg.headerJSON), Attempt: worker.Attempt(msg.Attempt), Share: msg.Share,
			})
		}),
		route(pathStop, func(ctx context.Context, msg stopJSON) (empty, error) {
			return empty{}, a.Stop(ctx, worker.Stop{
				Header: worker.Header(msg.headerJSON), Attempts: attemptsFromJSON(msg.Attempts),
			})
		}),
	}
}

// reportCall makes a call that a worker answers with a report.
func reportCall[In any](ctx context.Context, rpc rpcClient, path string, in In) (worker.Report, error) {
	msg, err := call[In, reportJSON](ctx, rpc, path, in)
	if err != nil {
		return worker.Report{}, workerError(err)
	}
	r, err := reportFromJSON(msg)
	if err != nil {
		return worker.Report{}, fmt.Errorf("decode report: %w: %w", worker.ErrUnreachable, err)
	}
	return r, nil
}

// ackCall makes a call that a worker answers with an empty message.
func ackCall[In any](ctx context.Context, rpc rpcClient, path string, in In) error {
	if _, err := call[In, empty](ctx, rpc, path, in); err != nil {
		return workerError(err)
	}
	return nil
}

// workerError wraps the error of a call in the matching error of package worker:
// a *worker.RefusedError for a refusal by the worker, worker.ErrUnreachable for
// all others.
func workerError(err error) error {
	var remote *remoteError
	if errors.As(err, &remote) && remote.errorBody.Error == codeRefused {
		return fmt.Errorf("call worker: %w", &worker.RefusedError{Reason: worker.Reason(remote.Reason), Detail: remote.Detail})
	}
	return fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
}

func attemptsToJSON(attempts []worker.Attempt) []attemptJSON {
	return convert(attempts, func(a worker.Attempt) attemptJSON { return attemptJSON(a) })
}

func attemptsFromJSON(msgs []attemptJSON) []worker.Attempt {
	return convert(msgs, func(msg attemptJSON) worker.Attempt { return worker.Attempt(msg) })
}

func reportToJSON(r worker.Report) reportJSON {
	msg := reportJSON{
		Worker: r.Worker, Epoch: r.Epoch, ConfigVersion: r.ConfigVersion, Uptime: duration(r.Uptime),
		Incarnation: r.Incarnation, Changes: r.Changes, Unchanged: r.Unchanged,
	}
	for _, s := range r.Statuses {
		msg.Statuses = append(msg.Statuses, statusJSON{
			Attempt: attemptJSON(s.Attempt), State: s.State.String(), Members: s.Members,
			Member: resourcesJSON(s.Member), Progress: duration(s.Progress), Saved: duration(s.Saved),
			Result: s.Result, Detail: s.Detail,
		})
	}
	return msg
}

func reportFromJSON(msg reportJSON) (worker.Report, error) {
	r := worker.Report{
		Worker: msg.Worker, Epoch: msg.Epoch, ConfigVersion: msg.ConfigVersion, Uptime: time.Duration(msg.Uptime),
		Incarnation: msg.Incarnation, Changes: msg.Changes, Unchanged: msg.Unchanged,
	}
	for _, s := range msg.Statuses {
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

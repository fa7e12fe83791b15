package worker

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/pkg/errors"
)

type (
	// Spec is the static description of a worker.
	Spec struct {
		ID       ident.Worker
		Domain   ident.Domain
		Rack     ident.Rack
		Address  netip.AddrPort
		Capacity shape.Resources
	}

	// Header is embedded in each message to a worker.
	Header struct {
		// Epoch is the epoch of the sender's lease on the worker's domain.
		Epoch int64
		// ConfigVersion is the configuration version that the sender has read.
		ConfigVersion int64
	}

	// Attempt identifies one attempt of a job.
	Attempt struct {
		Workspace ident.Workspace
		Job       ident.Job
		Number    int
	}

	// Reserve reserves resources for members of one attempt.
	Reserve struct {
		Header
		Attempt Attempt
		// Members is the number of members, Member the demand of each.
		Members int
		Member  shape.Resources
		// Hold is the time after which the reservation expires.
		Hold time.Duration
	}

	// Start starts the reserved members of an attempt.
	Start struct {
		Header
		Attempt Attempt
		// First is the number of the first member on this worker.
		First int
		// Uptime and Incarnation are the start permit: they echo a report that
		// was received before the configuration was read.
		Uptime      time.Duration
		Incarnation string
		// InService reports whether the domain is in service in that
		// configuration.
		InService bool
		// Saved is the progress to resume from.
		Saved   time.Duration
		Payload []byte
	}

	// Renew sets the leases of those of the attempts that run to expire after
	// Lease.
	Renew struct {
		Header
		Attempts []Attempt
		Lease    time.Duration
	}

	// Heartbeat sets the leases of all running attempts to expire after Lease
	// if the sender's view of the worker is current: Incarnation and Changes
	// are those of the worker's present state.
	Heartbeat struct {
		Header
		Incarnation string
		Changes     int64
		Lease       time.Duration
	}

	// Stop ends the attempts, whether reserved or running, and removes them from
	// later reports. A worker refuses later starts of a stopped attempt.
	Stop struct {
		Header
		Attempts []Attempt
	}

	// Checkpoint asks the tasks of an attempt to save their progress, which
	// appears as Saved in a later report.
	Checkpoint struct {
		Header
		Attempt Attempt
	}

	// Throttle sets the share of its processor time that an attempt may use, from
	// 0 (paused) to 1.
	Throttle struct {
		Header
		Attempt Attempt
		Share   float64
	}

	// Fence raises the lowest epoch that the worker accepts to that of the header.
	Fence struct {
		Header
	}

	// State is the state of the members of an attempt on one worker.
	State int

	// Status is the part of a report about one attempt.
	Status struct {
		Attempt Attempt
		State   State
		Members int
		Member  shape.Resources
		// Progress is the useful run time so far, including the progress that
		// the attempt resumed from.
		Progress time.Duration
		// Saved is the progress that the last checkpoint preserves.
		Saved time.Duration
		// Result is the output of member 0 if it ran on this worker and is done.
		Result []byte
		// Detail is the reason why the attempt failed or lapsed.
		Detail string
	}

	// Report is the state of a worker.
	Report struct {
		Worker ident.Worker
		// Epoch and ConfigVersion are the highest epoch and configuration
		// version that the worker has seen.
		Epoch         int64
		ConfigVersion int64
		// Uptime is the instant of the report on the worker's own clock, as the
		// time since its process started.
		Uptime time.Duration
		// Incarnation identifies the worker's process. It changes with a restart.
		Incarnation string
		// Changes increases with each change of the attempts other than progress.
		Changes int64
		// Unchanged is set in the answer to a Heartbeat whose sender had a
		// current view of the worker. Statuses are then omitted.
		Unchanged bool
		Statuses  []Status
	}

	// Agent is the set of calls to one worker. A call whose outcome is not known
	// returns an error that wraps ErrUnreachable, a refused call one that wraps
	// a RefusedError.
	Agent struct {
		Report     func(ctx context.Context) (Report, error)
		Fence      func(ctx context.Context, f Fence) (Report, error)
		Heartbeat  func(ctx context.Context, b Heartbeat) (Report, error)
		Reserve    func(ctx context.Context, r Reserve) error
		Start      func(ctx context.Context, s Start) error
		Renew      func(ctx context.Context, r Renew) error
		Checkpoint func(ctx context.Context, c Checkpoint) error
		Throttle   func(ctx context.Context, t Throttle) error
		Stop       func(ctx context.Context, s Stop) error
	}

	// RefusedError is the error of a call that the worker refused. The call had
	// no effect.
	RefusedError struct {
		Reason Reason
		Detail string
	}

	// Reason is the reason why a worker refused a call.
	Reason string
)

// States of an attempt on a worker.
const (
	Reserved State = iota
	Running
	Done
	Failed
	// Lapsed means that the lease or reservation expired without renewal.
	Lapsed
)

// Reasons of a refusal.
const (
	ReasonStaleEpoch     Reason = "staleEpoch"
	ReasonStaleConfig    Reason = "staleConfig"
	ReasonDomain         Reason = "domainOut"
	ReasonStalePermit    Reason = "stalePermit"
	ReasonCapacity       Reason = "noCapacity"
	ReasonAttemptEnded   Reason = "attemptEnded"
	ReasonUnknownAttempt Reason = "unknownAttempt"
)

// MaxPermitAge is the age up to which a worker accepts a start permit, which
// proves that its domain was in service. It bounds the time for which starts are
// still accepted after a domain was taken out of service.
const MaxPermitAge = 3 * time.Second

var (
	stateNames = [...]string{"reserved", "running", "done", "failed", "lapsed"}

	// ErrUnreachable means that no answer arrived. The call may have taken effect.
	ErrUnreachable = errors.New("worker unreachable")
	// ErrState is wrapped by errors of ParseState.
	ErrState = errors.New("unknown worker state")
)

// String returns the name of the state, which ParseState accepts.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// ParseState returns the state with the given name. The error for an unknown
// name wraps ErrState.
func ParseState(name string) (State, error) {
	for i, n := range stateNames {
		if n == name {
			return State(i), nil
		}
	}
	return 0, fmt.Errorf("%q: %w", name, ErrState)
}

// Holds reports whether an attempt in this state holds resources.
func (s State) Holds() bool { return s == Reserved || s == Running }

// Error returns a message with the reason and the detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused by the worker (%s): %s", e.Reason, e.Detail)
}

// RefusalReason returns the reason if err wraps a RefusedError, and "" otherwise.
func RefusalReason(err error) Reason {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// String returns the attempt as WORKSPACE/JOB#NUMBER.
func (a Attempt) String() string {
	return fmt.Sprintf("%s/%s#%d", a.Workspace, a.Job, a.Number)
}

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
	// Spec is what is known of a worker without asking it.
	Spec struct {
		ID       ident.Worker
		Domain   ident.Domain
		Rack     ident.Rack
		Address  netip.AddrPort
		Capacity shape.Resources
	}

	// Header is part of each message to a worker.
	Header struct {
		// Epoch is the epoch of the sender's lease on the worker's domain.
		Epoch int64
		// Config is the configuration version that the sender has read.
		Config int64
	}

	// Attempt names one attempt of a job.
	Attempt struct {
		Workspace ident.Workspace
		Job       ident.Job
		Number    int
	}

	// Reserve asks for room for members of one attempt.
	Reserve struct {
		Header
		Attempt Attempt
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
		// Tick and Boot echo a report that was received before the
		// configuration was read.
		Tick time.Duration
		Boot string
		// InService is the state of the domain in that configuration.
		InService bool
		// Saved is the progress to resume from.
		Saved   time.Duration
		Payload []byte
	}

	// Renew extends the leases of the attempts by Lease from now.
	Renew struct {
		Header
		Attempts []Attempt
		Lease    time.Duration
	}

	// Heartbeat extends the leases of all running attempts by Lease, if the worker
	// is as the sender knows it: the same process with the same Changes.
	Heartbeat struct {
		Header
		Boot    string
		Changes int64
		Lease   time.Duration
	}

	// Stop ends the attempts, running or reserved, and forgets ended ones.
	// A worker refuses later starts of a stopped attempt.
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

	// Throttle sets the share of its processor time that an attempt may use,
	// from 0 (paused) to 1.
	Throttle struct {
		Header
		Attempt Attempt
		Share   float64
	}

	// Fence raises the epoch that the worker accepts.
	Fence struct {
		Header
	}

	// State is the state of the members of an attempt on one worker.
	State int

	// Status is what a worker reports of one attempt.
	Status struct {
		Attempt Attempt
		State   State
		Members int
		Member  shape.Resources
		// Progress is the useful run time so far, including Saved.
		Progress time.Duration
		// Saved is the progress that a checkpoint keeps.
		Saved time.Duration
		// Result is the output of member 0 if it ran here and is done.
		Result []byte
		// Detail tells why the attempt failed.
		Detail string
	}

	// Report is the state of a worker.
	Report struct {
		Worker ident.Worker
		// Epoch and Config are the highest that the worker has seen.
		Epoch  int64
		Config int64
		// Tick is the instant of the report by the worker's own clock, as the
		// time since its process started.
		Tick time.Duration
		// Boot identifies the worker's process. It changes with a restart.
		Boot string
		// Changes rises with each change of the attempts other than progress.
		Changes int64
		// Unchanged is set in the answer to a Heartbeat that found the worker as
		// the sender knew it. Statuses are then left out.
		Unchanged bool
		Statuses  []Status
	}

	// Agent is the set of calls to one worker.
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

	// RefusedError is a refusal by the worker itself: the call had no effect.
	RefusedError struct {
		Reason Reason
		Detail string
	}

	// Reason tells why a worker refused a call.
	Reason string
)

// The states of an attempt on a worker.
const (
	Reserved State = iota
	Running
	Done
	Failed
	// Lapsed means that the lease or reservation ended without a renewal.
	Lapsed
)

// The reasons of a refusal.
const (
	ReasonEpoch    Reason = "staleEpoch"
	ReasonConfig   Reason = "staleConfig"
	ReasonDomain   Reason = "domainOut"
	ReasonPermit   Reason = "stalePermit"
	ReasonCapacity Reason = "noCapacity"
	ReasonAttempt  Reason = "attemptEnded"
	ReasonUnknown  Reason = "unknownAttempt"
)

// MaxPermitAge is the age up to which a worker accepts a proof that its domain
// is in service. It is the bound on starts after a domain was taken out.
const MaxPermitAge = 3 * time.Second

var (
	stateNames = [...]string{"reserved", "running", "done", "failed", "lapsed"}

	// ErrUnreachable means that no answer arrived. The call may have had its
	// effect.
	ErrUnreachable = errors.New("worker unreachable")
	// ErrName is wrapped by errors about unknown state names.
	ErrName = errors.New("unknown worker state")
)

// String returns the name used in messages.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// ParseState returns the state with the given name.
func ParseState(name string) (State, error) {
	for i, n := range stateNames {
		if n == name {
			return State(i), nil
		}
	}
	return 0, fmt.Errorf("%q: %w", name, ErrName)
}

// Holds reports whether an attempt in this state occupies resources.
func (s State) Holds() bool { return s == Reserved || s == Running }

// Error returns the reason and the detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused by the worker (%s): %s", e.Reason, e.Detail)
}

// RefusedFor returns the reason if err wraps a refusal, and "" otherwise.
func RefusedFor(err error) Reason {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// String returns workspace, job and number.
func (a Attempt) String() string {
	return fmt.Sprintf("%s/%s#%d", a.Workspace, a.Job, a.Number)
}

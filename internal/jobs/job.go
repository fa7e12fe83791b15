package jobs

import (
	"bytes"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/pkg/errors"
)

type (
	// State is the state of a job.
	State int

	// Class is the urgency of a job or request: how long it can wait.
	Class int

	// Spec is the part of a job that the caller specifies.
	Spec struct {
		Shape shape.Shape
		Class Class
		// Guaranteed requests capacity of a guarantee of the workspace. Other
		// jobs run on lent capacity, which can be reclaimed.
		Guaranteed bool
		// RunTime is the run time that the caller estimates. It can be far
		// off and is never used to end a job.
		RunTime time.Duration
		// Payload is passed to the tasks and never interpreted.
		Payload []byte
	}

	// Slot is the capacity reserved for members of a gang on one worker.
	Slot struct {
		Worker ident.Worker
		// Members is the number of members on the worker. The members of a
		// gang are numbered from 0 in the order of its slots.
		Members int
	}

	// Job is the stored record of a job.
	Job struct {
		ID        ident.Job
		Workspace ident.Workspace
		Spec      Spec
		// Domain is the failure domain whose shard owner schedules the job.
		Domain    ident.Domain
		State     State
		Submitted time.Time
		// Attempt is the number of starts so far. It never decreases.
		Attempt int
		// Epoch is the lease epoch of the shard owner that recorded the last
		// start.
		Epoch int64
		// Slots holds the slots of the current attempt.
		Slots   []Slot
		Started time.Time
		Ended   time.Time
		// Saved is the progress up to the last checkpoint.
		Saved time.Duration
		// Failures is the number of attempts that ended with a task error.
		Failures int
		// FailedOn lists the workers on which tasks of those attempts failed.
		FailedOn []ident.Worker
		// CancelRequested is set on a cancel request. The shard owner then
		// cancels the job.
		CancelRequested bool
		// Reason is why the job ended or is waiting.
		Reason string
		// Result is the result of a job that is done.
		Result []byte
		// ResultStored is set if the result is too large for the row and is
		// kept in the object store.
		ResultStored bool
	}
)

// Job states.
const (
	Pending State = iota
	Starting
	Running
	Done
	Failed
	Cancelled
)

// Classes, the most urgent first.
const (
	Urgent Class = iota
	Normal
	Background
)

// MaxFailures is the number of failed attempts after which a job is not
// started again. Where there are other workers, an attempt does not run on
// those on which an earlier one failed, so a single faulty worker cannot use up
// all attempts.
const MaxFailures = 3

var (
	stateNames = [...]string{"pending", "starting", "running", "done", "failed", "cancelled"}
	classNames = [...]string{"urgent", "normal", "background"}

	// ErrState is wrapped by errors about illegal transitions.
	ErrState = errors.New("illegal job state")
	// ErrName is wrapped by errors about unknown state and class names.
	ErrName = errors.New("unknown name")
)

// Equal reports whether s and o are the same specification.
func (s Spec) Equal(o Spec) bool {
	return s.Shape == o.Shape && s.Class == o.Class && s.Guaranteed == o.Guaranteed && s.RunTime == o.RunTime &&
		bytes.Equal(s.Payload, o.Payload)
}

// NeverAccepted returns the record of a job that was cancelled before a submission of
// it was stored. No such job exists, and the record keeps a submission that the store
// carries out late from taking effect.
func NeverAccepted(w ident.Workspace, id ident.Job, now time.Time) Job {
	return Job{ID: id, Workspace: w, State: Cancelled, Ended: now, CancelRequested: true, Reason: "cancelled before it was accepted"}
}

// IsNeverAccepted reports whether j is a record of NeverAccepted.
func (j *Job) IsNeverAccepted() bool { return j.State == Cancelled && j.Submitted.IsZero() }

// String returns the name used in messages and rows.
func (s State) String() string { return nameOf(stateNames[:], int(s)) }

// Ended reports whether s is a final state.
func (s State) Ended() bool { return s >= Done }

// Placed reports whether a job in this state has slots on workers.
func (s State) Placed() bool { return s == Starting || s == Running }

// String returns the name used in messages and rows.
func (c Class) String() string { return nameOf(classNames[:], int(c)) }

// ParseState returns the state with the given name.
func ParseState(s string) (State, error) {
	i, err := parseName(stateNames[:], s)
	return State(i), err
}

// ParseClass returns the class with the given name. The empty name is Normal.
func ParseClass(s string) (Class, error) {
	if s == "" {
		return Normal, nil
	}
	i, err := parseName(classNames[:], s)
	return Class(i), err
}

func nameOf(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return fmt.Sprintf("unknown(%d)", i)
	}
	return names[i]
}

func parseName(names []string, s string) (int, error) {
	for i, n := range names {
		if n == s {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%q, want one of %v: %w", s, names, ErrName)
}

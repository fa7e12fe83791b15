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
	// State is a stage in the life of a job.
	State int

	// Class orders jobs and requests by how long they can wait.
	Class int

	// Spec is what a caller asks for.
	Spec struct {
		Shape shape.Shape
		Class Class
		// Guaranteed asks for capacity inside a guarantee of the workspace.
		// Work outside a guarantee runs on lent capacity.
		Guaranteed bool
		// RunTime is the caller's estimate. It may be far off and is never
		// used to end a job.
		RunTime time.Duration
		// Payload is passed to the tasks unread.
		Payload []byte
	}

	// Slot is a place for members of a gang on one worker.
	Slot struct {
		Worker ident.Worker
		// Members is the number of members placed there. Members are
		// numbered from 0 in the order of the slots.
		Members int
	}

	// Job is the stored record of a job.
	Job struct {
		ID        ident.Job
		Workspace ident.Workspace
		Spec      Spec
		// Domain is the failure domain whose shard owner decides about the job.
		Domain    ident.Domain
		State     State
		Submitted time.Time
		// Attempt is the number of starts so far. It never falls.
		Attempt int
		// Epoch is the epoch of the owner that recorded the last start.
		Epoch int64
		// Slots are the places of the present attempt.
		Slots   []Slot
		Started time.Time
		Ended   time.Time
		// Saved is the progress that the last checkpoint keeps.
		Saved time.Duration
		// Failures counts the attempts that ended by an error of the task.
		Failures int
		// FailedOn lists the workers of the failed attempts.
		FailedOn []ident.Worker
		// CancelRequested is set by the caller. The shard owner acts on it.
		CancelRequested bool
		// Reason tells why the job ended, or why it waits.
		Reason string
		// Result is the answer of the job when it is done.
		Result []byte
		// ResultStored tells that the result is too large for the row and
		// stands in the object store.
		ResultStored bool
	}
)

// The states of a job.
const (
	Pending State = iota
	Starting
	Running
	Done
	Failed
	Cancelled
)

// The classes, most urgent first.
const (
	Urgent Class = iota
	Normal
	Background
)

// MaxFailures is the number of failed attempts after which a job is not
// started again. Each of them runs on other workers where there are any, so a
// single bad worker cannot use them up.
const MaxFailures = 3

var (
	stateNames = [...]string{"pending", "starting", "running", "done", "failed", "cancelled"}
	classNames = [...]string{"urgent", "normal", "background"}

	// ErrState is wrapped by errors about transitions that are not legal.
	ErrState = errors.New("illegal job state")
	// ErrName is wrapped by errors about unknown names of states and classes.
	ErrName = errors.New("unknown name")
)

// Equal reports whether both ask for the same work.
func (s Spec) Equal(o Spec) bool {
	return s.Shape == o.Shape && s.Class == o.Class && s.Guaranteed == o.Guaranteed && s.RunTime == o.RunTime &&
		bytes.Equal(s.Payload, o.Payload)
}

// String returns the name used in messages and rows.
func (s State) String() string { return name(stateNames[:], int(s)) }

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Done }

// Placed reports whether a job in this state holds workers.
func (s State) Placed() bool { return s == Starting || s == Running }

// String returns the name used in messages and rows.
func (c Class) String() string { return name(classNames[:], int(c)) }

// ParseState returns the state with the given name.
func ParseState(s string) (State, error) {
	i, err := parse(stateNames[:], s)
	return State(i), err
}

// ParseClass returns the class with the given name. The empty name is Normal.
func ParseClass(s string) (Class, error) {
	if s == "" {
		return Normal, nil
	}
	i, err := parse(classNames[:], s)
	return Class(i), err
}

func name(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return fmt.Sprintf("unknown(%d)", i)
	}
	return names[i]
}

func parse(names []string, s string) (int, error) {
	for i, n := range names {
		if n == s {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%q, allowed are %v: %w", s, names, ErrName)
}

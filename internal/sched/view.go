package sched

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// View is the state of a shard as a decision sees it. Decisions do not
	// change it.
	View struct {
		Domain    ident.Domain
		InService bool
		Workers   []fleet.Worker
		// Waiting are the pending jobs of the shard in any order.
		Waiting []jobs.Job
		// Gangs are the jobs that hold workers of the shard.
		Gangs []Gang
		// Guarantees are the shapes that have their home in this domain.
		Guarantees []Home
	}

	// Gang is a job that holds workers.
	Gang struct {
		Job      jobs.Job
		Progress time.Duration
		// Saved is the progress that a checkpoint keeps.
		Saved time.Duration
		// Reclaiming is set once the gang was told to give its workers back.
		Reclaiming bool
	}

	// Home is a guaranteed shape that must fit in this domain Count times.
	Home struct {
		Workspace ident.Workspace
		Name      string
		Shape     shape.Shape
		Count     int
	}

	// Kind is the kind of an action.
	Kind int

	// Action is one step that the shard owner takes.
	Action struct {
		Kind   Kind
		Job    jobs.Job
		Slots  []jobs.Slot
		Reason string
	}

	// Policy is a way to decide. Its fields are the seams by which policies
	// are compared.
	Policy struct {
		Name   string
		Decide func(now time.Time, v *View) []Action
	}
)

// The kinds of action.
const (
	// Place starts a waiting job on the slots.
	Place Kind = iota
	// Wait leaves a job waiting for the reason given.
	Wait
	// Reclaim takes a gang down, with a checkpoint, so that the job of the
	// reason can use its workers. The job returns to the queue.
	Reclaim
	// Refuse ends a job that can never run.
	Refuse
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Place:
		return "place"
	case Wait:
		return "wait"
	case Reclaim:
		return "reclaim"
	case Refuse:
		return "refuse"
	}
	return fmt.Sprintf("kind(%d)", int(k))
}

package sched

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/worker"
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
		// Peers are the other domains. Without them no job moves.
		Peers []Peer
		// Past are jobs that ended lately, of any domain. They correct the
		// run times that callers declare. It may be empty.
		Past []Past
	}

	// Peer is what is known of another domain. It may be a few seconds old.
	Peer struct {
		Domain    ident.Domain
		InService bool
		// Workers are those of the domain, busy or not.
		Workers []worker.Spec
		// Free and Waiting are the accelerators that are free there and those
		// that the waiting jobs there ask for.
		Free    int
		Waiting int
	}

	// Past is the declared and the actual run time of a job that ended.
	Past struct {
		Workspace ident.Workspace
		Class     jobs.Class
		Declared  time.Duration
		Actual    time.Duration
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
	Home = quota.Claim

	// Kind is the kind of an action.
	Kind int

	// Action is one step that the shard owner takes.
	Action struct {
		Kind   Kind
		Job    jobs.Job
		Slots  []jobs.Slot
		Reason string
		// To is the domain that a job moves to.
		To ident.Domain
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
	// Move hands a waiting job to the domain To.
	Move
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
	case Move:
		return "move"
	}
	return fmt.Sprintf("kind(%d)", int(k))
}

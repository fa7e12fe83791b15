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
	// View is the state of a shard on which a decision is based. Decisions do
	// not modify it.
	View struct {
		Domain    ident.Domain
		InService bool
		Workers   []fleet.Worker
		// Waiting are the pending jobs of the shard in any order.
		Waiting []jobs.Job
		// Gangs are the jobs that hold workers of the shard.
		Gangs []Gang
		// Guarantees are the guaranteed shapes with their home in this domain.
		Guarantees []Claim
		// Peers are the other domains. If it is empty, no job moves.
		Peers []Peer
		// CompletedRuns are recently completed jobs of any domain, used to
		// correct the run times that callers declare. It may be empty.
		CompletedRuns []CompletedRun
	}

	// Peer is the last known state of another domain. It may be a few seconds
	// old.
	Peer struct {
		Domain    ident.Domain
		InService bool
		// Workers are all workers of the domain, busy or free.
		Workers []worker.Spec
		// Free is the number of free accelerators, and Waiting the number that
		// the waiting jobs request.
		Free    int
		Waiting int
	}

	// CompletedRun holds the declared and the actual run time of a completed job.
	CompletedRun struct {
		Workspace ident.Workspace
		Class     jobs.Class
		Declared  time.Duration
		Actual    time.Duration
	}

	// Gang is a job that occupies workers.
	Gang struct {
		Job      jobs.Job
		Progress time.Duration
		// Saved is the progress in the last checkpoint.
		Saved time.Duration
		// Reclaiming reports whether the gang is being stopped so that other
		// jobs can use its workers.
		Reclaiming bool
	}

	// Claim is a guaranteed shape with its home in this domain, where it must
	// fit Count times.
	Claim = quota.Claim

	// Kind identifies what the shard owner does in an Action.
	Kind int

	// Action is one action that the shard owner has to carry out.
	Action struct {
		Kind   Kind
		Job    jobs.Job
		Slots  []jobs.Slot
		Reason string
		// To is the domain that a job moves to.
		To ident.Domain
	}

	// Policy is a scheduling policy. Benchmarks compare several of them.
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
	// Reclaim checkpoints and stops a gang so that the job named in the reason
	// can use its workers, or because the domain is out of service. The stopped
	// job returns to the queue.
	Reclaim
	// Refuse means that the job fits in no domain, even in an empty one.
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

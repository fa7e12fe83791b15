package gang

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Sight is what is known of a job's present attempt on one worker.
	Sight struct {
		// Answered reports whether the worker answered in this round.
		Answered bool
		// Seen is the instant of the last answer.
		Seen time.Time
		// Extended is the last instant at which a call without an answer can
		// have extended the leases of the tasks.
		Extended time.Time
		// Present reports whether the last answer named the attempt.
		Present bool
		Status  worker.Status
	}

	// Kind is what has to be done about a gang.
	Kind int

	// Verdict is the judgement about a gang.
	Verdict struct {
		Kind   Kind
		Reason string
		// Complete reports whether all members are known to run, so that
		// their leases may be renewed.
		Complete bool
		// Answered reports whether all workers of the gang answered in this
		// round.
		Answered bool
		// FailedOn lists the workers on which a task failed.
		FailedOn []ident.Worker
		// Saved is the progress that all members have saved.
		Saved time.Duration
		// Progress is the least progress of any member.
		Progress time.Duration
		Result   []byte
	}
)

// The kinds of verdict.
const (
	// Keep leaves the gang as it is.
	Keep Kind = iota
	// Confirm records that all members run.
	Confirm
	// Finish records that all members are done.
	Finish
	// TakeDown stops all members and puts the job back in the queue.
	TakeDown
	// Cancel stops all members and ends the job.
	Cancel
)

const (
	// Lease is the time for which a renewal lets a task run. It outlasts a
	// take-over of the shard, which takes the TTL of its lease (4 s), up to
	// two ranks of grace and one round of fencing.
	Lease = 12 * time.Second
	// Fresh is the time for which a report proves that a member runs.
	Fresh = 3 * time.Second
)

// Judge returns the verdict about a job that is starting or running. see
// returns what is known of each worker that the job holds.
func Judge(now time.Time, j jobs.Job, see func(ident.Worker) Sight) Verdict {
	v := Verdict{Complete: true, Answered: true, Saved: -1, Progress: -1}
	done := true
	for _, slot := range j.Slots {
		s := see(slot.Worker)
		v.add(s.Status)
		if reason := v.judgeMember(now, j, slot.Worker, s); reason != "" {
			v.Reason = reason
			v.Kind = TakeDown
		}
		done = done && s.Present && s.Status.State == worker.Done
	}
	v.Saved, v.Progress = max(v.Saved, 0), max(v.Progress, 0)
	switch {
	case j.CancelRequested:
		v.Kind, v.Reason, v.Complete = Cancel, "cancelled by the caller", false
	case v.Kind == TakeDown:
		v.Complete = false
	case done:
		v.Kind = Finish
	case j.State == jobs.Starting && v.Complete:
		v.Kind = Confirm
	}
	return v
}

// judgeMember returns why the gang must be taken down, or "".
func (v *Verdict) judgeMember(now time.Time, j jobs.Job, w ident.Worker, s Sight) string {
	if !s.Answered {
		v.Answered = false
		// A task may run for one lease after the last call that reached it.
		if silent := now.Sub(s.Seen); silent >= Lease && now.Sub(s.Extended) >= Lease {
			return fmt.Sprintf("worker %s has not answered for %v", w, silent.Round(time.Second))
		}
		if now.Sub(s.Seen) > Fresh {
			v.Complete = false
		}
	}
	if !s.Present {
		v.Complete = false
		if s.Answered {
			return fmt.Sprintf("the task on worker %s is gone", w)
		}
		return ""
	}
	return v.judgeStatus(j, w, s)
}

func (v *Verdict) judgeStatus(j jobs.Job, w ident.Worker, s Sight) string {
	switch s.Status.State {
	case worker.Running:
		return ""
	case worker.Done:
		if s.Status.Result != nil {
			v.Result = s.Status.Result
		}
		return ""
	case worker.Failed:
		v.FailedOn = append(v.FailedOn, w)
		return fmt.Sprintf("the task on worker %s failed: %s", w, s.Status.Detail)
	case worker.Reserved:
		// Starts are sent and answered within one round, so a member that is
		// still reserved in a later one has missed its start.
		v.Complete = false
		if s.Answered {
			return fmt.Sprintf("the start on worker %s did not arrive", w)
		}
		return ""
	}
	v.Complete = false
	return fmt.Sprintf("the task on worker %s is %v in attempt %d", w, s.Status.State, j.Attempt)
}

func (v *Verdict) add(s worker.Status) {
	if v.Saved < 0 || s.Saved < v.Saved {
		v.Saved = s.Saved
	}
	if v.Progress < 0 || s.Progress < v.Progress {
		v.Progress = s.Progress
	}
}

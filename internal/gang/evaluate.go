package gang

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Observation is the last known state of a job's current attempt on one
	// worker.
	Observation struct {
		// Answered reports whether the worker answered in this observation
		// round.
		Answered bool
		// AnsweredAt is the time of the worker's last answer.
		AnsweredAt time.Time
		// LeasesExtendedAt is the latest time at which a call, answered or not,
		// may have extended the leases of the tasks.
		LeasesExtendedAt time.Time
		// Present reports whether the last answer listed the attempt.
		Present bool
		// Status is the reported status of the attempt, if it is present.
		Status worker.Status
	}

	// Kind is the action that a verdict requires.
	Kind int

	// Verdict is the result of evaluating a gang.
	Verdict struct {
		Kind   Kind
		Reason string
		// Complete reports whether all members are known to run or to be done,
		// so that their leases may be renewed.
		Complete bool
		// Answered reports whether all workers of the gang answered in this
		// round.
		Answered bool
		// FailedOn lists the workers on which a task failed.
		FailedOn []ident.Worker
		// Saved is the progress that all members have checkpointed.
		Saved time.Duration
		// Progress is the minimum of the progress of the members.
		Progress time.Duration
		// Result is the result that a member reported when it was done.
		Result []byte
	}
)

// The kinds of verdict.
const (
	// Keep leaves the gang as it is.
	Keep Kind = iota
	// Confirm stores that all members run.
	Confirm
	// Finish stores that all members are done.
	Finish
	// TakeDown stops all members and puts the job back in the queue.
	TakeDown
	// Cancel stops all members and ends the job.
	Cancel
)

const (
	// TaskLease is the duration of a task lease. It is longer than a take-over of
	// the shard by another instance, which takes the TTL of the shard lease
	// (4 s), the grace of up to two ranks and one round of fencing, so tasks
	// keep running during a take-over.
	TaskLease = 12 * time.Second
	// ReportTTL is the time for which a report counts as evidence that a member
	// runs.
	ReportTTL = 3 * time.Second
)

// Evaluate returns the verdict on a job that is starting or running. It calls
// observe for each worker that the job occupies.
func Evaluate(now time.Time, j jobs.Job, observe func(ident.Worker) Observation) Verdict {
	v := Verdict{Complete: true, Answered: true, Saved: -1, Progress: -1}
	done := true
	for _, slot := range j.Slots {
		o := observe(slot.Worker)
		v.addProgress(o.Status)
		if reason := v.evaluateMember(now, j, slot.Worker, o); reason != "" {
			v.Reason = reason
			v.Kind = TakeDown
		}
		done = done && o.Present && o.Status.State == worker.Done
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

// evaluateMember evaluates the task on one worker. It returns the reason why the
// gang must be taken down, or "".
func (v *Verdict) evaluateMember(now time.Time, j jobs.Job, w ident.Worker, o Observation) string {
	if !o.Answered {
		v.Answered = false
		// A task may run for one lease after the last call that may have
		// reached it.
		if unanswered := now.Sub(o.AnsweredAt); unanswered >= TaskLease && now.Sub(o.LeasesExtendedAt) >= TaskLease {
			return fmt.Sprintf("worker %s has not answered for %v", w, unanswered.Round(time.Second))
		}
		if now.Sub(o.AnsweredAt) > ReportTTL {
			v.Complete = false
		}
	}
	if !o.Present {
		v.Complete = false
		if o.Answered {
			return fmt.Sprintf("the task on worker %s is gone", w)
		}
		return ""
	}
	return v.evaluateStatus(j, w, o)
}

// evaluateStatus evaluates the reported status of a task. It returns the reason
// why the gang must be taken down, or "".
func (v *Verdict) evaluateStatus(j jobs.Job, w ident.Worker, o Observation) string {
	switch o.Status.State {
	case worker.Running:
		return ""
	case worker.Done:
		if o.Status.Result != nil {
			v.Result = o.Status.Result
		}
		return ""
	case worker.Failed:
		v.FailedOn = append(v.FailedOn, w)
		return fmt.Sprintf("the task on worker %s failed: %s", w, o.Status.Detail)
	case worker.Reserved:
		// Start calls are sent and answered within one round. A member that is
		// still reserved in a later round has not received its start call.
		v.Complete = false
		if o.Answered {
			return fmt.Sprintf("the start on worker %s did not arrive", w)
		}
		return ""
	}
	v.Complete = false
	return fmt.Sprintf("the task on worker %s is %v in attempt %d", w, o.Status.State, j.Attempt)
}

// addProgress lowers Saved and Progress to those of a member. Negative values
// mean that no member has been added.
func (v *Verdict) addProgress(s worker.Status) {
	if v.Saved < 0 || s.Saved < v.Saved {
		v.Saved = s.Saved
	}
	if v.Progress < 0 || s.Progress < v.Progress {
		v.Progress = s.Progress
	}
}

package jobs

import (
	"fmt"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

// Begin returns j with the next attempt recorded on the given slots. The job
// must be pending, not cancelled, and the slots must hold all members.
func Begin(j Job, epoch int64, slots []Slot, now time.Time) (Job, error) {
	if j.State != Pending || j.CancelRequested {
		return j, fmt.Errorf("begin a job that is %v: %w", j.State, ErrState)
	}
	if n := Members(slots); n != j.Spec.Shape.Members {
		return j, fmt.Errorf("slots for %d of %d members: %w", n, j.Spec.Shape.Members, ErrState)
	}
	j.State = Starting
	j.Attempt++
	j.Epoch = epoch
	j.Slots = slices.Clone(slots)
	j.Started = now
	j.Reason = ""
	return j, nil
}

// Confirm returns j as running. The job must be starting, and the caller must
// know that all members run.
func Confirm(j Job) (Job, error) {
	if j.State != Starting {
		return j, fmt.Errorf("confirm a job that is %v: %w", j.State, ErrState)
	}
	j.State = Running
	return j, nil
}

// Requeue returns j as pending after its gang was taken down. Saved progress
// never falls, and a failed attempt is counted.
func Requeue(j Job, reason string, saved time.Duration, failedOn []ident.Worker) (Job, error) {
	if !j.State.Placed() {
		return j, fmt.Errorf("requeue a job that is %v: %w", j.State, ErrState)
	}
	j.State = Pending
	j.Slots = nil
	j.Reason = reason
	j.Saved = max(j.Saved, saved)
	if len(failedOn) > 0 {
		j.Failures++
		j.FailedOn = append(slices.Clone(j.FailedOn), failedOn...)
	}
	return j, nil
}

// End returns j in the given final state.
func End(j Job, s State, reason string, result []byte, now time.Time) (Job, error) {
	if j.State.Ended() || !s.Ended() {
		return j, fmt.Errorf("end a job that is %v as %v: %w", j.State, s, ErrState)
	}
	j.State = s
	j.Slots = nil
	j.Reason = reason
	j.Result = result
	j.Ended = now
	return j, nil
}

// Members returns the number of members that the slots hold.
func Members(slots []Slot) int {
	n := 0
	for _, s := range slots {
		n += s.Members
	}
	return n
}

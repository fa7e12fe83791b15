package jobs

import (
	"fmt"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

// Begin returns j as starting its next attempt on the given slots. The job must
// be pending without a cancel request, and the slots must have room for exactly
// its members.
func Begin(j Job, epoch int64, slots []Slot, now time.Time) (Job, error) {
	if j.State != Pending || j.CancelRequested {
		return j, fmt.Errorf("begin job in state %v: %w", j.State, ErrState)
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

// Confirm returns j as running. The job must be starting, and all its members
// must be known to run.
func Confirm(j Job) (Job, error) {
	if j.State != Starting {
		return j, fmt.Errorf("confirm job in state %v: %w", j.State, ErrState)
	}
	j.State = Running
	return j, nil
}

// Requeue returns j as pending after all its members were stopped. The saved
// progress never decreases. If failedOn is not empty, the attempt counts as
// failed.
func Requeue(j Job, reason string, saved time.Duration, failedOn []ident.Worker) (Job, error) {
	if !j.State.Placed() {
		return j, fmt.Errorf("requeue job in state %v: %w", j.State, ErrState)
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

// End returns j in the final state s. The job must not have ended yet.
func End(j Job, s State, reason string, result []byte, now time.Time) (Job, error) {
	if j.State.Ended() || !s.Ended() {
		return j, fmt.Errorf("end job in state %v as %v: %w", j.State, s, ErrState)
	}
	j.State = s
	j.Slots = nil
	j.Reason = reason
	j.Result = result
	j.Ended = now
	return j, nil
}

// Members returns the number of members on all slots.
func Members(slots []Slot) int {
	n := 0
	for _, s := range slots {
		n += s.Members
	}
	return n
}

// Package jobs defines the record of a job and its state transitions.
//
// A job is a gang of equal tasks, its members. It is pending until the owner of
// its shard has reserved workers for all members, then starting until all
// members are known to run, then running until it ends as done, failed or
// cancelled. A job that loses a member returns to pending, and its next start
// is a new attempt.
//
// # Usage
//
//	j, err := jobs.Begin(j, epoch, slots, now)
//	if err != nil {
//		return fmt.Errorf("begin job %s: %w", j.ID, err)
//	}
//
// The functions return a modified copy and never modify their argument, so a
// caller can commit the copy to the store and keep the old record if the
// commit fails.
package jobs

// Package jobs holds the record of a job and the rules of its life.
//
// A job is a gang of equal tasks. It is pending until the owner of its shard
// has reserved workers for all members, then starting until all members are
// known to run, then running until it ends as done, failed or cancelled. A
// gang that loses a member goes back to pending with the next attempt.
//
// # Usage
//
//	j, err := jobs.Begin(j, epoch, slots, now)
//	if err != nil {
//		return fmt.Errorf("begin job %s: %w", j.ID, err)
//	}
//
// The functions return a changed copy and never change their argument, so a
// caller commits the copy to the store and keeps the old record if the commit
// fails.
package jobs

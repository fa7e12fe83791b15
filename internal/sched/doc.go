// Package sched implements the scheduling policy of a shard: which waiting jobs
// start and on which workers, which running gangs are reclaimed, and which jobs
// are refused or moved to another failure domain.
//
// Capacity that no job inside a guarantee uses is lent to other jobs. A gang on
// lent capacity is reclaimed, that is, checkpointed and stopped, when a job
// inside a guarantee or one of higher priority needs its workers.
//
// A decision is a pure function of a View and the time. It makes no calls and
// keeps no state, so shard owners, benchmarks and tests run the same code.
//
// # Usage
//
//	policy := sched.Default()
//	for _, a := range policy.Decide(now, &view) {
//		switch a.Kind {
//		case sched.Place:
//			// Reserve the slots, store the start and start a.Job on a.Slots.
//		case sched.Wait:
//			// a.Reason is the reason why the job waits.
//		}
//	}
package sched

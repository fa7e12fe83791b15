// Package sched decides what a shard owner does next: which waiting jobs start
// and where, which running work is reclaimed, and which jobs are refused or
// moved.
//
// The decision is a function of a view of the shard and the time. It makes no
// calls and keeps no state, so that any front end, the measurements and the
// tests drive the same code.
//
// # Usage
//
//	policy := sched.Default()
//	for _, a := range policy.Decide(now, &view) {
//		switch a.Kind {
//		case sched.Place:
//			// Reserve, record and start a.Job on a.Slots.
//		case sched.Wait:
//			// a.Reason tells why the job waits.
//		}
//	}
package sched

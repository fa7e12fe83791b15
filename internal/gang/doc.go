// Package gang derives the state of a running gang from the reports of its
// workers: whether all members run, have ended, or must be stopped.
//
// # Usage
//
//	v := gang.Evaluate(now, job, func(w ident.Worker) gang.Observation { ... })
//	switch v.Kind {
//	case gang.Confirm:
//		// All members run: store it.
//	case gang.TakeDown:
//		// Stop every member, then put the job back in the queue.
//	}
//	if v.Complete {
//		// Renew the leases of the tasks.
//	}
//
// A gang is complete if each of its members was reported as running or done at
// most ReportTTL ago. The shard owner renews the task leases of complete gangs
// only. If a gang loses a member, the leases of the remaining tasks therefore
// expire and the tasks end, even if the owner fails as well.
package gang

// Package gang judges what the reports of workers mean for a job that holds
// workers: whether the gang is complete, has ended, or must be taken down.
//
// # Usage
//
//	v := gang.Judge(now, job, func(w ident.Worker) gang.Sight { ... })
//	switch v.Kind {
//	case gang.Confirm:
//		// All members run: record it.
//	case gang.TakeDown:
//		// Stop every member, then put the job back in the queue.
//	}
//	if v.Complete {
//		// Renew the leases of the tasks.
//	}
//
// A gang is complete only if each of its members was seen to run lately. The
// owner renews the leases of complete gangs alone, so the parts of a gang that
// lost a member end by themselves even if the owner dies too.
package gang

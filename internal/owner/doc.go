// Package owner runs the shard of one failure domain: it holds the lease,
// reads the workers and the queue, and acts on what the policy decides.
//
// A round passes through the filters hold, observe, renew, read, queue,
// reconcile, decide and act. Rounds of one shard follow one another; the shards
// run in their own goroutines, each with its state under its own lock. No lock
// is held during a call. A round that ends early, for example at read because
// the store does not answer, has renewed the leases of the running tasks.
//
// # Order of the reads
//
// The configuration is read after the reports, so the tick of a report proves
// to its worker that the configuration is no older than that report. The queue
// is read after the lease step, so a job that it shows as not started has not
// been started by an earlier owner: the start record checks the lease.
//
// # Usage
//
//	s := owner.NewShard(owner.Deps{Domain: "ub1", Table: table, Lease: keeper, ...})
//	go s.Run(ctx)
//	s.Wake() // a queue entry changed
//	summary, ok := s.Summary()
package owner

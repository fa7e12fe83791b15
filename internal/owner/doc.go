// Package owner schedules the jobs of one failure domain. The instance that
// holds the lease of the domain's shard is its owner: it polls the workers,
// reads the queue and carries out the decisions of the scheduling policy.
//
// The owner works in rounds. A round runs these filters in order:
//
//   - hold acquires or renews the lease of the shard.
//   - observe fences the workers and reads their reports.
//   - judge derives a verdict for each gang from the reports.
//   - renew extends the leases of the tasks of complete gangs.
//   - tend keeps renewing all leases while the rest of the round runs.
//   - read reads the configuration.
//   - queue loads the jobs that changed in the store.
//   - reconcile confirms, ends and takes down gangs, and stops orphaned attempts.
//   - decide asks the policy for actions.
//   - act performs them.
//
// The rounds of one shard run one after another. Each shard runs in its own
// goroutine, with its state under its own lock. No lock is held during a call
// to a worker or to the store. The task leases are renewed before the store is
// read, so they are extended even if the round ends early because the store
// does not answer.
//
// # Order of reads
//
// The configuration is read after the worker reports. The uptime in a report,
// which is a reading of the worker's own clock, then proves to the worker that
// the configuration is no older than the report.
//
// The queue is read after the lease has been acquired or renewed. The transaction
// that stores a start checks the lease, so no earlier owner can still start a
// job that the queue shows as not started.
//
// # Usage
//
//	s := owner.NewShard(owner.Deps{Domain: "ub1", Table: table, Lease: manager, ...})
//	go s.Run(ctx)
//	s.Wake() // a queue entry changed
//	summary, ok := s.Summary()
package owner

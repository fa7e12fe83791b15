// Package ledger stores jobs and their progress in the table service.
//
// Any instance accepts and cancels jobs; only the leader writes progress and the
// ends of jobs. Its transactions check and rewrite the row commits/sequence, so
// that they take effect one after another and only in the leader's own term. A
// transaction that the store carries out late, or that a former leader sends,
// finds another version there and fails.
//
// Reads of the store may be stale, that is, older than what it has acknowledged.
// A read that finds no job is therefore followed by a transaction whose answer
// contains the current rows.
//
// # Rows
//
//	jobs/ID             the job as accepted; written by the accepting instance
//	progress/ID         the placed runs, done tasks, failures and checkpoints;
//	                    written by the leader before it starts the runs
//	ended/ID            the final phase, which replaces the two rows above; or a mark
//	                    that the job was cancelled before it was accepted
//	workers/ID          a worker that may run tasks; written by the leader
//	term/lease          the leader, its address and epoch; renewed by the leader
//	lead/lease          the same in earlier versions; written at each acquisition
//	commits/sequence    the epoch and number of the leader's last transaction
//
// # Usage
//
//	l := ledger.New(table)
//	outcome, err := l.Accept(ctx, job)
//	w := ledger.NewWriter(table, epoch, version)
//	err = w.Commit(ctx, ledger.Batch{Puts: puts, Deletes: keys})
package ledger

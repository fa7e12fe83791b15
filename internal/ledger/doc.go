// Package ledger keeps jobs and their progress in the table service.
//
// Any instance accepts and cancels jobs; only the leader writes progress and
// ends. Its transactions check and rewrite the row commits/sequence, so that
// they take effect one after another and only in the leader's own term: a
// transaction that the store carries out late, or that a former leader sends,
// finds another version there and has no effect.
//
// # Rows
//
//	jobs/ID             the job as accepted; written by the accepting instance
//	progress/ID         the done tasks, failures and checkpoints; by the leader
//	ended/ID            the final phase, in place of the two rows above
//	workers/ID          a worker that may run tasks; by the leader
//	lead/lease          the leader, its address and epoch; renewed by it
//	lead/epoch          the epoch, written when a term begins
//	commits/sequence    the number of the leader's last transaction
//
// A job is stored under a check of the epoch's row and names that epoch, so
// that no leader of an earlier epoch ever starts it: it finds out that its
// term is over.
//
// # Usage
//
//	l := ledger.New(table, elector.Epoch)
//	outcome, err := l.Accept(ctx, job)
//	w := ledger.NewWriter(table, epoch, version)
//	err = w.Commit(ctx, ledger.Batch{Puts: puts, Deletes: keys})
package ledger

// Package claim stores in the table service which instance is responsible for
// a non-idempotent request, so that the request runs at most once.
//
// A claim is a row that is created only if it does not exist. It contains the
// claimant and a nonce. Claims use group commit: one transaction commits all
// claims that arrived while the previous one was in progress, up to a limit. If
// some of them conflict, the others are committed again without them.
//
// Take ends in one of four ways:
//
//   - Result.Mine is true: this call made the claim and may send the request;
//   - Result.Mine is false: another claimant made the claim. The result names
//     it, so that it can be asked for the outcome;
//   - store.ErrUnavailable: no claim was made and none will be made by this
//     call;
//   - ErrUnresolved: it is not known whether the claim was made. The request
//     must not be sent. A later Take with the same nonce may resolve it.
//
// If the answer to a commit is lost, the row is read and its nonce compared. A
// row that is absent at that time may still appear, because the transaction may
// still be in transit. The claim is therefore committed again with the same
// nonce: if the first transaction is applied in between, the second one
// conflicts, and the row read after that has the nonce of this call.
//
// # Retention
//
// A claim is kept for Settings.Retention, measured by the claimant's clock. An
// instance deletes its own expired claims in the transactions that add new
// ones, which costs no additional write. The claims of instances that no longer
// run are deleted by a Sweeper, which one instance runs. Both check the version
// of the row, so that a later claim of the same identifier is never deleted. A
// caller must not use an identifier again after Retention.
//
// # Usage
//
//	g := claim.New(table, "entry-1", claim.DefaultSettings())
//	res, err := g.Take(ctx, ws, id, claim.NewNonce())
//	switch {
//	case errors.Is(err, store.ErrUnavailable):
//		// Refuse: the request was not run.
//	case err != nil:
//		// The outcome is unknown; do not send the request.
//	case !res.Mine:
//		// Ask res.Claimant.
//	}
package claim

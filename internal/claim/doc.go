// Package claim records in the table service that one instance took a
// non-idempotent request, so that the request runs at most once.
//
// A claim is a row that must not exist before. It holds the claimant and a
// nonce. Claims use group commit: one transaction carries all claims that
// arrived while the previous one was in progress, up to a bound. If some of
// them conflict, the rest is committed again without them.
//
// Take ends in one of four ways:
//
//   - the claim is ours: the request may be sent;
//   - the claim is another's: the result names the claimant, who can be asked;
//   - store.ErrUnavailable: no claim was made and none will be;
//   - ErrUnresolved: it is not known whether the claim was made. The request
//     must not be sent. A later Take with the same nonce may resolve it.
//
// After a lost answer the row is read and its nonce compared. A row that is
// absent at that time may still appear, because the lost transaction may be
// on its way. The claim is therefore committed again with the same nonce: if
// the first transaction arrives in between, the second one conflicts and the
// row that is then read has our nonce.
//
// # Retention
//
// A claim is kept for Retention, counted by the claimant's clock. An instance
// deletes its own old claims in the transactions that carry new ones, which
// costs no write. The claims of instances that are gone are deleted by a
// Sweeper, which one instance runs. Both check the version of the row, so
// that a later claim of the same identifier is never deleted. A caller must
// not use an identifier again after Retention.
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

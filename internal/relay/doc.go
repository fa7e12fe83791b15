// Package relay forwards a caller's request to an endpoint and returns the
// complete answer.
//
// A request passes through a chain of filters: validate, admit, claim, deliver,
// answer. Deliver runs a second chain for each attempt: route, share, send,
// check. The callers of this package authenticate requests and convert them to
// and from their encodings; the package itself depends on no encoding.
//
// # Outcomes
//
// Done means that the caller has the complete answer to its own request. NotRun
// means that, in each attempt, no byte of the request was written to an
// endpoint or the endpoint itself refused the request. Every other case is
// Unknown. An outcome applies only to the submission that it answers: a caller
// that submitted the same identifier to another instance before, and lost the
// answer, must not take NotRun as the outcome of the earlier submission.
//
// # Duplicates
//
// In one instance, submissions with the same workspace and identifier share
// one flight, like the calls of golang.org/x/sync/singleflight: later ones wait
// for the answer of the first. The answer to a non-idempotent request is
// retained for a bounded time, within a bounded number of answers and bytes.
// The flight of an idempotent request is cancelled when all of its callers have
// gone. That of a non-idempotent request continues, so that its outcome is
// known when the caller asks again. A submission that uses an identifier again
// for a different request is answered Unknown.
//
// # Non-idempotent requests
//
// A non-idempotent request is claimed in the store before it is sent, and is
// sent again only after an attempt that provably did not run it. If it ends
// without having run, the instance keeps the claim and records that it holds
// it:
//
//   - The caller's next submission at this instance uses the same claim.
//   - Another instance that finds the claim's row asks the claimant by Resolve.
//     The first one to ask is answered NotRun and may run the request in place
//     of the claimant. From then on the claimant does not run the request. It
//     names the new holder to instances that ask later, and asks the new holder
//     itself when a caller submits the request here again.
//
// The reuse and the handover of a claim both happen under the lock of the
// flight's shard, so only one of them can take effect. If the answer to Resolve
// is lost, no instance may run the request and its outcome stays Unknown. The
// same holds if the record of the claim was evicted: the row then names this
// instance, which no longer knows the outcome.
//
// A claim whose commit is unresolved counts as held for these purposes, but
// is committed again with the same nonce before it is used. Another instance
// asks only after it has read the row, which shows that the claim exists.
//
// A claim may be used for ClaimTTL, however often the caller retries and the
// claim is handed over. Once MaxDeadline, for the last attempt, has passed as
// well, its row may be deleted without the risk of a second run.
//
// # Retries
//
// An attempt that wrote no byte is followed by one on another endpoint without
// using the retry budget, since it put no load on an endpoint. After a refusal
// by the endpoint, or a lost answer of an idempotent request, another attempt
// uses the service's retry budget. MaxAttempts bounds the attempts of all
// kinds.
//
// # Link between regions
//
// The filter share asks whether the request may cross the link to the region of
// the endpoint now. If not, the request releases the endpoint and its queue
// slot, waits, and is then admitted and routed again, possibly to an endpoint
// in its own region. This does not count as an attempt, since nothing was sent.
//
// # Usage
//
//	r := relay.New(calls, routes, relay.DefaultSettings(), log)
//	r.UpdateEndpoints(list, now) // after each read of the platform's list
//	answer := r.Do(ctx, req)
//	// Planned stop:
//	err := r.Drain(ctx)
package relay

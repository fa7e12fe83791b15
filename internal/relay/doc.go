// Package relay carries a request from a caller to an endpoint and the whole
// answer back.
//
// The path is a chain of filters: validate, admit, claim, deliver, answer.
// Deliver runs a second chain for each attempt: route, share, send, check. Front ends
// identify the caller and convert messages; this package knows no encoding.
//
// # Outcomes
//
// Done means that the caller has the complete answer to its own request. NotRun
// means that no byte of the request was written to an endpoint, or that the
// endpoint itself refused it, in each attempt. Every other case is Unknown. A
// refusal speaks of the submission that it answers: a caller that submitted
// the same identifier before, elsewhere, and lost that answer must not read it
// as a statement about the earlier submission.
//
// # Duplicates
//
// Submissions of one identifier of a workspace in one instance share one
// flight: later ones wait for the answer of the first. The answer of a
// non-idempotent request is remembered for a bounded time and size. A flight
// of an idempotent request is cancelled when all of its callers have gone; one
// of a non-idempotent request runs on, so that its outcome is known when the
// caller asks again. An identifier that comes back with another body is
// answered Unknown.
//
// # Non-idempotent requests
//
// A non-idempotent request is claimed before it is sent and sent again only
// after an attempt that provably did not run it. When it ends without having
// been run, the instance keeps the claim and remembers that it holds it:
//
//   - the caller's next submission at this instance uses the same claim;
//   - another instance that meets the claim asks by Resolve. The first one to
//     ask is answered NotRun and may run the request in place of the claimant.
//     From then on this instance does not run it, but tells who may: later
//     askers are sent there, and its own callers' submissions ask there.
//
// Both happen under the lock of the flight's shard, so only one of them can.
// If the answer to Resolve is lost, nobody may run the request and its outcome
// stays Unknown. The same holds when the memory of the claim was evicted: the
// row then names this instance, which no longer knows the outcome.
//
// A claim whose commit is unresolved counts as held for these purposes, but
// is committed again with the same nonce before it is used. Another instance
// asks only after it has read the row, which shows that the claim exists.
//
// A claim may be used for ClaimLife, however often the caller tries again and
// the claim is handed over. After that, and MaxDeadline for the last attempt,
// its row may be deleted without the risk of a second run.
//
// # Retries
//
// An attempt that wrote no byte is followed by one on another endpoint
// without cost to the budget, since it puts no load on endpoints. After a
// refusal by the endpoint, or a lost answer of an idempotent request, another
// attempt takes from the service's retry budget. MaxAttempts bounds all of
// them.
//
// # Link between regions
//
// The filter share asks whether a request may cross the link to the region of
// the endpoint now. If not, the request gives the endpoint and its place in the
// queue back, waits, and is admitted and routed again, which may find an endpoint in its own region. That is no
// attempt: nothing was sent.
//
// # Usage
//
//	r := relay.New(calls, routes, relay.DefaultSettings(), log)
//	r.UpdateEndpoints(list, now) // each time the platform's list was read
//	ans := r.Do(ctx, req)
//	// A planned stop:
//	err := r.Drain(ctx)
package relay

package relay

import (
	"context"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

// Resolve tells another instance, the asker, the outcome of a request that this
// instance has claimed. It waits for a request in flight until ctx ends. The
// answer NotRun hands the claim over to the asker and is given at most once.
// An asker without a name gets the same answers, but later askers are then not
// told whom to ask.
func (r *Relay) Resolve(ctx context.Context, asker ident.Instance, ws ident.Workspace, id ident.Request) Answer {
	for {
		f, ans := r.known(asker, ws, id)
		if f == nil {
			return ans
		}
		select {
		case <-f.done:
		case <-ctx.Done():
			return Answer{Reason: ReasonDeadline, Detail: "the request is still in flight"}
		}
	}
}

// known returns the answer to a Resolve, or the flight to wait for.
func (r *Relay) known(asker ident.Instance, ws ident.Workspace, id ident.Request) (f *flight, ans Answer) {
	now := time.Now()
	r.flights.Update(keyOf(ws, id), func(old *flight, ok bool) (*flight, bool) {
		switch {
		case !ok:
			ans = Answer{Reason: ReasonForgotten, Detail: "the claimant does not know the request"}
			return nil, false
		case old.stage == flying:
			f = old
		case old.stage == answered:
			ans = old.answer
		case old.stage == givenUp:
			ans = Answer{Reason: ReasonGivenUp, Detail: "another instance may run the request", Holder: old.claim.holder}
		case old.stage == held && now.Before(old.claim.until):
			ans = Answer{
				Outcome: NotRun, Reason: old.answer.Reason, Detail: "the claim is given up",
				Remaining: old.claim.until.Sub(now),
			}
			old.stage = givenUp
			old.claim.sure, old.claim.maybe, old.claim.holder = false, false, asker
		case old.stage == held:
			ans = Answer{Reason: ReasonForgotten, Detail: "the claim is too old to be used"}
		}
		return old, true
	})
	return f, ans
}

package relay

import (
	"context"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

// Resolve returns to another instance, the asker, the outcome of a request that
// this instance has claimed. If the request is in flight, it waits for the
// outcome until ctx ends. The answer NotRun hands the claim over to the asker
// and is given at most once. The asker's name may be empty; the answers are the
// same, but later askers are then not told which instance holds the claim.
func (r *Relay) Resolve(ctx context.Context, asker ident.Instance, ws ident.Workspace, id ident.Request) Answer {
	for {
		f, answer := r.lookUp(asker, ws, id)
		if f == nil {
			return answer
		}
		select {
		case <-f.done:
		case <-ctx.Done():
			return Answer{Reason: ReasonDeadline, Detail: "the request is still in flight"}
		}
	}
}

// lookUp returns the answer to a call of Resolve, or the flight to wait for. It
// hands a held claim over to the asker.
func (r *Relay) lookUp(asker ident.Instance, ws ident.Workspace, id ident.Request) (f *flight, answer Answer) {
	now := time.Now()
	r.flights.Update(keyOf(ws, id), func(current *flight, ok bool) (*flight, bool) {
		switch {
		case !ok:
			answer = Answer{Reason: ReasonForgotten, Detail: "the claimant has no record of the request"}
			return nil, false
		case current.stage == stageInFlight:
			f = current
		case current.stage == stageAnswered:
			answer = current.answer
		case current.stage == stageHandedOver:
			answer = Answer{Reason: ReasonGivenUp, Detail: "the claim was handed over to another instance", Holder: current.claim.holder}
		case current.stage == stageClaimHeld && now.Before(current.claim.expires):
			answer = Answer{
				Outcome: NotRun, Reason: current.answer.Reason, Detail: "the claim is handed over to the asking instance",
				Remaining: current.claim.expires.Sub(now),
			}
			current.stage = stageHandedOver
			current.claim.held, current.claim.unresolved, current.claim.holder = false, false, asker
		case current.stage == stageClaimHeld:
			answer = Answer{Reason: ReasonForgotten, Detail: "the claim has expired"}
		}
		return current, true
	})
	return f, answer
}

package relay

import (
	"context"
	"time"

	"github.com/baobabquay/baobabquay/internal/claim"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/cespare/xxhash/v2"
)

type (
	// flightKey identifies a request within the instance: its workspace and
	// identifier.
	flightKey string

	// stage shows whether a flight is in progress and, if not, what is
	// retained of it.
	stage int

	// flight is the shared execution of all submissions of a request in this
	// instance, from the first one until its answer is evicted. The fields
	// from stage on are guarded by the lock of the flight's shard of the map;
	// the others are constant.
	flight struct {
		key           flightKey
		fingerprint   uint64
		nonIdempotent bool
		ctx           context.Context
		cancel        context.CancelFunc
		// done is closed when answer is set.
		done chan struct{}

		stage   stage
		waiters int
		answer  Answer
		expires time.Time
		claim   claimState
	}

	// claimState is what this instance knows about its claim to run a
	// request.
	claimState struct {
		nonce string
		// unresolved is true if it is not known whether a commit of the claim
		// took effect.
		unresolved bool
		// held is true if this instance is the one that may run the request.
		held bool
		// holder is the instance that the claim was handed over to. It is empty
		// if the claim was not handed over, or was handed over to an instance
		// that did not give its name.
		holder ident.Instance
		// expires is when the claim may no longer be used, because its row may
		// be deleted some time later.
		expires time.Time
	}
)

const (
	// stageInFlight means that the request has no answer yet.
	stageInFlight stage = iota
	// stageAnswered means that the answer is retained.
	stageAnswered
	// stageClaimHeld means that this instance claimed the request, or may
	// have claimed it, and provably did not run it.
	stageClaimHeld
	// stageHandedOver means that the claim was handed over to another
	// instance.
	stageHandedOver
)

func keyOf(ws ident.Workspace, id ident.Request) flightKey {
	return flightKey(string(ws) + "\x00" + string(id))
}

func newFlight(req Request, now time.Time) *flight {
	f := &flight{
		key:           keyOf(req.Workspace, req.ID),
		fingerprint:   fingerprint(req),
		nonIdempotent: req.NonIdempotent,
		done:          make(chan struct{}),
		waiters:       1,
		claim:         claimState{nonce: claim.NewNonce()},
	}
	f.ctx, f.cancel = context.WithTimeout(context.Background(), req.Deadline.Sub(now))
	return f
}

// fingerprint returns a hash by which the reuse of an identifier for a different
// request is detected. A collision can affect only the workspace that caused it.
func fingerprint(req Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{string(req.Service), req.ContentType} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.Body)
	sum := h.Sum64()
	if req.NonIdempotent {
		sum = ^sum
	}
	return sum
}

// join returns the flight of the request. The flight is new if joined is false,
// and the caller must then execute it. If the flight is nil, the request needs
// none and the answer is returned.
func (r *Relay) join(req Request, now time.Time) (f *flight, joined bool, answer Answer) {
	r.flights.Update(keyOf(req.Workspace, req.ID), func(current *flight, ok bool) (*flight, bool) {
		if ok && current.stage != stageInFlight && now.After(current.expires) {
			ok = false
		}
		if ok && current.fingerprint != fingerprint(req) {
			answer = Answer{Reason: ReasonIDReused, Detail: "the identifier was used for a different request"}
			return current, true
		}
		if ok && current.stage == stageInFlight {
			current.waiters++
			f, joined = current, true
			return current, true
		}
		if ok && current.stage == stageAnswered {
			answer = current.answer
			return current, true
		}
		if ok && current.stage == stageHandedOver && current.claim.holder == "" {
			answer = Answer{Reason: ReasonGivenUp, Detail: "the claim was handed over to another instance"}
			return current, true
		}
		if !r.inFlight.beginFlight() {
			// A held claim is kept, so that another instance can still ask for
			// it.
			answer = Answer{Outcome: NotRun, Reason: ReasonStopping, Detail: "the instance is stopping"}
			if req.NonIdempotent && req.Resubmitted && (!ok || !current.claim.held) {
				// An earlier submission may have run through another instance.
				answer.Outcome = Unknown
			}
			return current, ok
		}
		f = newFlight(req, now)
		if ok {
			f.claim = current.claim
		}
		return f, true
	})
	return f, joined, answer
}

// execute runs the request, publishes its answer and retains the flight if its
// outcome may be asked for later.
func (r *Relay) execute(f *flight, req Request) {
	defer r.inFlight.endFlight()
	defer f.cancel()
	d := &delivery{req: req, claim: f.claim}
	answer := r.run(f.ctx, d)
	now, retained := time.Now(), false
	r.flights.Update(f.key, func(current *flight, ok bool) (*flight, bool) {
		f.answer = answer
		f.claim = d.claim
		f.expires = now.Add(r.settings.AnswerRetention)
		close(f.done)
		if !ok || current != f {
			return current, ok
		}
		f.stage = d.finalStage(answer)
		if (f.stage == stageClaimHeld || f.stage == stageHandedOver) && f.expires.Before(f.claim.expires) {
			// Other instances may ask for the claim until it expires.
			f.expires = f.claim.expires
		}
		retained = f.stage != stageInFlight
		return f, retained
	})
	if retained {
		r.retain(f, now)
	}
}

// finalStage returns the stage of a request that has ended, or stageInFlight if
// nothing of it is retained.
func (d *delivery) finalStage(answer Answer) stage {
	switch {
	case !d.req.NonIdempotent:
		return stageInFlight
	case d.answerLost || answer.Outcome == Done:
		return stageAnswered
	case d.claim.holder != "":
		return stageHandedOver
	case d.claim.held || d.claim.unresolved:
		return stageClaimHeld
	}
	return stageInFlight
}

// await returns the answer of the flight, or Unknown when the caller's own
// deadline or context ends first.
func (r *Relay) await(ctx context.Context, f *flight, req Request) Answer {
	// The flight itself ends at the deadline of its first caller; the margin
	// gives it time to publish its answer.
	timer := time.NewTimer(time.Until(req.Deadline) + answerMargin)
	defer timer.Stop()
	reason := ReasonDeadline
	select {
	case <-f.done:
	case <-ctx.Done():
		reason = ReasonCallerGone
	case <-timer.C:
	}
	var answer Answer
	r.flights.Update(f.key, func(current *flight, ok bool) (*flight, bool) {
		f.waiters--
		if f.finished() {
			answer = f.answer
			return current, ok
		}
		answer = Answer{Reason: reason, Detail: "the request is still in flight"}
		if f.nonIdempotent || f.waiters > 0 {
			return current, ok
		}
		f.cancel()
		return current, ok && current != f
	})
	return answer
}

func (f *flight) finished() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

package relay

import (
	"context"
	"time"

	"github.com/baobabquay/baobabquay/internal/claim"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/cespare/xxhash/v2"
)

type (
	// flightKey names a request within the instance.
	flightKey string

	// stage tells what an instance knows about a request.
	stage int

	// flight is a request in this instance, from its first submission until
	// its answer is forgotten. All but the constant fields are under the lock
	// of the flight's part of the map.
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
		claim   heldClaim
	}

	// heldClaim is what an instance knows about its right to run a request.
	heldClaim struct {
		nonce string
		// maybe is true if a commit of the claim is unresolved.
		maybe bool
		// sure is true if this instance is the one that may run the request.
		sure bool
		// holder is the instance that the right was handed to. It is empty if
		// it was not handed over, or to an instance that did not give its name.
		holder ident.Instance
		// until is when the claim may no longer be used, because its row may
		// be deleted some time later.
		until time.Time
	}
)

const (
	// flying means that the request is on its way.
	flying stage = iota
	// answered means that the answer is remembered.
	answered
	// held means that this instance claimed the request, or may have, and
	// provably did not run it.
	held
	// givenUp means that the claim was handed to another instance.
	givenUp
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
		claim:         heldClaim{nonce: claim.NewNonce()},
	}
	f.ctx, f.cancel = context.WithTimeout(context.Background(), req.Deadline.Sub(now))
	return f
}

// fingerprint tells an identifier that is used again for another request. A
// collision can only affect the workspace that made it.
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

// join returns the flight of the request, which is new if joined is false. If
// the flight is nil, the answer is already known.
func (r *Relay) join(req Request, now time.Time) (f *flight, joined bool, ans Answer) {
	r.flights.Update(keyOf(req.Workspace, req.ID), func(old *flight, ok bool) (*flight, bool) {
		if ok && old.stage != flying && now.After(old.expires) {
			ok = false
		}
		if ok && old.fingerprint != fingerprint(req) {
			ans = Answer{Reason: ReasonIDReused, Detail: "the identifier belongs to another request"}
			return old, true
		}
		if ok && old.stage == flying {
			old.waiters++
			f, joined = old, true
			return old, true
		}
		if ok && old.stage == answered {
			ans = old.answer
			return old, true
		}
		if ok && old.stage == givenUp && old.claim.holder == "" {
			ans = Answer{Reason: ReasonGivenUp, Detail: "another instance may run the request"}
			return old, true
		}
		if !r.busy.enterFlight() {
			// A held claim is kept for other instances to ask for.
			ans = Answer{Outcome: NotRun, Reason: ReasonStopping, Detail: "the instance is stopping"}
			return old, ok
		}
		f = newFlight(req, now)
		if ok {
			f.claim = old.claim
		}
		return f, true
	})
	return f, joined, ans
}

// fly runs the request and publishes its answer.
func (r *Relay) fly(f *flight, req Request) {
	defer r.busy.leaveFlight()
	defer f.cancel()
	p := &delivery{req: req, claim: f.claim}
	ans := r.run(f.ctx, p)
	now, kept := time.Now(), false
	r.flights.Update(f.key, func(present *flight, ok bool) (*flight, bool) {
		f.answer = ans
		f.claim = p.claim
		f.expires = now.Add(r.settings.Memory)
		close(f.done)
		if !ok || present != f {
			return present, ok
		}
		f.stage = p.lastStage(ans)
		if (f.stage == held || f.stage == givenUp) && f.expires.Before(f.claim.until) {
			// Other instances may ask for as long as the claim may be used.
			f.expires = f.claim.until
		}
		kept = f.stage != flying
		return f, kept
	})
	if kept {
		r.remember(f, now)
	}
}

// lastStage returns what is remembered of a request, or flying for nothing.
func (p *delivery) lastStage(ans Answer) stage {
	switch {
	case !p.req.NonIdempotent:
		return flying
	case p.lost || ans.Outcome == Done:
		return answered
	case p.claim.holder != "":
		return givenUp
	case p.claim.sure || p.claim.maybe:
		return held
	}
	return flying
}

// await returns the answer of the flight, or Unknown when the caller's own
// deadline or context ends first.
func (r *Relay) await(ctx context.Context, f *flight, req Request) Answer {
	// The flight itself ends at the deadline of its first caller; the margin
	// lets it say what it knows.
	timer := time.NewTimer(time.Until(req.Deadline) + answerMargin)
	defer timer.Stop()
	reason := ReasonDeadline
	select {
	case <-f.done:
	case <-ctx.Done():
		reason = ReasonCallerGone
	case <-timer.C:
	}
	var ans Answer
	r.flights.Update(f.key, func(present *flight, ok bool) (*flight, bool) {
		f.waiters--
		if f.finished() {
			ans = f.answer
			return present, ok
		}
		ans = Answer{Reason: reason, Detail: "the request is still in flight"}
		if f.nonIdempotent || f.waiters > 0 {
			return present, ok
		}
		f.cancel()
		return present, ok && present != f
	})
	return ans
}

func (f *flight) finished() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/limit"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// delivery is the state of one request as it passes through the chains.
	// Only one goroutine at a time uses it.
	delivery struct {
		req     Request
		service config.Service
		state   *serviceState
		// admitted is true while the request holds a queue slot.
		admitted bool

		claim claimState
		// answeredElsewhere is true if another instance gave the answer.
		answeredElsewhere bool

		attempt  Attempt
		attempts int
		tried    []ident.Endpoint
		lease    route.Lease
		leased   bool
		result   route.Result
		reply    Reply
		// mayHaveRun is true while the current attempt may have run.
		mayHaveRun bool
		// answerLost is true once an attempt may have run and its answer was
		// not received.
		answerLost bool

		answer Answer
	}
)

const (
	// answerMargin is the time that a flight has after its deadline to publish
	// its answer.
	answerMargin = 100 * time.Millisecond
	// maxQueueWaitFraction is the fraction of the remaining time that a request
	// may wait for a queue slot. The rest is reserved for running it.
	maxQueueWaitFraction = 0.75
	// maxHandovers bounds the number of instances that are asked in turn for
	// the outcome of one request.
	maxHandovers = 8
	// queueRetryAfter is the RetryAfter of requests that are not admitted or
	// that find too many others waiting for the store.
	queueRetryAfter = time.Second
)

// run passes the request through the chain and logs its outcome.
func (r *Relay) run(ctx context.Context, d *delivery) Answer {
	err := r.requestChain.Run(ctx, d)
	d.releaseQueueSlot()
	answer := d.conclude(err)
	if d.state != nil {
		d.state.outcomes[answer.Outcome].Inc()
	}
	r.logOutcome(d, answer)
	return answer
}

// conclude returns the answer of a delivery that ended with err. An error that
// is not an outcomeError means that the deadline ended between two filters.
func (d *delivery) conclude(err error) Answer {
	if err == nil {
		return d.answer
	}
	var outcomeErr *outcomeError
	answer := Answer{Outcome: NotRun, Reason: ReasonDeadline, Detail: err.Error()}
	if errors.As(err, &outcomeErr) {
		answer = outcomeErr.answer
	}
	if answer.Outcome == NotRun && d.inDoubt() {
		answer.Outcome = Unknown
	}
	return answer
}

// inDoubt reports whether the request may have run although the delivery ended
// with NotRun: the answer of an attempt was lost, an unresolved claim may turn
// out to be another instance's, the claim was handed over to another instance,
// or an earlier submission may have run elsewhere.
func (d *delivery) inDoubt() bool {
	resubmitted := d.req.NonIdempotent && d.req.Resubmitted
	return d.answerLost || !d.claim.held && (d.claim.unresolved || d.claim.holder != "" || resubmitted)
}

func (r *Relay) logOutcome(d *delivery, answer Answer) {
	id := event.RequestLost
	switch answer.Outcome {
	case Done:
		id = event.RequestDone
	case NotRun:
		id = event.RequestNotRun
	case Unknown:
	}
	r.log.Write(id, "workspace", d.req.Workspace, "request", d.req.ID, "service", d.req.Service,
		"attempts", d.attempts, "reason", answer.Reason, "detail", answer.Detail)
}

func (r *Relay) validate(_ context.Context, d *delivery) error {
	for _, name := range []string{string(d.req.Workspace), string(d.req.ID), string(d.req.Service)} {
		if err := ident.Check(name); err != nil {
			return newOutcomeError(NotRun, ReasonInvalid, err.Error())
		}
	}
	c := r.calls.Config()
	s, ok := c.Service(d.req.Service)
	if !ok {
		return newOutcomeError(NotRun, ReasonNoService, fmt.Sprintf("no service %q", d.req.Service))
	}
	if !s.Allows(d.req.Workspace) {
		return newOutcomeError(NotRun, ReasonForbidden, fmt.Sprintf("workspace %q may not use service %q", d.req.Workspace, s.Name))
	}
	if n := shape.Bytes(len(d.req.Body)); n > c.Limits.MaxBody {
		return newOutcomeError(NotRun, ReasonTooLarge, fmt.Sprintf("body of %d bytes, at most %d are allowed", n, c.Limits.MaxBody))
	}
	d.service = s
	d.state = r.stateOf(c, s, d.queueLimit())
	return nil
}

// admit waits for a slot in the queue of the service.
func (r *Relay) admit(ctx context.Context, d *delivery) error {
	wait := time.Duration(maxQueueWaitFraction * float64(time.Until(d.req.Deadline)))
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	err := d.state.queue.Acquire(waitCtx, d.req.Workspace, d.req.Class)
	switch {
	case errors.Is(err, limit.ErrShed):
		return newRetryableError(NotRun, ReasonOverload, err.Error(), queueRetryAfter)
	case err != nil && r.routes.Capacity(d.req.Service, time.Now()) == 0:
		return newRetryableError(NotRun, ReasonNoEndpoint, err.Error(), queueRetryAfter)
	case err != nil:
		return newRetryableError(NotRun, ReasonDeadline, err.Error(), queueRetryAfter)
	}
	d.admitted = true
	return nil
}

// claim takes the claim to a non-idempotent request for this instance, or gets
// the answer from the instance that holds it. The request releases its queue
// slot while it waits for the store, so that a slow store does not keep
// idempotent requests from the endpoints.
func (r *Relay) claim(ctx context.Context, d *delivery) error {
	if !d.req.NonIdempotent {
		return nil
	}
	if err := d.checkClaimExpiry(time.Now(), r.settings.ClaimTTL); err != nil {
		return err
	}
	if d.claim.held {
		return nil
	}
	d.releaseQueueSlot()
	if !d.state.beginClaim(d.queueLimit()) {
		return newRetryableError(NotRun, ReasonOverload, "too many requests wait for the store", queueRetryAfter)
	}
	err := r.takeClaim(ctx, d)
	d.state.endClaim()
	if err != nil || d.answeredElsewhere {
		return err
	}
	return r.admit(ctx, d)
}

// checkClaimExpiry sets the expiry of a new claim. It drops a claim that has
// expired and returns an error.
func (d *delivery) checkClaimExpiry(now time.Time, ttl time.Duration) error {
	if d.claim.expires.IsZero() {
		d.claim.expires = now.Add(ttl)
	}
	if now.Before(d.claim.expires) {
		return nil
	}
	d.claim = claimState{}
	return newOutcomeError(Unknown, ReasonForgotten, "the claim has expired")
}

func (r *Relay) takeClaim(ctx context.Context, d *delivery) error {
	if d.claim.holder != "" {
		return r.askHolder(ctx, d, d.claim.holder)
	}
	res, err := r.calls.Take(ctx, d.req.Workspace, d.req.ID, d.claim.nonce)
	switch {
	case errors.Is(err, store.ErrUnavailable):
		return newRetryableError(NotRun, ReasonStoreDown, err.Error(), r.settings.StoreRetry)
	case err != nil:
		d.claim.unresolved = true
		return newOutcomeError(Unknown, ReasonClaimUnresolved, err.Error())
	case res.Mine:
		d.claim.held = true
		return nil
	}
	r.log.Write(event.RequestClaim, "workspace", d.req.Workspace, "request", d.req.ID, "claimant", res.Claimant)
	if res.Claimant == r.settings.Instance {
		return newOutcomeError(Unknown, ReasonForgotten, "this instance claimed the request and no longer knows its outcome")
	}
	return r.askHolder(ctx, d, res.Claimant)
}

// askHolder gets the outcome from the instance that claimed the request, or from
// the one that the claim was handed over to.
func (r *Relay) askHolder(ctx context.Context, d *delivery, holder ident.Instance) error {
	for range maxHandovers {
		askedAt := time.Now()
		answer, err := r.calls.Resolve(ctx, holder, d.req.Workspace, d.req.ID)
		switch {
		case err != nil:
			return newOutcomeError(Unknown, ReasonClaimantGone, err.Error())
		case answer.Outcome == NotRun:
			// Counting from before the call lets the claim expire here no later
			// than at the instance that handed it over.
			d.claim = claimState{nonce: d.claim.nonce, held: true, expires: askedAt.Add(answer.Remaining)}
			return d.checkClaimExpiry(time.Now(), 0)
		case answer.Holder == "" || answer.Holder == r.settings.Instance:
			// An answer that names this instance means that the answer that
			// handed the claim over to it was lost.
			answer.Holder = ""
			d.answer, d.answeredElsewhere = answer, true
			return nil
		}
		holder = answer.Holder
	}
	return newOutcomeError(Unknown, ReasonGivenUp, "gave up after following the maximum number of claim handovers")
}

// answer builds the caller's answer from the endpoint's reply.
func (r *Relay) answer(_ context.Context, d *delivery) error {
	if d.answeredElsewhere {
		return nil
	}
	d.answer = Answer{Outcome: Done, Status: d.reply.Status, ContentType: d.reply.ContentType, Body: d.reply.Body}
	return nil
}

func (d *delivery) releaseQueueSlot() {
	if d.admitted {
		d.state.queue.Release(d.req.Workspace)
		d.admitted = false
	}
}

func (d *delivery) queueLimit() int {
	if d.service.QueueLimit > 0 {
		return d.service.QueueLimit
	}
	return defaultQueueLimit
}

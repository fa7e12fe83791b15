package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/pkg/errors"
)

// deliver makes attempts until one has an answer or no further attempt is
// allowed.
func (r *Relay) deliver(ctx context.Context, d *delivery) error {
	if d.answeredElsewhere {
		return nil
	}
	d.state.budget.AddFirstAttempt()
	for {
		d.mayHaveRun, d.leased, d.result = false, false, route.Inconclusive
		err := r.attemptChain.Run(ctx, d)
		if d.leased {
			r.routes.Release(d.lease, d.result, time.Now())
			d.state.refresh(r.routes, d.req.Service)
		}
		if err == nil {
			return nil
		}
		d.answerLost = d.answerLost || d.mayHaveRun
		if final := r.nextAttempt(ctx, d, err); final != nil {
			return final
		}
	}
}

// nextAttempt waits until another attempt may be made after one that ended with
// err. It returns the final error if no further attempt is allowed.
func (r *Relay) nextAttempt(ctx context.Context, d *delivery, err error) error {
	var waitErr *linkWaitError
	if errors.As(err, &waitErr) {
		return r.waitForLink(ctx, d, waitErr)
	}
	final := d.attemptError(err)
	notSent := errors.Is(err, ErrNotSent)
	switch {
	case ctx.Err() != nil, !d.leased, isFinal(err), d.attempts >= r.settings.MaxAttempts:
		return final
	case d.answerLost && d.req.NonIdempotent:
		return final
	case notSent:
		d.state.retries.Inc()
		return nil
	case !d.state.budget.TakeRetry():
		return final
	}
	d.state.retries.Inc()
	if !sleep(ctx, r.settings.Backoff.Delay(d.attempts-1)) {
		return final
	}
	return nil
}

// isFinal reports whether the attempt itself determined the outcome of the
// request, so that no further attempt is made.
func isFinal(err error) bool {
	var outcomeErr *outcomeError
	return errors.As(err, &outcomeErr)
}

// attemptError converts the error of the last attempt to an outcomeError.
func (d *delivery) attemptError(err error) error {
	var refused *RefusedError
	switch {
	case isFinal(err):
		return err
	case d.mayHaveRun:
		return newOutcomeError(Unknown, ReasonAnswerLost, err.Error())
	case errors.As(err, &refused):
		return newRetryableError(NotRun, ReasonRefused, err.Error(), refused.RetryAfter)
	case errors.Is(err, ErrNotSent):
		return newOutcomeError(NotRun, ReasonNotSent, err.Error())
	}
	return newOutcomeError(NotRun, ReasonDeadline, err.Error())
}

// route selects an endpoint and waits for one while none is available.
func (r *Relay) route(ctx context.Context, d *delivery) error {
	for {
		err := r.pick(d, time.Now())
		if err == nil {
			return nil
		}
		// The second call of pick sees changes that were made after the first
		// one and before changed was obtained.
		changed, ejectedUntil := r.routes.Wait(d.req.Service, time.Now())
		if err = r.pick(d, time.Now()); err == nil {
			return nil
		}
		if !waitFor(ctx, changed, ejectedUntil) {
			return newOutcomeError(NotRun, ReasonNoEndpoint, err.Error())
		}
	}
}

// pick takes a lease on an endpoint, preferably one that was not tried yet.
func (r *Relay) pick(d *delivery, now time.Time) error {
	lease, err := r.routes.Pick(d.req.Service, d.req.Region, d.tried, now)
	if err != nil && len(d.tried) > 0 {
		lease, err = r.routes.Pick(d.req.Service, d.req.Region, nil, now)
	}
	if err != nil {
		return fmt.Errorf("select endpoint: %w", err)
	}
	d.lease, d.leased = lease, true
	d.tried = append(d.tried, lease.Endpoint().Name)
	return nil
}

// send sends the request to the selected endpoint and stores the reply.
func (r *Relay) send(ctx context.Context, d *delivery) error {
	e := d.lease.Endpoint()
	d.attempts++
	d.attempt = Attempt{
		Workspace: d.req.Workspace, ID: d.req.ID, Service: d.req.Service, Number: d.attempts,
		Class: d.req.Class, Deadline: d.req.Deadline, Body: d.req.Body, ContentType: d.req.ContentType,
	}
	r.log.Write(event.RequestRouted, "workspace", d.req.Workspace, "request", d.req.ID, "service", d.req.Service,
		"endpoint", e.Name, "domain", e.Domain, "attempt", d.attempts, "reason", routeReason(d.lease.Local()))
	d.state.attempts.Inc()
	d.mayHaveRun = true
	start := time.Now()
	reply, err := r.calls.Send(ctx, e, d.attempt)
	if err != nil {
		return r.sendFailed(ctx, d, time.Since(start), err)
	}
	if reply.Leaving {
		r.calls.Guards.MarkLeaving(e.Name, time.Now())
	}
	d.reply = reply
	return nil
}

// sendFailed records what an error of Send implies for the endpoint and for the
// request: whether it may have run, and the result reported to the routing table.
func (r *Relay) sendFailed(ctx context.Context, d *delivery, elapsed time.Duration, err error) error {
	var refused *RefusedError
	d.mayHaveRun = !r.calls.Guards.NotRun(err)
	switch {
	case errors.As(err, &refused):
		d.state.refusals.Inc()
		d.result = route.Refused
		if refused.Leaving {
			r.calls.Guards.MarkLeaving(d.lease.Endpoint().Name, time.Now())
		}
	case ctx.Err() == nil:
		d.result = route.Failed
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && elapsed >= r.settings.SlowAfter:
		d.result = route.TimedOut
	}
	return fmt.Errorf("send to %s: %w", d.lease.Endpoint().Name, err)
}

// check rejects replies that are not the complete answer to this attempt, and
// answers that are too large.
func (r *Relay) check(_ context.Context, d *delivery) error {
	if !r.calls.Guards.Matches(d.attempt, d.reply) {
		d.result = route.Failed
		return fmt.Errorf("reply from %s echoes request %q, attempt %d: %w", d.lease.Endpoint().Name, d.reply.ID, d.reply.Attempt, errReplyMismatch)
	}
	d.result = route.Answered
	if limit := d.service.MaxAnswer; limit > 0 && shape.Bytes(len(d.reply.Body)) > limit {
		return newOutcomeError(Unknown, ReasonAnswerTooLarge, fmt.Sprintf("answer of %d bytes, at most %d are allowed", len(d.reply.Body), limit))
	}
	return nil
}

func routeReason(local bool) string {
	if local {
		return "ownRegion"
	}
	return "otherRegion"
}

// waitFor waits for a change of the endpoints, or until an ejection ends if until
// is not zero. It reports whether ctx has not ended.
func waitFor(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	var ended <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		ended = t.C
	}
	select {
	case <-changed:
		return ctx.Err() == nil
	case <-ended:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// sleep waits for d and reports whether ctx did not end before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

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

// deliver makes attempts until one has an answer or no other is allowed.
func (r *Relay) deliver(ctx context.Context, p *delivery) error {
	if p.settled {
		return nil
	}
	p.state.budget.First()
	for {
		p.mayRun, p.leased, p.result = false, false, route.Unsent
		err := r.attempt.Run(ctx, p)
		if p.leased {
			r.routes.Release(p.lease, p.result, time.Now())
			p.state.refresh(r.routes, p.req.Service)
		}
		if err == nil {
			return nil
		}
		p.lost = p.lost || p.mayRun
		if final := r.next(ctx, p, err); final != nil {
			return final
		}
	}
}

// next waits until another attempt may be made. It returns the final error if
// none may.
func (r *Relay) next(ctx context.Context, p *delivery, err error) error {
	var h *heldError
	if errors.As(err, &h) {
		return r.hold(ctx, p, h)
	}
	final := p.failure(err)
	notSent := errors.Is(err, ErrNotSent)
	switch {
	case ctx.Err() != nil, !p.leased, isFinal(err), p.attempts >= r.settings.MaxAttempts:
		return final
	case p.lost && p.req.NonIdempotent:
		return final
	case notSent:
		p.state.retries.Inc()
		return nil
	case !p.state.budget.Retry():
		return final
	}
	p.state.retries.Inc()
	if !sleep(ctx, r.settings.Backoff.Delay(p.attempts-1)) {
		return final
	}
	return nil
}

// isFinal reports whether the attempt itself decided the outcome.
func isFinal(err error) bool {
	var ref *refusal
	return errors.As(err, &ref)
}

// failure returns the refusal that stands for the error of an attempt.
func (p *delivery) failure(err error) error {
	var refused *RefusedError
	switch {
	case isFinal(err):
		return err
	case p.mayRun:
		return refuse(Unknown, ReasonAnswerLost, err.Error())
	case errors.As(err, &refused):
		return refuseFor(NotRun, ReasonRefused, err.Error(), refused.RetryAfter)
	case errors.Is(err, ErrNotSent):
		return refuse(NotRun, ReasonNotSent, err.Error())
	}
	return refuse(NotRun, ReasonDeadline, err.Error())
}

// route selects an endpoint, and waits for one if all are busy.
func (r *Relay) route(ctx context.Context, p *delivery) error {
	for {
		err := r.pick(p, time.Now())
		if err == nil {
			return nil
		}
		// The second try sees what changed before the wait began.
		changed, ejectedUntil := r.routes.Wait(p.req.Service, time.Now())
		if err = r.pick(p, time.Now()); err == nil {
			return nil
		}
		if !waitFor(ctx, changed, ejectedUntil) {
			return refuse(NotRun, ReasonNoEndpoint, err.Error())
		}
	}
}

// pick takes a lease on an endpoint, preferably on one that was not tried.
func (r *Relay) pick(p *delivery, now time.Time) error {
	lease, err := r.routes.Pick(p.req.Service, p.req.Region, p.tried, now)
	if err != nil && len(p.tried) > 0 {
		lease, err = r.routes.Pick(p.req.Service, p.req.Region, nil, now)
	}
	if err != nil {
		return fmt.Errorf("select endpoint: %w", err)
	}
	p.lease, p.leased = lease, true
	p.tried = append(p.tried, lease.Endpoint().Name)
	return nil
}

// send has the selected endpoint run the request.
func (r *Relay) send(ctx context.Context, p *delivery) error {
	e := p.lease.Endpoint()
	p.attempts++
	p.attempt = Attempt{
		Workspace: p.req.Workspace, ID: p.req.ID, Service: p.req.Service, Number: p.attempts,
		Class: p.req.Class, Deadline: p.req.Deadline, Body: p.req.Body, ContentType: p.req.ContentType,
	}
	r.log.Write(event.RequestRouted, "workspace", p.req.Workspace, "request", p.req.ID, "service", p.req.Service,
		"endpoint", e.Name, "domain", e.Domain, "attempt", p.attempts, "reason", routeReason(p.lease.Local()))
	p.state.attempts.Inc()
	p.mayRun = true
	start := time.Now()
	reply, err := r.calls.Send(ctx, e, p.attempt)
	if err != nil {
		return r.sendFailed(ctx, p, time.Since(start), err)
	}
	if reply.Leaving {
		r.calls.Guards.MarkLeaving(e.Name, time.Now())
	}
	p.reply = reply
	return nil
}

// sendFailed records what the error tells about the endpoint and the request.
func (r *Relay) sendFailed(ctx context.Context, p *delivery, took time.Duration, err error) error {
	var refused *RefusedError
	p.mayRun = !r.calls.Guards.NotRun(err)
	switch {
	case errors.As(err, &refused):
		p.state.refusals.Inc()
		p.result = route.Refused
		if refused.Leaving {
			r.calls.Guards.MarkLeaving(p.lease.Endpoint().Name, time.Now())
		}
	case ctx.Err() == nil:
		p.result = route.Failed
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && took >= r.settings.SlowAfter:
		p.result = route.TimedOut
	}
	return fmt.Errorf("send to %s: %w", p.lease.Endpoint().Name, err)
}

// check lets only the whole answer to this attempt pass.
func (r *Relay) check(_ context.Context, p *delivery) error {
	if !r.calls.Guards.Matches(p.attempt, p.reply) {
		p.result = route.Failed
		return fmt.Errorf("reply of %s echoes %q attempt %d: %w", p.lease.Endpoint().Name, p.reply.ID, p.reply.Attempt, errReply)
	}
	p.result = route.Answered
	if limit := p.service.MaxAnswer; limit > 0 && shape.Bytes(len(p.reply.Body)) > limit {
		return refuse(Unknown, ReasonAnswerTooLarge, fmt.Sprintf("answer of %d bytes, at most %d are allowed", len(p.reply.Body), limit))
	}
	return nil
}

func routeReason(local bool) string {
	if local {
		return "ownRegion"
	}
	return "otherRegion"
}

// waitFor waits for a change of the endpoints or the end of an ejection. It
// reports whether ctx is still live.
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

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
	// delivery is the value that goes through the chains. One thread at a time
	// works on it.
	delivery struct {
		req     Request
		service config.Service
		state   *serviceState
		// admitted is true while the request holds a place of the queue.
		admitted bool

		claim heldClaim
		// settled is true if another instance gave the answer.
		settled bool

		attempt  Attempt
		attempts int
		tried    []ident.Endpoint
		lease    route.Lease
		leased   bool
		result   route.Result
		reply    Reply
		// mayRun is true while the present attempt may have run.
		mayRun bool
		// lost is true once an attempt may have run without an answer.
		lost bool

		ans Answer
	}
)

const (
	// answerMargin is the time that a flight has after its deadline to say
	// what is known.
	answerMargin = 100 * time.Millisecond
	// queueShare is the part of the remaining time that a request may wait
	// for a place. Later there would be no time left to run it.
	queueShare = 0.75
	// maxHandovers bounds the instances that are asked for one request.
	maxHandovers = 8
	// overloadRetry is the hint given with a refusal by a full queue.
	overloadRetry = time.Second
)

// run passes the request through the chain and logs its outcome.
func (r *Relay) run(ctx context.Context, p *delivery) Answer {
	err := r.path.Run(ctx, p)
	p.leaveQueue()
	ans := p.conclude(err)
	if p.state != nil {
		p.state.outcomes[ans.Outcome].Inc()
	}
	r.report(p, ans)
	return ans
}

// conclude returns the answer of a delivery that ended with err. An error that
// is not a refusal is the end of the deadline between two steps.
func (p *delivery) conclude(err error) Answer {
	if err == nil {
		return p.ans
	}
	var ref *refusal
	ans := Answer{Outcome: NotRun, Reason: ReasonDeadline, Detail: err.Error()}
	if errors.As(err, &ref) {
		ans = ref.answer
	}
	if ans.Outcome == NotRun && p.inDoubt() {
		ans.Outcome = Unknown
	}
	return ans
}

// inDoubt reports whether the request may have run although the delivery ended
// with a refusal: an attempt was lost, an unresolved claim may turn out to be
// another instance's, the claim was handed to another instance, or an earlier
// submission may have run elsewhere.
func (p *delivery) inDoubt() bool {
	earlier := p.req.NonIdempotent && p.req.Resubmitted
	return p.lost || !p.claim.sure && (p.claim.maybe || p.claim.holder != "" || earlier)
}

func (r *Relay) report(p *delivery, ans Answer) {
	id := event.RequestLost
	switch ans.Outcome {
	case Done:
		id = event.RequestDone
	case NotRun:
		id = event.RequestNotRun
	case Unknown:
	}
	r.log.Write(id, "workspace", p.req.Workspace, "request", p.req.ID, "service", p.req.Service,
		"attempts", p.attempts, "reason", ans.Reason, "detail", ans.Detail)
}

func (r *Relay) validate(_ context.Context, p *delivery) error {
	for _, name := range []string{string(p.req.Workspace), string(p.req.ID), string(p.req.Service)} {
		if err := ident.Check(name); err != nil {
			return refuse(NotRun, ReasonInvalid, err.Error())
		}
	}
	c := r.calls.Config()
	s, ok := c.Service(p.req.Service)
	if !ok {
		return refuse(NotRun, ReasonNoService, fmt.Sprintf("no service %q", p.req.Service))
	}
	if !s.Allows(p.req.Workspace) {
		return refuse(NotRun, ReasonForbidden, fmt.Sprintf("workspace %q may not use service %q", p.req.Workspace, s.Name))
	}
	if n := shape.Bytes(len(p.req.Body)); n > c.Limits.MaxBody {
		return refuse(NotRun, ReasonTooLarge, fmt.Sprintf("body of %d bytes, at most %d are allowed", n, c.Limits.MaxBody))
	}
	p.service = s
	p.state = r.stateOf(c, s, p.queueLimit())
	return nil
}

// admit waits for a place in the queue of the service.
func (r *Relay) admit(ctx context.Context, p *delivery) error {
	wait := time.Duration(queueShare * float64(time.Until(p.req.Deadline)))
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	err := p.state.queue.Acquire(waitCtx, p.req.Workspace, p.req.Class)
	switch {
	case errors.Is(err, limit.ErrShed):
		return refuseFor(NotRun, ReasonOverload, err.Error(), overloadRetry)
	case err != nil && r.routes.Capacity(p.req.Service, time.Now()) == 0:
		return refuseFor(NotRun, ReasonNoEndpoint, err.Error(), overloadRetry)
	case err != nil:
		return refuseFor(NotRun, ReasonDeadline, err.Error(), overloadRetry)
	}
	p.admitted = true
	return nil
}

// claim makes this instance the one that may run a non-idempotent request. The
// request gives its place in the queue back while it waits for the store, so
// that a slow store does not keep idempotent requests from the endpoints.
func (r *Relay) claim(ctx context.Context, p *delivery) error {
	if !p.req.NonIdempotent {
		return nil
	}
	if err := p.startClaim(time.Now(), r.settings.ClaimLife); err != nil {
		return err
	}
	if p.claim.sure {
		return nil
	}
	p.leaveQueue()
	if !p.state.enterClaim(p.queueLimit()) {
		return refuseFor(NotRun, ReasonOverload, "too many requests wait for the store", overloadRetry)
	}
	err := r.take(ctx, p)
	p.state.leaveClaim()
	if err != nil || p.settled {
		return err
	}
	return r.admit(ctx, p)
}

// startClaim sets the end of a new claim, and gives up one that is too old to
// be used.
func (p *delivery) startClaim(now time.Time, life time.Duration) error {
	if p.claim.until.IsZero() {
		p.claim.until = now.Add(life)
	}
	if now.Before(p.claim.until) {
		return nil
	}
	p.claim = heldClaim{}
	return refuse(Unknown, ReasonForgotten, "the claim is too old to be used")
}

func (r *Relay) take(ctx context.Context, p *delivery) error {
	if p.claim.holder != "" {
		return r.ask(ctx, p, p.claim.holder)
	}
	res, err := r.calls.Take(ctx, p.req.Workspace, p.req.ID, p.claim.nonce)
	switch {
	case errors.Is(err, store.ErrUnavailable):
		return refuseFor(NotRun, ReasonStoreDown, err.Error(), r.settings.StoreRetry)
	case err != nil:
		p.claim.maybe = true
		return refuse(Unknown, ReasonClaimUnresolved, err.Error())
	case res.Mine:
		p.claim.sure = true
		return nil
	}
	r.log.Write(event.RequestClaim, "workspace", p.req.Workspace, "request", p.req.ID, "claimant", res.Claimant)
	if res.Claimant == r.settings.Instance {
		return refuse(Unknown, ReasonForgotten, "this instance claimed the request and no longer knows its outcome")
	}
	return r.ask(ctx, p, res.Claimant)
}

// ask gets the outcome from the instance that claimed the request, or from the
// one that the claim was handed to.
func (r *Relay) ask(ctx context.Context, p *delivery, holder ident.Instance) error {
	for range maxHandovers {
		asked := time.Now()
		ans, err := r.calls.Resolve(ctx, holder, p.req.Workspace, p.req.ID)
		switch {
		case err != nil:
			return refuse(Unknown, ReasonClaimantGone, err.Error())
		case ans.Outcome == NotRun:
			// The time counts from before the call, which is the safe side.
			p.claim = heldClaim{nonce: p.claim.nonce, sure: true, until: asked.Add(ans.Remaining)}
			return p.startClaim(time.Now(), 0)
		case ans.Holder == "" || ans.Holder == r.settings.Instance:
			// An answer that names this instance means that the handover to
			// it was lost on the way.
			ans.Holder = ""
			p.ans, p.settled = ans, true
			return nil
		}
		holder = ans.Holder
	}
	return refuse(Unknown, ReasonGivenUp, "the claim was handed over too often")
}

// answer builds the caller's answer from the endpoint's reply.
func (r *Relay) answer(_ context.Context, p *delivery) error {
	if p.settled {
		return nil
	}
	p.ans = Answer{Outcome: Done, Status: p.reply.Status, ContentType: p.reply.ContentType, Body: p.reply.Body}
	return nil
}

func (p *delivery) leaveQueue() {
	if p.admitted {
		p.state.queue.Release(p.req.Workspace)
		p.admitted = false
	}
}

func (p *delivery) queueLimit() int {
	if p.service.QueueLimit > 0 {
		return p.service.QueueLimit
	}
	return defaultQueueLimit
}

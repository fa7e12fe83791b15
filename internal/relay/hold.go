package relay

import (
	"context"
	"fmt"
	"time"
)

// heldError ends an attempt that must wait for the link between regions.
type heldError struct {
	wait time.Duration
	// hopeless is true if the deadline comes first.
	hopeless bool
}

// Error tells the wait.
func (e *heldError) Error() string {
	return fmt.Sprintf("the link between regions is free for bulk in %v", e.wait.Round(time.Millisecond))
}

// share ends the attempt if the request must wait for the link.
func (r *Relay) share(_ context.Context, p *delivery) error {
	if r.calls.Share == nil {
		return nil
	}
	wait, ok := r.calls.Share(p.lease.Endpoint(), p.req, time.Now())
	if wait == 0 && ok {
		return nil
	}
	return &heldError{wait: wait, hopeless: !ok}
}

// hold waits until the request may be routed again. The request holds neither
// an endpoint nor a place of the queue meanwhile, so that urgent requests find
// both free, and the endpoint does not count as tried.
func (r *Relay) hold(ctx context.Context, p *delivery, h *heldError) error {
	p.tried = p.tried[:len(p.tried)-1]
	defer r.held.Add(-1)
	if r.held.Add(1) > r.settings.MaxHeld || h.hopeless {
		return refuseFor(NotRun, ReasonLinkBusy, h.Error(), h.wait)
	}
	p.leaveQueue()
	if !sleep(ctx, h.wait) {
		return refuse(NotRun, ReasonDeadline, h.Error())
	}
	return r.admit(ctx, p)
}

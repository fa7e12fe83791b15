package relay

import (
	"context"
	"fmt"
	"time"
)

// linkWaitError ends an attempt that must wait for the link between regions.
type linkWaitError struct {
	wait time.Duration
	// pastDeadline is true if the request's deadline ends before the wait.
	pastDeadline bool
}

// Error returns a message with the time to wait.
func (e *linkWaitError) Error() string {
	return fmt.Sprintf("link between regions has no capacity for bulk requests for another %v", e.wait.Round(time.Millisecond))
}

// share ends the attempt with a linkWaitError if the request must wait for the
// link between regions.
func (r *Relay) share(_ context.Context, d *delivery) error {
	if r.calls.LinkWait == nil {
		return nil
	}
	wait, ok := r.calls.LinkWait(d.lease.Endpoint(), d.req, time.Now())
	if wait == 0 && ok {
		return nil
	}
	return &linkWaitError{wait: wait, pastDeadline: !ok}
}

// waitForLink waits for the link and admits the request again, so that it can be
// routed again. While it waits, the request holds neither an endpoint nor a
// queue slot, so that both are available to urgent requests. The endpoint does
// not count as tried.
func (r *Relay) waitForLink(ctx context.Context, d *delivery, waitErr *linkWaitError) error {
	d.tried = d.tried[:len(d.tried)-1]
	defer r.linkWaiters.Add(-1)
	if r.linkWaiters.Add(1) > r.settings.MaxLinkWaiters || waitErr.pastDeadline {
		return newRetryableError(NotRun, ReasonLinkBusy, waitErr.Error(), waitErr.wait)
	}
	d.releaseQueueSlot()
	if !sleep(ctx, waitErr.wait) {
		return newOutcomeError(NotRun, ReasonDeadline, waitErr.Error())
	}
	return r.admit(ctx, d)
}

package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/pkg/errors"
)

const (
	// reasonNotSent is the reason of a call for which no connection could be
	// made.
	reasonNotSent = "notSent"
	// reasonBroken is the reason of a call whose connection broke.
	reasonBroken = "broken"

	minBackOff = 100 * time.Millisecond
	maxBackOff = 2 * time.Second
)

// send makes one call and reads the whole response.
func send(ctx context.Context, c *http.Client, address netip.AddrPort, spec callSpec) (callResponse, error) {
	req, err := http.NewRequestWithContext(ctx, spec.method, "http://"+address.String()+spec.path, bytes.NewReader(spec.body))
	if err != nil {
		return callResponse{}, fmt.Errorf("make request: %w", err)
	}
	if spec.key != "" {
		req.Header.Set("Authorization", "Bearer "+spec.key)
	}
	for name, value := range spec.header {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return callResponse{}, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return callResponse{}, fmt.Errorf("read response: %w", err)
	}
	return callResponse{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// call makes one call to a ready instance. It returns the record of the call,
// with its outcome, and the response.
func (b *balancer) call(ctx context.Context, spec callSpec) (Call, callResponse) {
	in := b.pick()
	c := Call{Sent: time.Now(), Instance: in.Name}
	resp, err := b.send(ctx, in.Address, spec)
	c.Received = time.Now()
	if err != nil {
		c.Outcome, c.Reason, c.Broken = wire.Unknown, reasonBroken, true
		if isDialError(err) {
			c.Outcome, c.Reason = wire.NotRun, reasonNotSent
		}
		return c, resp
	}
	c.Outcome = wire.Outcome(resp.header.Get(wire.HeaderOutcome))
	if c.Outcome != wire.Done {
		var e wire.Error
		// A body that is not a wire.Error leaves the reason empty. The report
		// shows such a call without a reason.
		_ = json.Unmarshal(resp.body, &e)
		c.Reason = e.Reason
	}
	return c, resp
}

// isDialError reports whether the connection could not be made, so that
// nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// backOff returns the delay before the next call after n calls. It doubles
// with each call up to maxBackOff.
func backOff(n int) time.Duration {
	return min(minBackOff<<min(n, 10), maxBackOff)
}

// pause waits for d. It returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

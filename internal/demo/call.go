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
	// reasonNotSent is the reason of a call whose connection was refused.
	reasonNotSent = "notSent"
	// reasonBroken is the reason of a call whose connection broke.
	reasonBroken = "broken"

	firstBackOff = 100 * time.Millisecond
	lastBackOff  = 2 * time.Second
)

// send makes one call and reads the whole response.
func send(ctx context.Context, c *http.Client, to netip.AddrPort, m message) (response, error) {
	req, err := http.NewRequestWithContext(ctx, m.method, "http://"+to.String()+m.path, bytes.NewReader(m.body))
	if err != nil {
		return response{}, fmt.Errorf("make request: %w", err)
	}
	if m.key != "" {
		req.Header.Set("Authorization", "Bearer "+m.key)
	}
	for name, value := range m.header {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("send: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, fmt.Errorf("read response: %w", err)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// call sends m to an instance that is ready and tells how that ended.
func (f *front) call(ctx context.Context, m message) (Call, response) {
	to := f.pick()
	c := Call{Sent: time.Now(), Instance: to.Name}
	r, err := f.send(ctx, to.Address, m)
	c.Received = time.Now()
	if err != nil {
		c.Outcome, c.Reason, c.Broken = wire.Unknown, reasonBroken, true
		if isDial(err) {
			c.Outcome, c.Reason = wire.NotRun, reasonNotSent
		}
		return c, r
	}
	c.Outcome = wire.Outcome(r.header.Get(wire.HeaderOutcome))
	if c.Outcome != wire.Done {
		var e wire.Error
		// A refusal without a typed body has no reason, which a check reports.
		_ = json.Unmarshal(r.body, &e)
		c.Reason = e.Reason
	}
	return c, r
}

// isDial reports whether the connection could not be made, so that nothing was
// sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// backOff is the time before the call after n calls.
func backOff(n int) time.Duration {
	return min(firstBackOff<<min(n, 10), lastBackOff)
}

// pause waits for d and reports whether ctx goes on.
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

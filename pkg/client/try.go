package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/pkg/errors"
)

type (
	// call is one call, which may take several tries.
	call struct {
		method string
		path   string
		header http.Header
		body   []byte
		// id is the request identifier, if the call has one.
		id string
		// repeat allows another try after an unknown result.
		repeat bool
		// reads marks a call without effect, whose earlier tries do not
		// matter for its outcome.
		reads bool
		// timeout bounds one try. 0 leaves it to the context.
		timeout time.Duration
	}

	// response is a whole response with the outcome done.
	response struct {
		status int
		header http.Header
		body   []byte
	}
)

// maxDoublings keeps the back-off from overflowing.
const maxDoublings = 10

// do tries the call until it is done, cannot be tried again, or time is up.
func (c *Client) do(ctx context.Context, k call) (response, error) {
	if len(c.settings.Servers) == 0 {
		return response{}, &Error{Outcome: wire.NotRun, Reason: ReasonNoServer, RequestID: k.id, Err: errNoServer}
	}
	doubt := false
	for n := 1; ; n++ {
		index := c.next.Load()
		server := c.settings.Servers[int(index)%len(c.settings.Servers)]
		r, failure := c.try(ctx, server, k)
		if failure == nil {
			return r, nil
		}
		failure.RequestID = k.id
		again := isPassing(failure) || failure.Outcome == wire.Unknown && k.repeat
		if again {
			// Concurrent calls that fail at one server move on by one only.
			c.next.CompareAndSwap(index, index+1)
		}
		doubt = doubt || failure.Outcome == wire.Unknown && !k.reads
		if doubt {
			failure.Outcome = wire.Unknown
		}
		if !again || n >= c.settings.MaxTries || !c.pause(ctx, n, failure.RetryAfter) {
			return response{}, failure
		}
	}
}

// try makes one try and returns nil or why it is not done.
func (c *Client) try(ctx context.Context, server netip.AddrPort, k call) (response, *Error) {
	if k.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, k.timeout)
		defer cancel()
	}
	var w watch
	req, err := c.newRequest(w.trace(ctx), server, k)
	if err != nil {
		return response{}, &Error{Outcome: wire.NotRun, Reason: ReasonNotSent, Err: err}
	}
	resp, err := c.http.Do(req)
	switch {
	case err != nil && !w.isSent():
		return response{}, &Error{Outcome: wire.NotRun, Reason: ReasonNotSent, Err: err}
	case err != nil:
		return response{}, &Error{Outcome: wire.Unknown, Reason: ReasonAnswerLost, Err: err}
	}
	defer resp.Body.Close()
	body, err := readWhole(resp)
	if err != nil {
		return response{}, &Error{
			Outcome: wire.Unknown, Reason: ReasonAnswerLost, Status: resp.StatusCode, Err: err,
		}
	}
	return judge(resp, body)
}

func (c *Client) newRequest(ctx context.Context, server netip.AddrPort, k call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+server.String()+k.path, bytes.NewReader(k.body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if k.header != nil {
		req.Header = k.header.Clone()
	}
	if deadline, ok := ctx.Deadline(); ok && k.header.Get(wire.HeaderRequestID) != "" {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, fmt.Errorf("make request: %w", context.DeadlineExceeded)
		}
		req.Header.Set(wire.HeaderDeadline, remaining.String())
	}
	if c.settings.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.settings.Key)
	}
	return req, nil
}

// readWhole returns the body only if all of it arrived.
func readWhole(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked") {
		return nil, errOpenEnded
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if len(body) > maxAnswer {
		return nil, errTooLarge
	}
	return body, nil
}

// judge returns what a whole response says. Without an outcome it did not come
// from an instance, but from something between that may have passed the call on.
func judge(resp *http.Response, body []byte) (response, *Error) {
	malformed := &Error{Outcome: wire.Unknown, Reason: ReasonMalformedAnswer, Status: resp.StatusCode, Err: errNoOutcome}
	outcome := wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	switch outcome {
	case wire.Done:
		return response{resp.StatusCode, resp.Header, body}, nil
	case wire.NotRun, wire.Unknown:
	default:
		return response{}, malformed
	}
	var e wire.Error
	if err := json.Unmarshal(body, &e); err != nil {
		malformed.Outcome, malformed.Err = outcome, err
		return response{}, malformed
	}
	return response{}, &Error{
		Outcome: outcome, Reason: e.Reason, Detail: e.Detail, RetryAfter: time.Duration(e.RetryAfter),
		Status: resp.StatusCode,
	}
}

// isPassing reports whether a call that was not run may succeed elsewhere or
// later. The other refusals concern the call itself.
func isPassing(e *Error) bool {
	if e.Outcome != wire.NotRun {
		return false
	}
	return e.Reason == ReasonNotSent || e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

// pause waits before the next try and reports whether there is time for it.
func (c *Client) pause(ctx context.Context, tries int, hint time.Duration) bool {
	limit := min(c.settings.FirstPause<<min(tries-1, maxDoublings), c.settings.MaxPause)
	// Half of the pause is random, so that callers that failed together do not
	// return together.
	d := limit/2 + time.Duration(c.settings.Random()*float64(limit/2))
	if hint > 0 {
		d += hint
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// decode returns the answer in a done response.
func decode[T any](r response, err error) (T, error) {
	var v T
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(r.body, &v); err != nil {
		return v, &Error{Outcome: wire.Unknown, Reason: ReasonMalformedAnswer, Status: r.status, Err: err}
	}
	return v, nil
}

// asError returns the *Error in err, or nil.
func asError(err error) *Error {
	var e *Error
	errors.As(err, &e)
	return e
}

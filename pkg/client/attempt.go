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
	// callSpec describes one call, which may take several attempts.
	callSpec struct {
		method string
		path   string
		header http.Header
		body   []byte
		// id is the request identifier, if the call has one.
		id string
		// retryUnknown allows another attempt after an unknown result.
		retryUnknown bool
		// readOnly marks a call without effect, whose outcome does not depend
		// on earlier attempts.
		readOnly bool
		// timeout limits one attempt. If it is 0, only the context limits it.
		timeout time.Duration
	}

	// response is a complete response with the outcome done.
	response struct {
		status int
		header http.Header
		body   []byte
	}
)

// maxDoublings limits the exponent of the back-off, so that it cannot overflow.
const maxDoublings = 10

// do makes attempts until the call is done, must not be retried, or has no
// attempts or time left.
func (c *Client) do(ctx context.Context, spec callSpec) (response, error) {
	if len(c.settings.Servers) == 0 {
		return response{}, &Error{Outcome: wire.NotRun, Reason: ReasonNoServer, RequestID: spec.id, Err: errNoServer}
	}
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		index := c.nextServer.Load()
		server := c.settings.Servers[int(index)%len(c.settings.Servers)]
		r, failure := c.attempt(ctx, server, spec)
		if failure == nil {
			return r, nil
		}
		failure.RequestID = spec.id
		retry := isTransient(failure) || failure.Outcome == wire.Unknown && spec.retryUnknown
		if retry {
			// Concurrent calls that fail at the same server advance the index
			// only once.
			c.nextServer.CompareAndSwap(index, index+1)
		}
		mayHaveRun = mayHaveRun || failure.Outcome == wire.Unknown && !spec.readOnly
		if mayHaveRun {
			failure.Outcome = wire.Unknown
		}
		if !retry || attempt >= c.settings.MaxTries || !c.backOff(ctx, attempt, failure.RetryAfter) {
			return response{}, failure
		}
	}
}

// attempt sends the call once and returns its response or why it is not done.
func (c *Client) attempt(ctx context.Context, server netip.AddrPort, spec callSpec) (response, *Error) {
	if spec.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, spec.timeout)
		defer cancel()
	}
	var tracker connTracker
	req, err := c.newRequest(tracker.withTrace(ctx), server, spec)
	if err != nil {
		return response{}, &Error{Outcome: wire.NotRun, Reason: ReasonNotSent, Err: err}
	}
	resp, err := c.http.Do(req)
	switch {
	case err != nil && !tracker.mayHaveSent():
		return response{}, &Error{Outcome: wire.NotRun, Reason: ReasonNotSent, Err: err}
	case err != nil:
		return response{}, &Error{Outcome: wire.Unknown, Reason: ReasonAnswerLost, Err: err}
	}
	defer resp.Body.Close()
	body, err := readBody(resp)
	if err != nil {
		return response{}, &Error{
			Outcome: wire.Unknown, Reason: ReasonAnswerLost, Status: resp.StatusCode, Err: err,
		}
	}
	return parseResponse(resp, body)
}

func (c *Client) newRequest(ctx context.Context, server netip.AddrPort, spec callSpec) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, spec.method, "http://"+server.String()+spec.path, bytes.NewReader(spec.body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	if spec.header != nil {
		req.Header = spec.header.Clone()
	}
	if deadline, ok := ctx.Deadline(); ok && spec.header.Get(wire.HeaderRequestID) != "" {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, fmt.Errorf("create request: %w", context.DeadlineExceeded)
		}
		req.Header.Set(wire.HeaderDeadline, remaining.String())
	}
	if c.settings.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.settings.Key)
	}
	return req, nil
}

// readBody returns the body if it was received completely.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked") {
		return nil, errNoLength
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if len(body) > maxResponseSize {
		return nil, errTooLarge
	}
	return body, nil
}

// parseResponse returns the result that a complete response reports. A response
// without an outcome did not come from an instance but from an intermediary,
// which may have forwarded the call. Its result is unknown.
func parseResponse(resp *http.Response, body []byte) (response, *Error) {
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

// isTransient reports whether a call that was not run may succeed at another
// server or later. Other refusals are caused by the call itself.
func isTransient(e *Error) bool {
	if e.Outcome != wire.NotRun {
		return false
	}
	return e.Reason == ReasonNotSent || e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

// backOff waits before the next attempt and reports whether the context leaves
// time for it. attempt is the number of attempts so far.
func (c *Client) backOff(ctx context.Context, attempt int, retryAfter time.Duration) bool {
	limit := min(c.settings.FirstPause<<min(attempt-1, maxDoublings), c.settings.MaxPause)
	// Half of the back-off is random, so that callers that failed at the same
	// time do not retry at the same time.
	d := limit/2 + time.Duration(c.settings.Random()*float64(limit/2))
	if retryAfter > 0 {
		d += retryAfter
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

// decode decodes the body of a response, or returns err.
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

// asError returns the *Error that err wraps, or nil.
func asError(err error) *Error {
	var e *Error
	errors.As(err, &e)
	return e
}

package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

type (
	// caller makes calls to one address.
	caller struct {
		base   netip.AddrPort
		client *http.Client
	}

	// failure is the body of an answer that reports an error.
	failure struct {
		Error  string   `json:"error"`
		Reason string   `json:"reason,omitempty"`
		Detail string   `json:"detail,omitempty"`
		Keys   []string `json:"keys,omitempty"`
	}

	// failureError is a failure that the service reported.
	failureError struct {
		failure
	}

	// span is a duration in its text form.
	span time.Duration

	empty struct{}
)

// The kinds of failure.
const (
	kindNotFound    = "notFound"
	kindConflict    = "conflict"
	kindUnavailable = "unavailable"
	kindRefused     = "refused"
	kindBadRequest  = "badRequest"
	kindInternal    = "internal"
)

const (
	// maxMessage bounds the bodies of messages to and from the platform.
	maxMessage = 64 << 20

	jsonType = "application/json"
)

var (
	// ErrNotSent means that no byte of the request was written: it has had no
	// effect and will have none.
	ErrNotSent = errors.New("request not sent")
	// ErrProtocol means that the other side did not understand the message.
	ErrProtocol = errors.New("message not understood")

	errNoAnswer = errors.New("no answer")
)

// MarshalText returns the form of time.Duration.String.
func (s span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText parses the form of time.ParseDuration.
func (s *span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*s = span(d)
	return nil
}

// Error returns the kind and the detail.
func (e *failureError) Error() string {
	return fmt.Sprintf("%s: %s", e.failure.Error, e.Detail)
}

// call posts in to path and decodes the answer. The error wraps ErrNotSent,
// errNoAnswer or a *failureError.
func call[In, Out any](ctx context.Context, c caller, path string, in In) (Out, error) {
	var out Out
	body, err := json.Marshal(in)
	if err != nil {
		return out, fmt.Errorf("encode %s: %w: %w", path, ErrNotSent, err)
	}
	status, answer, err := c.post(ctx, path, body)
	if err != nil {
		return out, fmt.Errorf("call %s: %w", path, err)
	}
	if status != http.StatusOK {
		return out, fmt.Errorf("call %s: %w", path, failureOf(status, answer))
	}
	if err := json.Unmarshal(answer, &out); err != nil {
		return out, fmt.Errorf("decode answer of %s: %w: %w", path, errNoAnswer, err)
	}
	return out, nil
}

func (c caller) post(ctx context.Context, path string, body []byte) (int, []byte, error) {
	resp, err := post(ctx, c.client, c.base, path, body, http.Header{"Content-Type": {jsonType}})
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w: %w", errNoAnswer, err)
	}
	return resp.StatusCode, answer, nil
}

// post sends one request once. The error wraps ErrNotSent or errNoAnswer.
func post(
	ctx context.Context, client *http.Client, to netip.AddrPort, path string, body []byte, header http.Header,
) (*http.Response, error) {
	var s sending
	req, err := newRequest(s.follow(ctx), to, path, body, header)
	if err != nil {
		return nil, fmt.Errorf("make request: %w: %w", ErrNotSent, err)
	}
	once := *client
	once.CheckRedirect = keepResponse
	resp, err := once.Do(req)
	switch {
	case err == nil:
		return resp, nil
	case s.written():
		return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
}

// newRequest returns a request that the transport sends at most once: it
// repeats none whose body it cannot read again.
func newRequest(
	ctx context.Context, to netip.AddrPort, path string, body []byte, header http.Header,
) (*http.Request, error) {
	// The closer hides the reader's type, so that GetBody stays nil. The
	// transport looks behind this one and writes head and body together; with
	// a type of our own it would flush the head first.
	reader := io.NopCloser(bytes.NewReader(body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, reader)
	if err != nil {
		return nil, fmt.Errorf("new request: %w", err)
	}
	req.Header = header
	req.ContentLength = int64(len(body))
	return req, nil
}

// failureOf returns the failure in an answer. An answer that is no message of
// this protocol, such as one from something in between, counts as none.
func failureOf(status int, answer []byte) error {
	var f failure
	if err := json.Unmarshal(answer, &f); err != nil || f.Error == "" {
		return fmt.Errorf("status %d without a failure message: %w", status, errNoAnswer)
	}
	if f.Error == kindBadRequest {
		return fmt.Errorf("%s: %w", f.Detail, ErrProtocol)
	}
	return &failureError{f}
}

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
	// rpcClient makes calls to the server at one address.
	rpcClient struct {
		base   netip.AddrPort
		client *http.Client
	}

	// errorBody is the body of an answer that reports an error.
	errorBody struct {
		Error  string   `json:"error"` // one of the codes such as codeNotFound
		Reason string   `json:"reason,omitempty"`
		Detail string   `json:"detail,omitempty"`
		Keys   []string `json:"keys,omitempty"`
	}

	// remoteError is an error that the server reported in its answer.
	remoteError struct {
		errorBody
	}

	// duration is encoded as text such as "1m30s".
	duration time.Duration

	// empty is a message without content.
	empty struct{}
)

// The codes in errorBody.Error.
const (
	codeNotFound    = "notFound"
	codeConflict    = "conflict"
	codeUnavailable = "unavailable"
	codeRefused     = "refused"
	codeBadRequest  = "badRequest"
	codeInternal    = "internal"
)

const (
	// maxMessageBytes bounds the bodies of messages to and from the platform.
	maxMessageBytes = 64 << 20

	jsonContentType = "application/json"
)

var (
	// ErrNotSent means that no byte of the request was written, so that the
	// request has had no effect and will have none.
	ErrNotSent = errors.New("request not sent")
	// ErrProtocol means that a message is malformed, or that its receiver rejects
	// a value in it.
	ErrProtocol = errors.New("invalid message")

	errNoAnswer = errors.New("no answer")
)

// MarshalText returns d in the format of time.Duration.String.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the format of time.ParseDuration.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = duration(parsed)
	return nil
}

// Error returns the code and the detail.
func (e *remoteError) Error() string {
	return fmt.Sprintf("%s: %s", e.errorBody.Error, e.Detail)
}

// call posts in to path and decodes the answer. The error wraps ErrNotSent,
// errNoAnswer, ErrProtocol or a *remoteError.
func call[In, Out any](ctx context.Context, c rpcClient, path string, in In) (Out, error) {
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
		return out, fmt.Errorf("call %s: %w", path, decodeError(status, answer))
	}
	if err := json.Unmarshal(answer, &out); err != nil {
		return out, fmt.Errorf("decode answer of %s: %w: %w", path, errNoAnswer, err)
	}
	return out, nil
}

// post returns the status and the body of the answer. The error wraps ErrNotSent
// or errNoAnswer.
func (c rpcClient) post(ctx context.Context, path string, body []byte) (int, []byte, error) {
	resp, err := post(ctx, c.client, c.base, path, body, http.Header{"Content-Type": {jsonContentType}})
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w: %w", errNoAnswer, err)
	}
	return resp.StatusCode, answer, nil
}

// post sends a request at most once, without following redirects. The error wraps
// ErrNotSent or errNoAnswer.
func post(
	ctx context.Context, client *http.Client, to netip.AddrPort, path string, body []byte, header http.Header,
) (*http.Response, error) {
	var trace requestTrace
	req, err := newRequest(trace.withTrace(ctx), to, path, body, header)
	if err != nil {
		return nil, fmt.Errorf("build request: %w: %w", ErrNotSent, err)
	}
	noFollow := *client
	noFollow.CheckRedirect = noRedirect
	resp, err := noFollow.Do(req)
	switch {
	case err == nil:
		return resp, nil
	case trace.mayBeWritten():
		return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
}

// newRequest returns a request that the transport sends at most once: the
// transport does not retry a request whose body it cannot read again.
func newRequest(
	ctx context.Context, to netip.AddrPort, path string, body []byte, header http.Header,
) (*http.Request, error) {
	// NopCloser hides the reader's type from NewRequestWithContext, so that
	// GetBody stays nil. The transport unwraps a NopCloser and writes header and
	// body together; with a custom type it would flush the header first.
	reader := io.NopCloser(bytes.NewReader(body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, reader)
	if err != nil {
		return nil, fmt.Errorf("new request: %w", err)
	}
	req.Header = header
	req.ContentLength = int64(len(body))
	return req, nil
}

// decodeError returns the error that an answer reports: ErrProtocol for the code
// badRequest, and a *remoteError for other codes. An answer without an errorBody,
// such as that of a proxy, counts as errNoAnswer.
func decodeError(status int, answer []byte) error {
	var body errorBody
	if err := json.Unmarshal(answer, &body); err != nil || body.Error == "" {
		return fmt.Errorf("status %d without an error body: %w", status, errNoAnswer)
	}
	if body.Error == codeBadRequest {
		return fmt.Errorf("%s: %w", body.Detail, ErrProtocol)
	}
	return &remoteError{body}
}

package plat

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/pkg/errors"
)

type (
	// Request is a request to an endpoint.
	Request struct {
		Service ident.Service
		ID      ident.Request
		Attempt int
		// Remaining is the time left until the deadline of the answer, 0 if there
		// is no deadline. Send ignores it and sends the time left in its context.
		Remaining time.Duration
		Type      string // content type of Body
		Body      []byte
		// MaxAnswer bounds the size of the answer. It is not part of the message.
		MaxAnswer shape.Bytes
	}

	// Answer is the complete answer of an endpoint to a request.
	Answer struct {
		Status int
		Type   string // content type of Body
		Body   []byte
		// Leaving reports whether the endpoint will refuse further requests.
		Leaving bool
	}

	// RefusedError means that the endpoint refused the request without running
	// it.
	RefusedError struct {
		Reason  string
		Leaving bool
	}
)

// The headers of requests and answers. An answer echoes the identifier and the
// attempt of its request.
const (
	headerRequest   = "Request-Id"
	headerAttempt   = "Request-Attempt"
	headerRemaining = "Request-Remaining"
	headerLeaving   = "Endpoint-Leaving"
	headerRefused   = "Endpoint-Refused"
)

// The reasons of a RefusedError.
const (
	RefusedLeaving     = "leaving"
	RefusedSlots       = "slots"
	RefusedConnections = "connections"
)

const pathRequests = "/requests/"

var (
	// ErrIncomplete means that the answer was truncated. The request has run.
	ErrIncomplete = errors.New("answer incomplete")
	// ErrTooLarge means that the answer exceeds Request.MaxAnswer. The request has
	// run.
	ErrTooLarge = errors.New("answer too large")
	// ErrMismatch means that the answer belongs to another request or attempt. The
	// request may have run.
	ErrMismatch = errors.New("answer to another request")
)

// Error returns the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused by the endpoint (%s)", e.Reason)
}

// Send sends r to an endpoint at most once and returns the complete answer. After
// an error that wraps ErrNotSent or a *RefusedError, the request has not run; after
// any other error, it may have run.
func Send(ctx context.Context, c *http.Client, to netip.AddrPort, r Request) (Answer, error) {
	resp, err := post(ctx, c, to, pathRequests+string(r.Service), r.Body, requestHeader(ctx, r))
	if err != nil {
		return Answer{}, fmt.Errorf("send request %s: %w", r.ID, err)
	}
	defer resp.Body.Close()
	if err := checkEcho(resp.Header, r); err != nil {
		return Answer{}, err
	}
	leaving := resp.Header.Get(headerLeaving) == "true"
	if reason := resp.Header.Get(headerRefused); reason != "" {
		return Answer{}, fmt.Errorf("send request %s: %w", r.ID, &RefusedError{reason, leaving})
	}
	body, err := readBody(resp, int64(r.MaxAnswer))
	if err != nil {
		return Answer{}, fmt.Errorf("read answer to %s: %w", r.ID, err)
	}
	return Answer{
		Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: body, Leaving: leaving,
	}, nil
}

// EndpointRoutes returns the HTTP routes that serve the requests of Send with
// handle. For a *RefusedError of handle, the answer is a refusal; for
// ErrIncomplete, it is truncated in the middle; for any other error, the connection
// is closed without an answer.
func EndpointRoutes(handle func(context.Context, Request) (Answer, error)) []Route {
	return []Route{{
		Method: http.MethodPost,
		Path:   pathRequests + "{service}",
		Serve: func(w http.ResponseWriter, r *http.Request) {
			req, err := readRequest(w, r)
			if err != nil {
				writeError(w, fmt.Errorf("read request: %w: %w", ErrProtocol, err))
				return
			}
			a, err := handle(r.Context(), req)
			writeAnswer(w, req, a, err)
		},
	}}
}

func requestHeader(ctx context.Context, r Request) http.Header {
	h := http.Header{
		headerRequest: {string(r.ID)},
		headerAttempt: {strconv.Itoa(r.Attempt)},
		// An explicit encoding prevents the transport from decompressing the
		// answer, which would hide its Content-Length.
		"Accept-Encoding": {"identity"},
	}
	if r.Type != "" {
		h.Set("Content-Type", r.Type)
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(headerRemaining, time.Until(deadline).Truncate(time.Millisecond).String())
	}
	return h
}

// checkEcho checks that the headers of an answer have the identifier and the attempt
// of r.
func checkEcho(h http.Header, r Request) error {
	id, attempt := h.Get(headerRequest), h.Get(headerAttempt)
	if id != string(r.ID) || attempt != strconv.Itoa(r.Attempt) {
		return fmt.Errorf("answer to request %q attempt %q instead of request %q attempt %d: %w", id, attempt, r.ID, r.Attempt, ErrMismatch)
	}
	return nil
}

// readBody returns the body of an answer, or an error if the body is truncated or
// longer than limit.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, fmt.Errorf("answer of %d bytes exceeds the limit of %d bytes: %w", resp.ContentLength, limit, ErrTooLarge)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, fmt.Errorf("answer has neither Content-Length nor Transfer-Encoding: %w", ErrIncomplete)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("body failed after %d bytes: %w: %w", len(body), ErrIncomplete, err)
	case int64(len(body)) > limit:
		return nil, fmt.Errorf("answer exceeds the limit of %d bytes: %w", limit, ErrTooLarge)
	case resp.ContentLength >= 0 && resp.ContentLength != int64(len(body)):
		return nil, fmt.Errorf("got %d of %d bytes: %w", len(body), resp.ContentLength, ErrIncomplete)
	}
	return body, nil
}

func readRequest(w http.ResponseWriter, r *http.Request) (Request, error) {
	attempt, err := strconv.Atoi(r.Header.Get(headerAttempt))
	if err != nil {
		return Request{}, fmt.Errorf("parse attempt: %w", err)
	}
	req := Request{
		Service: ident.Service(r.URL.Path[len(pathRequests):]), ID: ident.Request(r.Header.Get(headerRequest)),
		Attempt: attempt, Type: r.Header.Get("Content-Type"),
	}
	if text := r.Header.Get(headerRemaining); text != "" {
		if req.Remaining, err = time.ParseDuration(text); err != nil {
			return Request{}, fmt.Errorf("parse remaining time: %w", err)
		}
	}
	if req.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes)); err != nil {
		return Request{}, fmt.Errorf("read body: %w", err)
	}
	return req, nil
}

func writeAnswer(w http.ResponseWriter, r Request, a Answer, err error) {
	h := w.Header()
	h.Set(headerRequest, string(r.ID))
	h.Set(headerAttempt, strconv.Itoa(r.Attempt))
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		h.Set(headerRefused, refused.Reason)
		h.Set(headerLeaving, strconv.FormatBool(refused.Leaving))
		if refused.Reason == RefusedConnections {
			h.Set("Connection", "close")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil && !errors.Is(err, ErrIncomplete):
		panic(http.ErrAbortHandler)
	}
	h.Set(headerLeaving, strconv.FormatBool(a.Leaving))
	h.Set("Content-Type", a.Type)
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	if err != nil {
		writeTruncated(w, a.Body)
	}
	// After a failed write, the client receives fewer bytes than Content-Length.
	_, _ = w.Write(a.Body)
}

// writeTruncated writes the first half of body and closes the connection.
func writeTruncated(w http.ResponseWriter, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

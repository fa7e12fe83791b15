package client

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/pkg/errors"
)

type (
	// Settings configure a Client. Zero fields other than Servers and Key take
	// their value from DefaultSettings.
	Settings struct {
		// Servers are the addresses of entry instances or of a load balancer.
		Servers []netip.AddrPort
		// Key is the key of a workspace or an operator, sent as bearer token.
		Key string
		// MaxTries is the maximum number of attempts of any call, the first
		// one included.
		MaxTries int
		// FirstPause is the longest back-off after the first attempt of any
		// call. The limit doubles with each attempt up to MaxPause, and the
		// back-off is between half of the limit and the limit. A retry-after of
		// the server is added to it.
		FirstPause time.Duration
		// MaxPause is the longest back-off between two attempts of any call,
		// without the retry-after.
		MaxPause time.Duration
		// TryTimeout limits one attempt of a read-only call, and WriteTimeout
		// one attempt of Submit, Cancel, ApplyConfig and SetDomain, so that
		// time is left to try another instance when one does not respond. For
		// Wait, the time that the server is asked to wait is added to
		// TryTimeout. An attempt of Request is limited by the context alone.
		TryTimeout time.Duration
		// WriteTimeout must exceed the 20 s after which an instance itself
		// gives up on a write.
		WriteTimeout time.Duration
		// Dial opens a connection to a server.
		Dial func(ctx context.Context, server netip.AddrPort) (net.Conn, error)
		// Random returns a number in [0, 1) for the jitter of the back-off.
		Random func() float64
	}

	// Client calls entry instances. It is safe for concurrent use.
	Client struct {
		settings Settings
		http     *http.Client
		// nextServer, modulo the number of servers, is the index of the server
		// to which the next attempt is sent.
		nextServer atomic.Uint32
	}

	// Error is the error of a call whose outcome is notRun or unknown.
	Error struct {
		Outcome wire.Outcome
		// Reason is the reason given by the server, or one of the Reason
		// constants of this package.
		Reason     string
		Detail     string
		RetryAfter time.Duration
		// Status is the HTTP status, or 0 if there was no response.
		Status int
		// RequestID is the request identifier with which the call can be
		// repeated, if the call has one.
		RequestID string
		// Err is the cause, if the failure was detected by the client.
		Err error
	}
)

// Reasons of failures that the client itself detects.
const (
	// ReasonNotSent means that no byte of the request was written to a
	// connection.
	ReasonNotSent = "notSent"
	// ReasonAnswerLost means that bytes were written and no complete response
	// was received.
	ReasonAnswerLost = "answerLost"
	// ReasonMalformedAnswer means that the response does not conform to the
	// HTTP interface of package wire.
	ReasonMalformedAnswer = "malformedAnswer"
	// ReasonNoServer means that Settings.Servers is empty.
	ReasonNoServer = "noServer"
)

const (
	dialTimeout = 2 * time.Second
	// maxResponseSize is the largest accepted response body in bytes. It is
	// above the largest response size that a configuration can allow.
	maxResponseSize = 2 << 30
)

var (
	errNoServer  = errors.New("no server address configured")
	errNoOutcome = errors.New("response has no valid Baobabquay-Outcome header")
	errNoLength  = errors.New("response has neither a content length nor chunked encoding")
	errTooLarge  = errors.New("response body is larger than 2 GiB")
)

// DefaultSettings returns the defaults of all fields but Servers and Key.
func DefaultSettings() Settings {
	return Settings{
		MaxTries:     4,
		FirstPause:   100 * time.Millisecond,
		MaxPause:     2 * time.Second,
		TryTimeout:   10 * time.Second,
		WriteTimeout: 25 * time.Second,
		Dial: func(ctx context.Context, server netip.AddrPort) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTimeout}
			return d.DialContext(ctx, "tcp", server.String())
		},
		Random: rand.Float64,
	}
}

// New returns a client that sends its first attempt to the first server.
func New(s Settings) *Client {
	d := DefaultSettings()
	if s.MaxTries <= 0 {
		s.MaxTries = d.MaxTries
	}
	if s.FirstPause <= 0 {
		s.FirstPause = d.FirstPause
	}
	if s.MaxPause <= 0 {
		s.MaxPause = d.MaxPause
	}
	if s.TryTimeout <= 0 {
		s.TryTimeout = d.TryTimeout
	}
	if s.WriteTimeout <= 0 {
		s.WriteTimeout = d.WriteTimeout
	}
	if s.Dial == nil {
		s.Dial = d.Dial
	}
	if s.Random == nil {
		s.Random = d.Random
	}
	return &Client{settings: s, http: newHTTPClient(s.Dial)}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Error returns the outcome, the reason, and the detail and the cause if there
// are any.
func (e *Error) Error() string {
	s := string(e.Outcome) + ": " + e.Reason
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

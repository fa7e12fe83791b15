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
	// Settings tell where and how to call. Zero fields other than Servers and
	// Key have the value of DefaultSettings.
	Settings struct {
		// Servers are the addresses of entry instances or of a load balancer.
		Servers []netip.AddrPort
		Key     string
		// MaxTries bounds the tries of one call.
		MaxTries int
		// FirstPause and MaxPause bound the back-off between tries. A longer
		// retry-after of the server replaces it.
		FirstPause time.Duration
		MaxPause   time.Duration
		// TryTimeout and WriteTimeout bound one try of calls that read and of
		// calls that change something, so that an instance that does not
		// answer leaves time for another one. A try of Request has the time
		// of the context. WriteTimeout must be above the 20 s after which an
		// instance itself gives up on a write.
		TryTimeout   time.Duration
		WriteTimeout time.Duration
		// Dial connects to a server.
		Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
		// Random returns a number in [0, 1) for the jitter.
		Random func() float64
	}

	// Client calls entry instances. It is safe for concurrent use.
	Client struct {
		settings Settings
		http     *http.Client
		// next is the index of the server that the next call begins with.
		next atomic.Uint32
	}

	// Error is the result of a call that is not done.
	Error struct {
		Outcome wire.Outcome
		// Reason is a reason of the server or one of those in this package.
		Reason     string
		Detail     string
		RetryAfter time.Duration
		// Status is the HTTP status, or 0 without a response.
		Status int
		// RequestID is the identifier with which the call can be repeated.
		RequestID string
		Err       error
	}
)

// The reasons that the client itself gives.
const (
	// ReasonNotSent means that no byte of the call was written.
	ReasonNotSent = "notSent"
	// ReasonAnswerLost means that bytes were written and no whole answer came.
	ReasonAnswerLost = "answerLost"
	// ReasonMalformedAnswer means that the answer is not one of this interface.
	ReasonMalformedAnswer = "malformedAnswer"
	// ReasonNoServer means that the settings have no address.
	ReasonNoServer = "noServer"
)

const (
	dialTimeout = 2 * time.Second
	// maxAnswer bounds the size of an answer in bytes. It is above the largest
	// answer that a configuration can allow.
	maxAnswer = 2 << 30
)

var (
	errNoServer  = errors.New("no server address")
	errNoOutcome = errors.New("the response names no outcome")
	errOpenEnded = errors.New("the response has no length")
	errTooLarge  = errors.New("the response is too large")
)

// DefaultSettings returns the settings in use where none are given.
func DefaultSettings() Settings {
	return Settings{
		MaxTries:     4,
		FirstPause:   100 * time.Millisecond,
		MaxPause:     2 * time.Second,
		TryTimeout:   10 * time.Second,
		WriteTimeout: 25 * time.Second,
		Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTimeout}
			return d.DialContext(ctx, "tcp", to.String())
		},
		Random: rand.Float64,
	}
}

// New returns a client. Its first call begins with the first server.
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
	return &Client{settings: s, http: newHTTP(s.Dial)}
}

// Close closes the connections that are idle.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Error returns outcome, reason, detail and cause.
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

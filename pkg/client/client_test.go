package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// serverScript is an HTTP handler that reacts to each attempt of one call as
// the next of its steps says.
type serverScript struct {
	mu    sync.Mutex
	steps []string
	// attempts lists server, step and request identifier of each attempt.
	attempts []string
}

var errRefused = errors.New("connection refused")

const (
	firstServer  = "127.0.0.1:1"
	secondServer = "127.0.0.1:2"
)

func (s *serverScript) dial(pipe *fakes.Pipe) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, server netip.AddrPort) (net.Conn, error) {
		if s.nextIf(server.String(), "noConnection") {
			return nil, errRefused
		}
		return pipe.Dial(ctx, server)
	}
}

// nextIf consumes the next step if it is the given one, and reports whether it
// was.
func (s *serverScript) nextIf(server, step string) bool {
	s.mu.Lock()
	matches := s.steps[0] == step
	s.mu.Unlock()
	if matches {
		s.next(server, "")
	}
	return matches
}

// next consumes a step and records the attempt.
func (s *serverScript) next(server, id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := s.steps[0]
	s.steps = s.steps[1:]
	s.attempts = append(s.attempts, strings.TrimPrefix(server, "127.0.0.1")+" "+step+" "+id)
	return step
}

// ServeHTTP reacts as the next step says. A step of the form 503-reason is an
// error response with that status and reason.
func (s *serverScript) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var sub wire.Submission
	_ = json.Unmarshal(body, &sub)
	step := s.next(r.Host, sub.RequestID+r.Header.Get(wire.HeaderRequestID))
	h := w.Header()
	switch step {
	case "done":
		h.Set(wire.HeaderOutcome, string(wire.Done))
		_, _ = io.WriteString(w, `{"id":"job-1","ended":"2000-01-01T00:00:00Z"}`)
	case "cut":
		h.Set(wire.HeaderOutcome, string(wire.Done))
		h.Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{}`)
	case "drop":
		panic(http.ErrAbortHandler)
	case "hang":
		<-r.Context().Done()
	case "noOutcome":
		_, _ = io.WriteString(w, `{}`)
	default:
		var e wire.Error
		var status int
		_, _ = fmt.Sscanf(step, "%d-%s", &status, &e.Reason)
		e.Outcome, e.RetryAfter = wire.NotRun, wire.Duration(time.Second)
		if status == http.StatusBadGateway {
			e.Outcome = wire.Unknown
		}
		h.Set(wire.HeaderOutcome, string(e.Outcome))
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(e)
	}
}

// calls maps the first word of a test case to the call under test.
var calls = map[string]func(ctx context.Context, c *Client) error{
	"submit": func(ctx context.Context, c *Client) error {
		_, err := c.Submit(ctx, wire.Submission{RequestID: "r1"})
		return err
	},
	"read": func(ctx context.Context, c *Client) error { _, err := c.Job(ctx, "job-1"); return err },
	"cancel": func(ctx context.Context, c *Client) error {
		_, err := c.Cancel(ctx, "job-1")
		return err
	},
	"request": func(ctx context.Context, c *Client) error {
		_, err := c.Request(ctx, Request{Service: "proof", ID: "r1", NonIdempotent: true})
		return err
	},
	"apply": func(ctx context.Context, c *Client) error {
		_, err := c.ApplyConfig(ctx, wire.ConfigChange{Base: 1})
		return err
	},
	"domain": func(ctx context.Context, c *Client) error { _, err := c.SetDomain(ctx, "ub1", false); return err },
}

// TestAttempts guards against a retry that makes a call run twice, a call
// reported as not run after an attempt that may have run, and a truncated
// response taken as complete.
func TestAttempts(t *testing.T) {
	var all strings.Builder
	for _, line := range []string{
		"submit done", "submit noConnection done", "submit cut done", "submit drop 503-storeUnavailable done",
		"submit drop 400-invalid", "submit 429-queueFull done", "submit 422-neverFits", "submit 409-requestIdReused",
		"submit noOutcome noOutcome noOutcome noOutcome", "submit hang done",
		"submit noConnection noConnection noConnection noConnection",
		"read cut 404-notFound", "read 503-storeUnavailable done", "read 401-wrongKey",
		"cancel drop done", "cancel drop 409-alreadyEnded",
		"request drop done", "request 502-answerLost 502-claimantGone 502-claimantGone 502-claimantGone",
		"request cut 503-noEndpoint done", "request 413-tooLarge", "request hang",
		"apply done", "apply drop", "apply cut", "apply hang", "apply noConnection done", "apply 409-versionConflict",
		"apply 503-storeUnavailable done", "apply 503-storeUnavailable drop",
		"domain drop done",
	} {
		synctest.Test(t, func(t *testing.T) { all.WriteString(runScript(t, line)) })
	}
	golden.Assert(t, all.String(), "attempts.golden")
}

// runScript makes the call named by the first word of line, with the other
// words as the steps of the servers, and describes the result and the attempts.
func runScript(t *testing.T, line string) string {
	words := strings.Fields(line)
	s := &serverScript{steps: words[1:]}
	pipe := fakes.NewPipe()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(pipe) }()
	c := New(Settings{
		Servers: []netip.AddrPort{netip.MustParseAddrPort(firstServer), netip.MustParseAddrPort(secondServer)},
		Dial:    s.dial(pipe), Random: func() float64 { return 0.5 },
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	start := time.Now()
	err := calls[words[0]](ctx, c)
	result := "done"
	var e *Error
	if errors.As(err, &e) {
		result = fmt.Sprintf("%s %s, request %q", e.Outcome, e.Reason, e.RequestID)
	}
	took := time.Since(start)
	c.Close()
	assert.NilError(t, server.Close())
	synctest.Wait()
	assert.Equal(t, len(s.steps), 0, line)
	return fmt.Sprintf("%s: %s after %v\n  %s\n", words[0], result, took, strings.Join(s.attempts, "\n  "))
}

// TestDeadline guards against a back-off beyond the deadline of the caller, and
// against a panic of a client without servers.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &serverScript{steps: []string{"noConnection"}}
		c := New(Settings{
			Servers: []netip.AddrPort{netip.MustParseAddrPort(firstServer)}, Dial: s.dial(nil), FirstPause: time.Minute, MaxPause: time.Hour,
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		_, err := c.Status(ctx)
		assert.ErrorIs(t, err, errRefused)
		assert.Equal(t, time.Since(start), time.Duration(0))
		_, err = New(Settings{}).Jobs(ctx)
		assert.ErrorIs(t, err, errNoServer)
	})
}

package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/inifmt"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// The keys of testdata/site.ini.
const (
	foundryAKey = "00000000000000000000000000000000000000000000000a"
	operatorKey = "00000000000000000000000000000000000000000000000b"
	foundryBKey = "00000000000000000000000000000000000000000000000c"
)

// testConfig returns the configuration of the tests, which allows bodies of 1 KiB.
func testConfig(t *testing.T) *config.Config {
	c, err := parseConfig(string(golden.Get(t, "site.ini")))
	assert.NilError(t, err)
	c.Version = 1
	return c
}

func parseConfig(text string) (*config.Config, error) {
	r, err := inifmt.Read(context.Background(), inifmt.Source{File: "applied", Text: text})
	if err != nil {
		return nil, err
	}
	return r.Config, nil
}

// newHandler returns the handler of an instance that uses the given table, is not
// ready and knows one worker in failure domain ub1. Requests to the service proof
// find no endpoint.
func newHandler(t *testing.T, table store.Table, log event.Log) http.Handler {
	c := testConfig(t)
	capacity := shape.Resources{Accelerators: 8, Processors: 60, Memory: 256 * shape.GiB}
	workers := []fleet.Worker{{Spec: worker.Spec{ID: "w1", Domain: "ub1", Rack: "r1", Capacity: capacity}, Free: capacity}}
	r := relay.New(relay.Calls{
		Config: func() *config.Config { return c },
	}, route.New(route.DefaultSettings()), relay.DefaultSettings(), event.Discard())
	return NewHandler(Deps{
		Config: func() *config.Config { return c }, Region: "ulaanbaatar", Ready: func() bool { return false }, Log: log,
		Relay: r.Do,
		Jobs: intake.New(intake.Deps{
			Table: table, Objects: fakes.NewObjects().Store(), Config: func() *config.Config { return c },
			Candidates: func(ident.Workspace, jobs.Spec) []sched.Candidate {
				return []sched.Candidate{{Summary: sched.Summary{Domain: "ub1"}, InService: true, Workers: workers}}
			},
			Notify: func(ident.Domain, ident.Workspace, ident.Job) {}, Log: event.Discard(),
		}),
		Admin: Admin{
			Render: inifmt.Write, Parse: parseConfig, Apply: applyByBase,
			SetDomain: func(ctx context.Context, d ident.Domain, _ bool) (*config.Config, error) {
				if _, ok := c.Domain(d); !ok {
					return nil, fmt.Errorf("failure domain %s: %w", d, ErrNoDomain)
				}
				return applyByBase(ctx, 1, c)
			},
			Status: func() wire.Status { return wire.Status{} }, Explain: func(jobs.Job) string { return "" },
		},
	})
}

// applyByBase returns a result that depends only on the base version: accepted
// for 1, unknown outcome for 2, store unavailable for 3, otherwise a conflict.
func applyByBase(_ context.Context, base int64, c *config.Config) (*config.Config, error) {
	switch base {
	case 1:
		return c, nil
	case 2:
		return nil, fmt.Errorf("apply: %w", site.ErrOutcomeUnknown)
	case 3:
		return nil, fmt.Errorf("apply: %w", store.ErrUnavailable)
	}
	return nil, &site.ConflictError{Base: base, Current: 1}
}

// parseCall parses a call from a block of testdata/calls.txt: a line with the
// method, the path and the key, then headers, an empty line and the body. The
// body (cut) stands for a truncated one, (large) for one above the limit.
func parseCall(block string) (*http.Request, error) {
	head, body, _ := strings.Cut(block, "\n\n")
	lines := strings.Split(strings.TrimSpace(head), "\n")
	words := strings.Fields(lines[0])
	var content io.Reader = strings.NewReader(body)
	switch text := strings.TrimSpace(body); text {
	case "(cut)":
		content = io.MultiReader(strings.NewReader(`{"shape":`), truncatedReader{})
	case "(large)":
		content = strings.NewReader(strings.Repeat("x", 1025))
	}
	r := httptest.NewRequest(words[0], "http://entry"+words[1], content)
	if key := map[string]string{
		"a": foundryAKey, "b": foundryBKey, "operator": operatorKey, "wrong": strings.Repeat("0", 48),
	}[words[2]]; key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ": ")
		if !ok {
			return nil, errors.Errorf("malformed header line %q", line)
		}
		r.Header.Add(name, value)
	}
	return r, nil
}

// truncatedReader fails like a connection that closes before the end of the
// body.
type truncatedReader struct{}

// Read returns the error of a truncated body.
func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestBadCalls guards against invalid input that is accepted, answered without
// an outcome, or answered with a status, outcome or reason other than the
// documented one, and against a job of another workspace that can be
// distinguished from one that does not exist.
func TestBadCalls(t *testing.T) { synctest.Test(t, testBadCalls) }

func testBadCalls(t *testing.T) {
	b, err := os.ReadFile("testdata/calls.txt")
	assert.NilError(t, err)
	h := newHandler(t, fakes.NewTable().Store(), event.Discard())
	var all strings.Builder
	for block := range strings.SplitSeq(string(b), "\n---\n") {
		r, err := parseCall(block)
		assert.NilError(t, err)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		line, _, _ := strings.Cut(strings.TrimSpace(block), "\n")
		body, _, _ := strings.Cut(w.Body.String(), `,"submitted"`)
		fmt.Fprintf(&all, "%s\n  %d %s %s\n", line, w.Code, w.Header().Get(wire.HeaderOutcome), strings.TrimSpace(body))
	}
	golden.Assert(t, all.String(), "calls.golden")
}

// TestChangeOutcomes guards against a change of the configuration that is
// reported as not run although it may have been accepted.
func TestChangeOutcomes(t *testing.T) {
	h := newHandler(t, fakes.NewTable().Store(), event.Discard())
	text := string(golden.Get(t, "site.ini"))
	for base, want := range map[int]string{
		1: "200 done", 2: "503 unknown", 3: "503 notRun", 4: "409 notRun",
	} {
		body := fmt.Sprintf(`{"base":%d,"text":%q}`, base, text)
		r := httptest.NewRequest(http.MethodPut, wire.PathAdmin+"/config", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+operatorKey)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		assert.Equal(t, fmt.Sprintf("%d %s", w.Code, w.Header().Get(wire.HeaderOutcome)), want)
	}
}

// TestRefusedChanges guards against a refused change of the configuration that
// is not logged, and against one logged as refused that may be in force.
func TestRefusedChanges(t *testing.T) {
	var out strings.Builder
	h := newHandler(t, fakes.NewTable().Store(), event.New(funcr.New(func(_, args string) {
		fmt.Fprintf(&out, "  %s\n", args)
	}, funcr.Options{})))
	text := string(golden.Get(t, "site.ini"))
	for _, call := range []struct{ path, key, body string }{
		{"/config", operatorKey, fmt.Sprintf(`{"base":1,"text":%q}`, text)},
		{"/config", operatorKey, fmt.Sprintf(`{"base":2,"text":%q}`, text)},
		{"/config", operatorKey, fmt.Sprintf(`{"base":3,"text":%q}`, text)},
		{"/config", operatorKey, fmt.Sprintf(`{"base":4,"text":%q}`, text)},
		{"/config", operatorKey, `{"base":1,"text":"[site]\nname = a b"}`},
		{"/config", foundryAKey, fmt.Sprintf(`{"base":4,"text":%q}`, text)},
		{"/domains/ub9", operatorKey, `{"inService":false}`},
	} {
		r := httptest.NewRequest(http.MethodPut, wire.PathAdmin+call.path, strings.NewReader(call.body))
		r.Header.Set("Authorization", "Bearer "+call.key)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		fmt.Fprintf(&out, "%s %d\n", call.path, w.Code)
	}
	golden.Assert(t, out.String(), "refused.golden")
}

package plat_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

type (
	// stubServer implements all services with functions that return fixed values
	// and err.
	stubServer struct {
		err error
		// onCall, if not nil, is called with the argument of each call.
		onCall func(v any)
	}

	// recorder records the messages of the calls that it passes to next.
	recorder struct {
		out  strings.Builder
		next http.Handler
	}
)

// testTimeout bounds each test. It is far above the duration of any test.
const testTimeout = time.Minute

var (
	attempt = worker.Attempt{Workspace: "foundry-a", Job: "proofs", Number: 2}
	header  = worker.Header{Epoch: 3, ConfigVersion: 7}
	spec    = worker.Spec{
		ID: "w1", Domain: "ub1", Rack: "r1", Address: netip.MustParseAddrPort("127.0.0.1:7101"),
		Capacity: shape.Resources{Accelerators: 8, Processors: 60, Memory: 256 * shape.GiB},
	}
	instances = []plat.Instance{
		{Kind: plat.KindWorker, State: plat.Live, Worker: spec},
		{Kind: plat.KindEndpoint, State: plat.Leaving, Endpoint: plat.Endpoint{
			Name: "proof-1", Service: "proof", Address: netip.MustParseAddrPort("127.0.0.1:7301"),
			Domain: "ub1", Region: "ulaanbaatar", Slots: 8, Connections: 60,
		}},
		{Kind: plat.KindEntry, State: plat.Live, Entry: plat.Entry{
			Name: "entry-1", Address: netip.MustParseAddrPort("127.0.0.1:7501"),
			Peer: netip.MustParseAddrPort("127.0.0.1:7502"), Domain: "ub1", Region: "ulaanbaatar",
		}},
	}
	report = worker.Report{
		Worker: "w1", Epoch: 3, ConfigVersion: 7, Uptime: 90*time.Second + time.Nanosecond, Incarnation: "b1",
		Statuses: []worker.Status{{
			Attempt: attempt, State: worker.Done, Members: 2, Member: shape.Resources{Accelerators: 4},
			Progress: 2 * time.Minute, Saved: time.Second, Result: []byte("text"), Detail: "d",
		}},
	}
	txn = store.Txn{
		Checks: []store.Check{{Key: "a", Version: 4}}, Puts: []store.Put{{Key: "a", Value: []byte{0, 255}}}, Deletes: []string{"b"},
	}
	request = plat.Request{
		Service: "proof", ID: "r1", Attempt: 2, Type: "text/plain", Body: []byte("hello"), MaxAnswer: 64,
	}
)

// reply returns a function that passes its argument to s.onCall and returns v and
// s.err.
func reply[In, Out any](s stubServer, v Out) func(context.Context, In) (Out, error) {
	return func(_ context.Context, in In) (Out, error) {
		if s.onCall != nil {
			s.onCall(in)
		}
		return v, s.err
	}
}

// replyEmpty is like reply, for calls without a result.
func replyEmpty[In any](s stubServer) func(context.Context, In) error {
	return func(ctx context.Context, in In) error {
		_, err := reply[In](s, struct{}{})(ctx, in)
		return err
	}
}

func (s stubServer) routes() []plat.Route {
	table := store.Table{
		Get:    reply[string](s, store.Row{Key: "a", Value: []byte("x"), Version: 5}),
		Scan:   reply[string](s, []store.Row{{Key: "a/1", Value: []byte("x"), Version: 5}}),
		Commit: reply[store.Txn](s, int64(6)),
	}
	objects := store.Objects{
		Get: reply[string](s, []byte("object")),
		Put: func(ctx context.Context, key string, value []byte) error {
			return replyEmpty[string](s)(ctx, key+" "+string(value))
		},
	}
	list := plat.List{
		Read: func(context.Context) ([]plat.Instance, error) { return instances, s.err },
		Register: func(ctx context.Context, i plat.Instance, ttl time.Duration) error {
			return replyEmpty[string](s)(ctx, fmt.Sprint(i, ttl))
		},
		Remove: replyEmpty[plat.Instance](s),
	}
	agent := worker.Agent{
		Report:     func(context.Context) (worker.Report, error) { return report, s.err },
		Fence:      reply[worker.Fence](s, report),
		Reserve:    replyEmpty[worker.Reserve](s),
		Start:      replyEmpty[worker.Start](s),
		Renew:      replyEmpty[worker.Renew](s),
		Checkpoint: replyEmpty[worker.Checkpoint](s),
		Throttle:   replyEmpty[worker.Throttle](s),
		Stop:       replyEmpty[worker.Stop](s),
	}
	return slices.Concat(plat.TableRoutes(table), plat.ObjectsRoutes(objects), plat.ListRoutes(list), plat.AgentRoutes(agent))
}

// callAll makes each call to the server at to and passes the results to record.
func callAll(ctx context.Context, to netip.AddrPort, record func(name string, result any, err error)) {
	c := plat.NewClient(time.Second)
	table, objects, list := plat.Table(to, c), plat.Objects(to, c), plat.Instances(to, c)
	a := plat.Agent(to, c)
	recordError := func(name string, err error) { record(name, nil, err) }

	row, err := table.Get(ctx, "a")
	record("table.Get", row, err)
	rows, err := table.Scan(ctx, "a/")
	record("table.Scan", rows, err)
	version, err := table.Commit(ctx, txn)
	record("table.Commit", version, err)
	value, err := objects.Get(ctx, "o")
	record("objects.Get", string(value), err)
	recordError("objects.Put", objects.Put(ctx, "o", []byte("object")))
	listed, err := list.Read(ctx)
	record("list.Read", listed, err)
	recordError("list.Register", list.Register(ctx, instances[1], 5*time.Second))
	recordError("list.Remove", list.Remove(ctx, instances[2]))
	r, err := a.Report(ctx)
	record("agent.Report", r, err)
	r, err = a.Fence(ctx, worker.Fence{Header: header})
	record("agent.Fence", r, err)
	recordError("agent.Reserve", a.Reserve(ctx, worker.Reserve{
		Header: header, Attempt: attempt, Members: 2, Member: spec.Capacity, Hold: 10 * time.Second,
	}))
	recordError("agent.Start", a.Start(ctx, worker.Start{
		Header: header, Attempt: attempt, First: 4, Uptime: 1500 * time.Millisecond, Incarnation: "b1", InService: true,
		Saved: time.Minute, Payload: []byte("{}"),
	}))
	recordError("agent.Renew", a.Renew(ctx, worker.Renew{
		Header: header, Attempts: []worker.Attempt{attempt}, Lease: 30 * time.Second,
	}))
	recordError("agent.Checkpoint", a.Checkpoint(ctx, worker.Checkpoint{Header: header, Attempt: attempt}))
	recordError("agent.Throttle", a.Throttle(ctx, worker.Throttle{Header: header, Attempt: attempt, Share: 0.5}))
	recordError("agent.Stop", a.Stop(ctx, worker.Stop{Header: header, Attempts: []worker.Attempt{attempt}}))
}

// ServeHTTP records the request and the answer.
func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(err)
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	fmt.Fprintf(&r.out, "%s %s\n%s\n", req.Method, req.URL.Path, body)
	response := httptest.NewRecorder()
	r.next.ServeHTTP(response, req)
	fmt.Fprintf(&r.out, "answer: %d %s\n\n", response.Code, response.Body)
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes())
}

// serve starts h on a free port until the test ends.
func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	s, err := fakes.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 0, h)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Kill()) })
	return s.Address
}

// testContext returns a context that ends after testTimeout or with the test.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// TestMessages compares all messages with a golden file to detect changes that the
// other side does not know, and checks that no field is lost between client and
// server.
func TestMessages(t *testing.T) {
	rec := &recorder{}
	onCall := func(v any) { fmt.Fprintf(&rec.out, "decoded: %+v\n", v) }
	rec.next = fakes.Router(stubServer{onCall: onCall}.routes()...)
	var results strings.Builder
	callAll(testContext(t), serve(t, rec), func(name string, result any, err error) {
		assert.NilError(t, err, name)
		fmt.Fprintf(&results, "%s: %+v\n", name, result)
		switch got := result.(type) {
		case worker.Report:
			assert.DeepEqual(t, got, report)
		case []plat.Instance:
			assert.Equal(t, fmt.Sprint(got), fmt.Sprint(instances))
		}
	})
	golden.Assert(t, rec.out.String()+results.String(), "messages.golden")
}

// TestErrors checks that an error never claims more than is known: that a write had
// no effect although it may have had one, or the reverse.
func TestErrors(t *testing.T) {
	closed, err := fakes.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 0, http.NotFoundHandler())
	assert.NilError(t, err)
	cancelled, cancel := context.WithCancel(testContext(t))
	cancel()
	failing := func(err error) netip.AddrPort { return serve(t, fakes.Router(stubServer{err: err}.routes()...)) }
	var out strings.Builder
	cases := []struct {
		name string
		ctx  context.Context
		to   netip.AddrPort
	}{
		{"not found", testContext(t), failing(store.ErrNotFound)},
		{"conflict", testContext(t), failing(&store.ConflictError{Keys: []string{"a", "b"}})},
		{"service unavailable", testContext(t), failing(store.ErrUnavailable)},
		{"refused by the worker", testContext(t), failing(&worker.RefusedError{Reason: worker.ReasonStaleEpoch, Detail: "d"})},
		{"answer lost after the write", testContext(t), failing(store.ErrUncertain)},
		{"worker unreachable", testContext(t), failing(worker.ErrUnreachable)},
		{"internal error of the service", testContext(t), failing(io.ErrUnexpectedEOF)},
		{"connection refused", testContext(t), closed.Address},
		{"context ended before the call", cancelled, failing(nil)},
		{"unknown paths", testContext(t), serve(t, fakes.Router())},
		{"503 without an error body", testContext(t), serve(t, status(http.StatusServiceUnavailable, "busy"))},
		{"200 without a JSON body", testContext(t), serve(t, status(http.StatusOK, "<html>"))},
		{"message rejected as malformed", testContext(t), serve(t, status(http.StatusBadRequest, `{"error":"badRequest"}`))},
	}
	// The port is freed only now, so that no server above gets it.
	assert.NilError(t, closed.Kill())
	for _, c := range cases {
		fmt.Fprintf(&out, "%s\n", c.name)
		callAll(c.ctx, c.to, func(name string, _ any, err error) {
			fmt.Fprintf(&out, "  %s: %s\n", name, errorKinds(err))
		})
	}
	golden.Assert(t, out.String(), "errors.golden")
}

func status(code int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	})
}

// errorKinds returns the texts of all errors of packages plat, store, worker and
// context that err wraps.
func errorKinds(err error) string {
	var (
		kinds    []string
		conflict *store.ConflictError
		refused  *worker.RefusedError
		endpoint *plat.RefusedError
	)
	for _, k := range []error{
		store.ErrNotFound, store.ErrUnavailable, store.ErrUncertain, worker.ErrUnreachable, plat.ErrProtocol,
		plat.ErrNotSent, plat.ErrIncomplete, plat.ErrTooLarge, plat.ErrMismatch, context.Canceled, context.DeadlineExceeded,
	} {
		if errors.Is(err, k) {
			kinds = append(kinds, k.Error())
		}
	}
	if errors.As(err, &conflict) {
		kinds = append(kinds, conflict.Error())
	}
	if errors.As(err, &refused) {
		kinds = append(kinds, refused.Error())
	}
	if errors.As(err, &endpoint) {
		kinds = append(kinds, fmt.Sprintf("%v, leaving %v", endpoint, endpoint.Leaving))
	}
	switch {
	case err == nil:
		return "no error"
	case len(kinds) == 0:
		return "unknown"
	}
	return strings.Join(kinds, ", ")
}

// TestLostCommit checks that a commit whose answer is lost is not reported as
// without effect: the row has been written.
func TestLostCommit(t *testing.T) {
	ctx := testContext(t)
	fake := fakes.NewTable()
	to := serve(t, fakes.Router(plat.TableRoutes(fake.Store())...))
	table := plat.Table(to, plat.NewClient(time.Second))
	fake.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 1})
	put := store.Txn{Checks: []store.Check{{Key: "a"}}, Puts: []store.Put{{Key: "a", Value: []byte("nonce")}}}
	_, err := table.Commit(ctx, put)
	assert.Assert(t, errors.Is(err, store.ErrUncertain) && !errors.Is(err, store.ErrUnavailable))
	assert.ErrorIs(t, err, io.EOF, "the server closes the connection without an answer")
	row, err := table.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "nonce")
	assert.Equal(t, len(fake.Log()), 1)
	_, err = table.Commit(ctx, put)
	assert.Assert(t, store.IsConflict(err))
}

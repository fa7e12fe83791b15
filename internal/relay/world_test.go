package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/claim"
	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

type (
	// behaviour is how a backend treats one attempt.
	behaviour func(ctx context.Context, w *world, b *backend, a Attempt) (Reply, error)

	// backend is a fake endpoint.
	backend struct {
		route.Endpoint
		// script is used up in order; then usual applies.
		script  []behaviour
		usual   behaviour
		running int
		last    Reply
		leftAt  time.Time
	}

	// world is the fakes around the relays of several instances, with a log
	// that is independent of the relays.
	world struct {
		mu       sync.Mutex
		rows     map[string]store.Row
		version  int64
		backends []*backend
		relays   map[ident.Instance]*Relay
		dead     map[ident.Instance]bool
		// open counts the callers that wait for an instance.
		open map[ident.Instance]int
		// commitFault and readFault, if not nil, come before the table.
		commitFault func(i ident.Instance, apply func() (int64, error)) (int64, error)
		readFault   func() error
		// resolveFault, if not nil, tells whether an answer of Resolve is lost.
		resolveFault func() bool
		// step, if not nil, is called by each instance at each step.
		step    func(i ident.Instance, name string)
		runs    map[flightKey]int
		sends   int
		commits int
		breach  []string
	}
)

const (
	seed    = 11
	runTime = 100 * time.Millisecond
)

var errBroken = errors.New("connection broke")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func advance(d time.Duration) { <-time.After(d) }

// newWorld returns n instances and the given number of endpoints.
func newWorld(instances, endpoints int, change func(*Calls, *Settings)) *world {
	w := &world{
		rows: make(map[string]store.Row), runs: make(map[flightKey]int),
		relays: make(map[ident.Instance]*Relay), dead: make(map[ident.Instance]bool),
		open: make(map[ident.Instance]int),
	}
	for i := range endpoints {
		w.backends = append(w.backends, &backend{usual: answers, Endpoint: route.Endpoint{
			Name: ident.Endpoint(fmt.Sprint("e", i)), Service: "proofs", Region: "coast", Slots: 8,
			Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
		}})
	}
	for i := range instances {
		w.start(ident.Instance(fmt.Sprint("entry-", i+1)), uint64(i), change)
	}
	return w
}

func (w *world) start(name ident.Instance, n uint64, change func(*Calls, *Settings)) {
	c := &config.Config{
		Limits:   config.Limits{MaxBody: shape.MiB, RetryShare: 0.1},
		Services: []config.Service{{Name: "proofs", QueueLimit: 200}},
	}
	random := rand.New(rand.NewPCG(seed, n))
	var mu sync.Mutex
	rs, s, cs := route.DefaultSettings(), DefaultSettings(), claim.DefaultSettings()
	rs.IntN = func(n int) int { mu.Lock(); defer mu.Unlock(); return random.IntN(n) }
	s.Backoff.Float64 = func() float64 { mu.Lock(); defer mu.Unlock(); return random.Float64() }
	cs.Backoff, s.Instance = s.Backoff, name
	calls := Calls{
		Config: func() *config.Config { return c }, Send: w.sender(name), Resolve: w.resolver(name),
		Take: claim.New(w.table(name), name, cs).Take,
	}
	if change != nil {
		change(&calls, &s)
	}
	r := New(calls, route.New(rs), s, event.Discard())
	w.relays[name] = r
	r.UpdateEndpoints(w.list(), time.Now())
}

func (w *world) list() []route.Endpoint {
	var l []route.Endpoint
	for _, b := range w.backends {
		l = append(l, b.Endpoint)
	}
	return l
}

func (w *world) isDead(i ident.Instance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[i]
}

func (w *world) kill(i ident.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead[i] = true
}

func (w *world) reach(i ident.Instance, step string) {
	if w.step != nil {
		w.step(i, step)
	}
}

// table returns the table as the instance sees it. A dead instance gets no
// answers, and its writes have no effect.
func (w *world) table(i ident.Instance) store.Table {
	return store.Table{
		Get: func(_ context.Context, key string) (store.Row, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.dead[i] {
				return store.Row{}, store.ErrUnavailable
			}
			if w.readFault != nil {
				if err := w.readFault(); err != nil {
					return store.Row{}, err
				}
			}
			row, ok := w.rows[key]
			if !ok {
				return store.Row{Key: key}, store.ErrNotFound
			}
			return row, nil
		},
		Commit: func(_ context.Context, t store.Txn) (int64, error) {
			w.reach(i, "before the commit")
			if w.isDead(i) {
				return 0, store.ErrUnavailable
			}
			apply := func() (int64, error) { return w.apply(t) }
			defer w.reach(i, "after the commit")
			w.mu.Lock()
			fault := w.commitFault
			w.mu.Unlock()
			if fault != nil {
				return fault(i, apply)
			}
			return apply()
		},
	}
}

// heal ends all faults of endpoints and store.
func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backends {
		b.script = nil
	}
	w.commitFault, w.readFault = nil, nil
}

func (w *world) apply(t store.Txn) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commits++
	var c store.ConflictError
	for _, k := range t.Checks {
		if w.rows[k.Key].Version != k.Version {
			c.Keys = append(c.Keys, k.Key)
		}
	}
	if c.Keys != nil {
		return 0, &c
	}
	w.version++
	for _, p := range t.Puts {
		w.rows[p.Key] = store.Row{Key: p.Key, Value: p.Value, Version: w.version}
	}
	return w.version, nil
}

func (w *world) resolver(asker ident.Instance) func(context.Context, ident.Instance, ident.Workspace, ident.Request) (Answer, error) {
	return func(ctx context.Context, i ident.Instance, ws ident.Workspace, id ident.Request) (Answer, error) {
		if w.isDead(i) || w.isDead(asker) {
			return Answer{}, errBroken
		}
		ans := w.relays[i].Resolve(ctx, asker, ws, id)
		if w.resolveFault != nil && w.resolveFault() {
			return Answer{}, errBroken
		}
		return ans, nil
	}
}

func (w *world) sender(i ident.Instance) func(context.Context, route.Endpoint, Attempt) (Reply, error) {
	return func(ctx context.Context, e route.Endpoint, a Attempt) (Reply, error) {
		w.reach(i, "before the send")
		if w.isDead(i) {
			return Reply{}, ErrNotSent
		}
		w.mu.Lock()
		w.sends++
		b := w.backends[slices.IndexFunc(w.backends, func(b *backend) bool { return b.Name == e.Name })]
		do := b.usual
		if len(b.script) > 0 {
			do, b.script = b.script[0], b.script[1:]
		}
		if !b.leftAt.IsZero() && time.Since(b.leftAt) > 3*time.Second {
			w.breach = append(w.breach, fmt.Sprintf("P7: %s got %s after it left", b.Name, a.ID))
		}
		w.mu.Unlock()
		reply, err := do(ctx, w, b, a)
		w.reach(i, "after the run")
		return reply, err
	}
}

// submit sends a request through an instance as a caller does, and checks the
// answer against the log of the backends.
func (w *world) submit(i ident.Instance, req Request) Answer {
	w.mu.Lock()
	w.open[i]++
	w.mu.Unlock()
	ans := w.relays[i].Do(context.Background(), req)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[i]--
	runs := w.runs[keyOf(req.Workspace, req.ID)]
	switch {
	case w.dead[i]:
		return Answer{Reason: "brokenConnection"}
	case ans.Outcome == Done && string(ans.Body) != expected(req.Workspace, req.ID, req.Body):
		w.breach = append(w.breach, fmt.Sprintf("P4: %s got %q", req.ID, ans.Body))
	case ans.Outcome == NotRun && runs > 0:
		w.breach = append(w.breach, fmt.Sprintf("P5: %s was run", req.ID))
	}
	return ans
}

// run executes an attempt, which takes d.
func (w *world) run(b *backend, a Attempt, d time.Duration) Reply {
	w.mu.Lock()
	key := keyOf(a.Workspace, a.ID)
	w.runs[key]++
	if w.runs[key] > 1 && strings.HasPrefix(string(a.ID), "once") {
		w.breach = append(w.breach, fmt.Sprintf("P6: %s ran %d times", a.ID, w.runs[key]))
	}
	b.running++
	w.mu.Unlock()
	advance(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	b.running--
	reply := Reply{ID: a.ID, Attempt: a.Number, Complete: true, Status: 200, Body: []byte(expected(a.Workspace, a.ID, a.Body))}
	b.last = reply
	return reply
}

func expected(ws ident.Workspace, id ident.Request, body []byte) string {
	return fmt.Sprintf("%s/%s: %s", ws, id, body)
}

// request returns a request; identifiers that begin with "once" are not idempotent.
func request(id string) Request {
	return Request{
		Workspace: "foundry-a", ID: ident.Request(id), Service: "proofs", Region: "coast",
		NonIdempotent: strings.HasPrefix(id, "once"), Body: []byte("glyphs"), Deadline: time.Now().Add(10 * time.Second),
	}
}

func answers(_ context.Context, w *world, b *backend, a Attempt) (Reply, error) {
	w.mu.Lock()
	full := b.running >= b.Slots
	w.mu.Unlock()
	if full {
		return Reply{}, &RefusedError{}
	}
	return w.run(b, a, runTime), nil
}

func refuses(context.Context, *world, *backend, Attempt) (Reply, error) {
	return Reply{}, &RefusedError{RetryAfter: time.Second}
}

func unreachable(context.Context, *world, *backend, Attempt) (Reply, error) {
	return Reply{}, fmt.Errorf("dial: %w", ErrNotSent)
}

func diesBefore(context.Context, *world, *backend, Attempt) (Reply, error) { return Reply{}, errBroken }

func diesAfter(_ context.Context, w *world, b *backend, a Attempt) (Reply, error) {
	w.run(b, a, runTime)
	return Reply{}, errBroken
}

func late(ctx context.Context, w *world, b *backend, a Attempt) (Reply, error) {
	go w.run(b, a, time.Minute)
	<-ctx.Done()
	return Reply{}, ctx.Err()
}

func truncated(_ context.Context, w *world, b *backend, a Attempt) (Reply, error) {
	reply := w.run(b, a, runTime)
	reply.Complete, reply.Body = false, reply.Body[:3]
	return reply, nil
}

// previous answers with the reply to the request before, as a connection does
// on which answers are doubled or out of order.
func previous(_ context.Context, w *world, b *backend, a Attempt) (Reply, error) {
	w.mu.Lock()
	last := b.last
	w.mu.Unlock()
	w.run(b, a, runTime)
	return last, nil
}

func leaves(_ context.Context, w *world, b *backend, a Attempt) (Reply, error) {
	reply := w.run(b, a, runTime)
	reply.Leaving = true
	w.mu.Lock()
	defer w.mu.Unlock()
	b.leftAt = time.Now()
	return reply, nil
}

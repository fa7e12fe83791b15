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
	// behaviour is the reaction of a fake endpoint to one attempt.
	behaviour func(ctx context.Context, h *harness, f *fakeEndpoint, a Attempt) (Reply, error)

	// fakeEndpoint is an endpoint with scripted behaviour.
	fakeEndpoint struct {
		route.Endpoint
		// script holds the behaviours for the next attempts, in order. When it
		// is used up, defaultBehaviour applies.
		script           []behaviour
		defaultBehaviour behaviour
		running          int
		lastReply        Reply
		leftAt           time.Time
	}

	// harness connects the relays of several instances to fake endpoints and a
	// fake store. It records runs and breaches of promises independently of the
	// relays; guardTest lists the promises by number.
	harness struct {
		mu        sync.Mutex
		rows      map[string]store.Row
		version   int64
		endpoints []*fakeEndpoint
		relays    map[ident.Instance]*Relay
		dead      map[ident.Instance]bool
		// waitingCallers counts the callers that wait for each instance.
		waitingCallers map[ident.Instance]int
		// commitFault, if not nil, handles commits in place of the table.
		// readFault, if not nil, is called before each read and may fail it.
		commitFault func(i ident.Instance, apply func() (int64, error)) (int64, error)
		readFault   func() error
		// resolveFault, if not nil, reports whether an answer of Resolve is
		// lost.
		resolveFault func() bool
		// onStep, if not nil, is called when an instance reaches a step of a
		// commit or an attempt.
		onStep   func(i ident.Instance, name string)
		runs     map[flightKey]int
		sends    int
		commits  int
		breaches []string
	}
)

const (
	seed    = 11
	runTime = 100 * time.Millisecond
)

var errConnectionLost = errors.New("connection lost")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// advance lets the fake time of the synctest bubble advance by d.
func advance(d time.Duration) { <-time.After(d) }

// newHarness returns a harness with the given numbers of instances and endpoints.
// If change is not nil, it adjusts the calls and settings of each relay.
func newHarness(instances, endpoints int, change func(*Calls, *Settings)) *harness {
	h := &harness{
		rows: make(map[string]store.Row), runs: make(map[flightKey]int),
		relays: make(map[ident.Instance]*Relay), dead: make(map[ident.Instance]bool),
		waitingCallers: make(map[ident.Instance]int),
	}
	for i := range endpoints {
		h.endpoints = append(h.endpoints, &fakeEndpoint{defaultBehaviour: answers, Endpoint: route.Endpoint{
			Name: ident.Endpoint(fmt.Sprint("e", i)), Service: "proofs", Region: "coast", Slots: 8,
			Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
		}})
	}
	for i := range instances {
		h.start(ident.Instance(fmt.Sprint("entry-", i+1)), uint64(i), change)
	}
	return h
}

func (h *harness) start(name ident.Instance, stream uint64, change func(*Calls, *Settings)) {
	c := &config.Config{
		Limits:   config.Limits{MaxBody: shape.MiB, RetryShare: 0.1},
		Services: []config.Service{{Name: "proofs", QueueLimit: 200}},
	}
	random := rand.New(rand.NewPCG(seed, stream))
	var mu sync.Mutex
	routeSettings, relaySettings, claimSettings := route.DefaultSettings(), DefaultSettings(), claim.DefaultSettings()
	routeSettings.IntN = func(n int) int { mu.Lock(); defer mu.Unlock(); return random.IntN(n) }
	relaySettings.Backoff.Float64 = func() float64 { mu.Lock(); defer mu.Unlock(); return random.Float64() }
	claimSettings.Backoff, relaySettings.Instance = relaySettings.Backoff, name
	calls := Calls{
		Config: func() *config.Config { return c }, Send: h.sender(name), Resolve: h.resolver(name),
		Take: claim.New(h.table(name), name, claimSettings).Take,
	}
	if change != nil {
		change(&calls, &relaySettings)
	}
	r := New(calls, route.New(routeSettings), relaySettings, event.Discard())
	h.relays[name] = r
	r.UpdateEndpoints(h.list(), time.Now())
}

func (h *harness) list() []route.Endpoint {
	var l []route.Endpoint
	for _, f := range h.endpoints {
		l = append(l, f.Endpoint)
	}
	return l
}

func (h *harness) isDead(i ident.Instance) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead[i]
}

// kill makes an instance lose its connections to the store, the endpoints, other
// instances and its callers.
func (h *harness) kill(i ident.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead[i] = true
}

func (h *harness) reachStep(i ident.Instance, step string) {
	if h.onStep != nil {
		h.onStep(i, step)
	}
}

// table returns the fake store's table as the instance sees it. A dead instance
// gets no answers, and its commits have no effect.
func (h *harness) table(i ident.Instance) store.Table {
	return store.Table{
		Get: func(_ context.Context, key string) (store.Row, error) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.dead[i] {
				return store.Row{}, store.ErrUnavailable
			}
			if h.readFault != nil {
				if err := h.readFault(); err != nil {
					return store.Row{}, err
				}
			}
			row, ok := h.rows[key]
			if !ok {
				return store.Row{Key: key}, store.ErrNotFound
			}
			return row, nil
		},
		Commit: func(_ context.Context, t store.Txn) (int64, error) {
			h.reachStep(i, "before the commit")
			if h.isDead(i) {
				return 0, store.ErrUnavailable
			}
			apply := func() (int64, error) { return h.apply(t) }
			defer h.reachStep(i, "after the commit")
			h.mu.Lock()
			fault := h.commitFault
			h.mu.Unlock()
			if fault != nil {
				return fault(i, apply)
			}
			return apply()
		},
	}
}

// clearFaults ends all faults of the endpoints and the store.
func (h *harness) clearFaults() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.endpoints {
		f.script = nil
	}
	h.commitFault, h.readFault = nil, nil
}

// apply applies a transaction to the table if the versions of its checks match.
func (h *harness) apply(t store.Txn) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commits++
	var c store.ConflictError
	for _, k := range t.Checks {
		if h.rows[k.Key].Version != k.Version {
			c.Keys = append(c.Keys, k.Key)
		}
	}
	if c.Keys != nil {
		return 0, &c
	}
	h.version++
	for _, p := range t.Puts {
		h.rows[p.Key] = store.Row{Key: p.Key, Value: p.Value, Version: h.version}
	}
	return h.version, nil
}

func (h *harness) resolver(asker ident.Instance) func(context.Context, ident.Instance, ident.Workspace, ident.Request) (Answer, error) {
	return func(ctx context.Context, i ident.Instance, ws ident.Workspace, id ident.Request) (Answer, error) {
		if h.isDead(i) || h.isDead(asker) {
			return Answer{}, errConnectionLost
		}
		answer := h.relays[i].Resolve(ctx, asker, ws, id)
		if h.resolveFault != nil && h.resolveFault() {
			return Answer{}, errConnectionLost
		}
		return answer, nil
	}
}

func (h *harness) sender(i ident.Instance) func(context.Context, route.Endpoint, Attempt) (Reply, error) {
	return func(ctx context.Context, e route.Endpoint, a Attempt) (Reply, error) {
		h.reachStep(i, "before the send")
		if h.isDead(i) {
			return Reply{}, ErrNotSent
		}
		h.mu.Lock()
		h.sends++
		f := h.endpoints[slices.IndexFunc(h.endpoints, func(f *fakeEndpoint) bool { return f.Name == e.Name })]
		do := f.defaultBehaviour
		if len(f.script) > 0 {
			do, f.script = f.script[0], f.script[1:]
		}
		if !f.leftAt.IsZero() && time.Since(f.leftAt) > 3*time.Second {
			h.breaches = append(h.breaches, fmt.Sprintf("P7: %s received %s more than 3 s after it announced leaving", f.Name, a.ID))
		}
		h.mu.Unlock()
		reply, err := do(ctx, h, f, a)
		h.reachStep(i, "after the run")
		return reply, err
	}
}

// submit submits a request through an instance as a caller does, and checks the
// answer against the recorded runs.
func (h *harness) submit(i ident.Instance, req Request) Answer {
	h.mu.Lock()
	h.waitingCallers[i]++
	h.mu.Unlock()
	answer := h.relays[i].Do(context.Background(), req)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitingCallers[i]--
	runs := h.runs[keyOf(req.Workspace, req.ID)]
	switch {
	case h.dead[i]:
		return Answer{Reason: "brokenConnection"}
	case answer.Outcome == Done && string(answer.Body) != expectedBody(req.Workspace, req.ID, req.Body):
		h.breaches = append(h.breaches, fmt.Sprintf("P4: %s was answered with %q", req.ID, answer.Body))
	case answer.Outcome == NotRun && runs > 0:
		h.breaches = append(h.breaches, fmt.Sprintf("P5: %s ran but was answered NotRun", req.ID))
	}
	return answer
}

// run runs the request of an attempt at the endpoint, which takes d, and returns
// the reply.
func (h *harness) run(f *fakeEndpoint, a Attempt, d time.Duration) Reply {
	h.mu.Lock()
	key := keyOf(a.Workspace, a.ID)
	h.runs[key]++
	if h.runs[key] > 1 && strings.HasPrefix(string(a.ID), "once") {
		h.breaches = append(h.breaches, fmt.Sprintf("P6: %s ran %d times", a.ID, h.runs[key]))
	}
	f.running++
	h.mu.Unlock()
	advance(d)
	h.mu.Lock()
	defer h.mu.Unlock()
	f.running--
	reply := Reply{ID: a.ID, Attempt: a.Number, Complete: true, Status: 200, Body: []byte(expectedBody(a.Workspace, a.ID, a.Body))}
	f.lastReply = reply
	return reply
}

func expectedBody(ws ident.Workspace, id ident.Request, body []byte) string {
	return fmt.Sprintf("%s/%s: %s", ws, id, body)
}

// request returns a request with the identifier id. It is non-idempotent if id
// begins with "once".
func request(id string) Request {
	return Request{
		Workspace: "foundry-a", ID: ident.Request(id), Service: "proofs", Region: "coast",
		NonIdempotent: strings.HasPrefix(id, "once"), Body: []byte("glyphs"), Deadline: time.Now().Add(10 * time.Second),
	}
}

// answers runs the request, unless all slots of the endpoint are in use.
func answers(_ context.Context, h *harness, f *fakeEndpoint, a Attempt) (Reply, error) {
	h.mu.Lock()
	full := f.running >= f.Slots
	h.mu.Unlock()
	if full {
		return Reply{}, &RefusedError{}
	}
	return h.run(f, a, runTime), nil
}

func refuses(context.Context, *harness, *fakeEndpoint, Attempt) (Reply, error) {
	return Reply{}, &RefusedError{RetryAfter: time.Second}
}

func unreachable(context.Context, *harness, *fakeEndpoint, Attempt) (Reply, error) {
	return Reply{}, fmt.Errorf("dial: %w", ErrNotSent)
}

func diesBeforeRun(context.Context, *harness, *fakeEndpoint, Attempt) (Reply, error) {
	return Reply{}, errConnectionLost
}

func diesAfterRun(_ context.Context, h *harness, f *fakeEndpoint, a Attempt) (Reply, error) {
	h.run(f, a, runTime)
	return Reply{}, errConnectionLost
}

func answersLate(ctx context.Context, h *harness, f *fakeEndpoint, a Attempt) (Reply, error) {
	go h.run(f, a, time.Minute)
	<-ctx.Done()
	return Reply{}, ctx.Err()
}

func truncated(_ context.Context, h *harness, f *fakeEndpoint, a Attempt) (Reply, error) {
	reply := h.run(f, a, runTime)
	reply.Complete, reply.Body = false, reply.Body[:3]
	return reply, nil
}

// answersPrevious runs the request but returns the reply to the previous one, as
// on a connection with duplicated or reordered answers.
func answersPrevious(_ context.Context, h *harness, f *fakeEndpoint, a Attempt) (Reply, error) {
	h.mu.Lock()
	last := f.lastReply
	h.mu.Unlock()
	h.run(f, a, runTime)
	return last, nil
}

// answersLeaving runs the request and announces that the endpoint is leaving.
func answersLeaving(_ context.Context, h *harness, f *fakeEndpoint, a Attempt) (Reply, error) {
	reply := h.run(f, a, runTime)
	reply.Leaving = true
	h.mu.Lock()
	defer h.mu.Unlock()
	f.leftAt = time.Now()
	return reply, nil
}

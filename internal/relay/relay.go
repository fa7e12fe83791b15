package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/claim"
	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/limit"
	"github.com/baobabquay/baobabquay/internal/pipe"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/shard"
)

type (
	// Calls are the relay's connections to the rest of the system. All are
	// required but for Share.
	Calls struct {
		// Config returns the configuration in force. It must not block.
		Config func() *config.Config
		// Send has the endpoint run the attempt. Its error wraps ErrNotSent,
		// or is a *RefusedError, only if the request provably did not run.
		Send func(ctx context.Context, e route.Endpoint, a Attempt) (Reply, error)
		// Share tells how long the request must wait for the link to the
		// region of e, 0 if it may be sent now. It is false if the request
		// cannot be sent before its deadline. It may be nil: nothing waits.
		Share func(e route.Endpoint, q Request, now time.Time) (wait time.Duration, ok bool)
		// Resolve asks another instance for the outcome of a request that it
		// has claimed; that instance calls its Relay.Resolve with the name of
		// this one. The answer NotRun hands the claim over to this instance.
		Resolve func(ctx context.Context, claimant ident.Instance, ws ident.Workspace, id ident.Request) (Answer, error)
		// Take claims a request; it is claim.Group.Take.
		Take func(ctx context.Context, ws ident.Workspace, id ident.Request, nonce string) (claim.Result, error)
		// Guards is set by New where fields are nil.
		Guards Guards
	}

	// Guards are the checks that keep the promises of the request path, as
	// seams for tests that turn one of them off.
	Guards struct {
		// Matches tells whether a reply may be given to the caller.
		Matches func(a Attempt, r Reply) bool
		// NotRun tells whether an error of Send proves that nothing ran.
		NotRun func(err error) bool
		// MarkLeaving receives the word of an endpoint that it is leaving.
		MarkLeaving func(e ident.Endpoint, now time.Time)
		// Wait waits until no request is in flight.
		Wait func(ctx context.Context) error
	}

	// Settings bound the relay.
	Settings struct {
		Instance ident.Instance
		// MaxAttempts bounds the attempts of one request.
		MaxAttempts int
		// MaxDeadline bounds the time of one request. It must be far below
		// the retention of claims.
		MaxDeadline time.Duration
		// DefaultTimeout applies to services that have none.
		DefaultTimeout time.Duration
		// Memory is the time for which answers of non-idempotent requests are
		// remembered. It must be far below the retention of claims.
		Memory time.Duration
		// ClaimLife is the time for which a claim may be used, however often it
		// is handed over. With MaxDeadline added it must be below the retention
		// of claims: the row may be deleted then and claimed again.
		ClaimLife time.Duration
		// MemoryCount and MemoryBytes bound the remembered answers.
		MemoryCount int
		MemoryBytes shape.Bytes
		// SlowAfter is the time after which an attempt that runs into its
		// deadline counts against the endpoint. Short deadlines of one caller
		// must not cut the limits of all.
		SlowAfter time.Duration
		// StoreRetry is the hint given with a refusal while the store is down.
		StoreRetry time.Duration
		// MaxHeld bounds the requests that wait for the link; each of them
		// keeps its body in memory and is tried again whenever one may go.
		MaxHeld int64
		Backoff limit.Backoff
	}

	// Relay is the request path of one instance. It is safe for concurrent
	// use. Use New.
	Relay struct {
		calls    Calls
		settings Settings
		routes   *route.Table
		log      event.Log
		metrics  *metrics.Set
		services *shard.Map[ident.Service, *serviceState]
		flights  *shard.Map[flightKey, *flight]
		memory   memory
		busy     gauge
		// held counts the requests that wait for the link.
		held    atomic.Int64
		path    *pipe.Chain[*delivery]
		attempt *pipe.Chain[*delivery]
	}
)

// Numbers of parts of the sharded maps.
const (
	flightParts  = 64
	serviceParts = 16
)

// DefaultSettings returns the settings in use where none are given.
func DefaultSettings() Settings {
	return Settings{
		MaxAttempts:    4,
		MaxDeadline:    10 * time.Minute,
		DefaultTimeout: 30 * time.Second,
		Memory:         10 * time.Minute,
		ClaimLife:      30 * time.Minute,
		MemoryCount:    20_000,
		MemoryBytes:    32 * shape.MiB,
		SlowAfter:      time.Second,
		StoreRetry:     time.Second,
		MaxHeld:        16,
		Backoff:        limit.DefaultBackoff(),
	}
}

// New returns a relay without endpoints.
func New(c Calls, routes *route.Table, s Settings, log event.Log) *Relay {
	r := &Relay{
		calls:    c,
		settings: s,
		routes:   routes,
		log:      log,
		metrics:  metrics.NewSet(),
		services: shard.New[ident.Service, *serviceState](serviceParts),
		flights:  shard.New[flightKey, *flight](flightParts),
		memory:   memory{maxCount: s.MemoryCount, maxBytes: s.MemoryBytes},
	}
	r.setGuards()
	r.path = pipe.New("request",
		pipe.Filter[*delivery]{Name: "validate", Do: r.validate},
		pipe.Filter[*delivery]{Name: "admit", Do: r.admit},
		pipe.Filter[*delivery]{Name: "claim", Do: r.claim},
		pipe.Filter[*delivery]{Name: "deliver", Do: r.deliver},
		pipe.Filter[*delivery]{Name: "answer", Do: r.answer},
	)
	r.attempt = pipe.New("attempt",
		pipe.Filter[*delivery]{Name: "route", Do: r.route},
		pipe.Filter[*delivery]{Name: "share", Do: r.share},
		pipe.Filter[*delivery]{Name: "send", Do: r.send},
		pipe.Filter[*delivery]{Name: "check", Do: r.check},
	)
	return r
}

// Metrics returns the relay's metrics.
func (r *Relay) Metrics() *metrics.Set { return r.metrics }

// UpdateEndpoints replaces the endpoints by those of the platform's list.
func (r *Relay) UpdateEndpoints(list []route.Endpoint, now time.Time) {
	r.routes.Update(list, now)
	r.services.Range(func(s ident.Service, l *serviceState) bool {
		l.refresh(r.routes, s)
		return true
	})
}

// Do carries the request and returns its answer. It returns when the answer is
// there, at the request's deadline, or when ctx ends.
func (r *Relay) Do(ctx context.Context, req Request) Answer {
	r.busy.enterCall()
	defer r.busy.leaveCall()
	now := time.Now()
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(r.timeout(req.Service))
	}
	req.Deadline = earlier(req.Deadline, now.Add(r.settings.MaxDeadline))
	f, joined, ans := r.join(req, now)
	if f == nil {
		return ans
	}
	if !joined {
		go func() {
			growStack(len(req.Body))
			r.fly(f, req)
		}()
	}
	return r.await(ctx, f, req)
}

func (r *Relay) timeout(s ident.Service) time.Duration {
	if service, ok := r.calls.Config().Service(s); ok && service.Timeout > 0 {
		return service.Timeout
	}
	return r.settings.DefaultTimeout
}

func (r *Relay) setGuards() {
	g := &r.calls.Guards
	if g.Matches == nil {
		g.Matches = MatchesEcho
	}
	if g.NotRun == nil {
		g.NotRun = ProvesNotRun
	}
	if g.MarkLeaving == nil {
		g.MarkLeaving = r.routes.MarkLeaving
	}
	if g.Wait == nil {
		g.Wait = r.busy.wait
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

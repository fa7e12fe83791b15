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
	// Calls are the functions through which the relay uses the rest of the
	// system. All but LinkWait and Guards are required.
	Calls struct {
		// Config returns the configuration in force. It must not block.
		Config func() *config.Config
		// Send sends the attempt to the endpoint and returns the reply. Its
		// error wraps ErrNotSent or a *RefusedError only if the request
		// provably did not run.
		Send func(ctx context.Context, e route.Endpoint, a Attempt) (Reply, error)
		// LinkWait returns how long the request must wait for the link to the
		// region of e, or 0 if it may be sent now. It reports false if the
		// request cannot be sent before its deadline. If LinkWait is nil, no
		// request waits for the link.
		LinkWait func(e route.Endpoint, req Request, now time.Time) (wait time.Duration, ok bool)
		// Resolve asks another instance, the claimant, for the outcome of a
		// request that it has claimed. The claimant calls its Relay.Resolve
		// with the name of this instance. The answer NotRun hands the claim
		// over to this instance.
		Resolve func(ctx context.Context, claimant ident.Instance, ws ident.Workspace, id ident.Request) (Answer, error)
		// Take claims a request in the store; it is claim.Group.Take.
		Take func(ctx context.Context, ws ident.Workspace, id ident.Request, nonce string) (claim.Result, error)
		// Guards replaces checks in tests. New sets the fields that are nil.
		Guards Guards
	}

	// Guards are the checks that the promises of the request path depend on.
	// Tests disable one of them to verify that the breach is detected.
	Guards struct {
		// Matches reports whether a reply may be returned to the caller.
		Matches func(a Attempt, r Reply) bool
		// NotRun reports whether an error of Send proves that the request did
		// not run.
		NotRun func(err error) bool
		// MarkLeaving records that an endpoint announced that it is leaving.
		MarkLeaving func(e ident.Endpoint, now time.Time)
		// Wait waits until no request is in flight.
		Wait func(ctx context.Context) error
	}

	// Settings are the identity and the limits of a relay.
	Settings struct {
		Instance ident.Instance
		// MaxAttempts bounds the attempts of one request.
		MaxAttempts int
		// MaxDeadline bounds the duration of one request. It must be far below
		// the retention of claims.
		MaxDeadline time.Duration
		// DefaultTimeout applies to services without a timeout of their own.
		DefaultTimeout time.Duration
		// AnswerRetention is the time for which answers to non-idempotent
		// requests are retained. It must be far below the retention of claims.
		AnswerRetention time.Duration
		// ClaimTTL is the time for which a claim may be used, however often it
		// is handed over. ClaimTTL plus MaxDeadline must be below the
		// retention of claims, after which the row may be deleted and the
		// request claimed again.
		ClaimTTL time.Duration
		// MaxRetained and MaxRetainedBytes bound the retained flights.
		MaxRetained      int
		MaxRetainedBytes shape.Bytes
		// SlowAfter is the minimum duration of an attempt for which reaching
		// its deadline counts as a time-out of the endpoint. Without it, the
		// short deadlines of one caller would lower the endpoint's limit for
		// all callers.
		SlowAfter time.Duration
		// StoreRetry is the RetryAfter of answers while the store is
		// unavailable.
		StoreRetry time.Duration
		// MaxLinkWaiters bounds the requests that wait for the link, each of
		// which keeps its body in memory and asks for the link again after
		// each wait.
		MaxLinkWaiters int64
		Backoff        limit.Backoff
	}

	// Relay is the request path of one instance. It is created by New and safe
	// for concurrent use.
	Relay struct {
		calls    Calls
		settings Settings
		routes   *route.Table
		log      event.Log
		metrics  *metrics.Set
		services *shard.Map[ident.Service, *serviceState]
		flights  *shard.Map[flightKey, *flight]
		retained retentionList
		inFlight inFlightCounter
		// linkWaiters counts the requests that wait for the link.
		linkWaiters  atomic.Int64
		requestChain *pipe.Chain[*delivery]
		attemptChain *pipe.Chain[*delivery]
	}
)

// Numbers of shards of the sharded maps.
const (
	flightShards  = 64
	serviceShards = 16
)

// DefaultSettings returns the default settings, without an instance name.
func DefaultSettings() Settings {
	return Settings{
		MaxAttempts:      4,
		MaxDeadline:      10 * time.Minute,
		DefaultTimeout:   30 * time.Second,
		AnswerRetention:  10 * time.Minute,
		ClaimTTL:         30 * time.Minute,
		MaxRetained:      20_000,
		MaxRetainedBytes: 32 * shape.MiB,
		SlowAfter:        time.Second,
		StoreRetry:       time.Second,
		MaxLinkWaiters:   16,
		Backoff:          limit.DefaultBackoff(),
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
		services: shard.New[ident.Service, *serviceState](serviceShards),
		flights:  shard.New[flightKey, *flight](flightShards),
		retained: retentionList{maxCount: s.MaxRetained, maxBytes: s.MaxRetainedBytes},
	}
	r.setDefaultGuards()
	r.requestChain = pipe.New("request",
		pipe.Filter[*delivery]{Name: "validate", Do: r.validate},
		pipe.Filter[*delivery]{Name: "admit", Do: r.admit},
		pipe.Filter[*delivery]{Name: "claim", Do: r.claim},
		pipe.Filter[*delivery]{Name: "deliver", Do: r.deliver},
		pipe.Filter[*delivery]{Name: "answer", Do: r.answer},
	)
	r.attemptChain = pipe.New("attempt",
		pipe.Filter[*delivery]{Name: "route", Do: r.route},
		pipe.Filter[*delivery]{Name: "share", Do: r.share},
		pipe.Filter[*delivery]{Name: "send", Do: r.send},
		pipe.Filter[*delivery]{Name: "check", Do: r.check},
	)
	return r
}

// Metrics returns the relay's metrics.
func (r *Relay) Metrics() *metrics.Set { return r.metrics }

// UpdateEndpoints replaces the endpoints by those of the platform's list and
// updates the capacity of each service.
func (r *Relay) UpdateEndpoints(list []route.Endpoint, now time.Time) {
	r.routes.Update(list, now)
	r.services.Range(func(s ident.Service, state *serviceState) bool {
		state.refresh(r.routes, s)
		return true
	})
}

// Do forwards the request and returns its answer. It returns when the answer is
// available, shortly after the request's deadline, or when ctx ends.
func (r *Relay) Do(ctx context.Context, req Request) Answer {
	r.inFlight.beginCall()
	defer r.inFlight.endCall()
	now := time.Now()
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(r.timeout(req.Service))
	}
	req.Deadline = earliest(req.Deadline, now.Add(r.settings.MaxDeadline))
	f, joined, answer := r.join(req, now)
	if f == nil {
		return answer
	}
	if !joined {
		go func() {
			growStack(len(req.Body))
			r.execute(f, req)
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

func (r *Relay) setDefaultGuards() {
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
		g.Wait = r.inFlight.waitIdle
	}
}

// earliest returns the earlier one of a and b.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

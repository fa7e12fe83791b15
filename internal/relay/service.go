package relay

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/limit"
	"github.com/baobabquay/baobabquay/internal/route"
)

type (
	// serviceState is the queue, retry budget and metrics of one service.
	serviceState struct {
		queue    *limit.Queue
		budget   *limit.Budget
		attempts *metrics.Counter
		retries  *metrics.Counter
		refusals *metrics.Counter
		outcomes [len(outcomeNames)]*metrics.Counter
		// pendingClaims counts the requests that wait for the store.
		pendingClaims atomic.Int64

		// refreshMu serializes refreshes, so that an older capacity never
		// replaces a newer one.
		refreshMu sync.Mutex
	}
)

// defaultQueueLimit bounds the queue of a service for which the configuration
// sets no queue limit.
const defaultQueueLimit = 256

func (r *Relay) stateOf(c *config.Config, s config.Service, bound int) *serviceState {
	state, loaded := r.services.LoadOrStore(s.Name, func() *serviceState { return r.newServiceState(s.Name) })
	state.queue.SetBound(bound)
	state.budget.SetShare(c.Limits.RetryShare)
	if !loaded {
		state.refresh(r.routes, s.Name)
	}
	return state
}

func (r *Relay) newServiceState(s ident.Service) *serviceState {
	state := &serviceState{
		queue:    limit.NewQueue(limit.QueueSettings{Weight: r.weight}),
		budget:   limit.NewBudget(0),
		attempts: r.metrics.GetOrCreateCounter(metricName("attempts", s, "")),
		retries:  r.metrics.GetOrCreateCounter(metricName("retries", s, "")),
		refusals: r.metrics.GetOrCreateCounter(metricName("refusals", s, "")),
	}
	for o, name := range outcomeNames {
		state.outcomes[o] = r.metrics.GetOrCreateCounter(metricName("outcomes", s, name))
	}
	return state
}

func (r *Relay) weight(ws ident.Workspace) int {
	w, ok := r.calls.Config().Workspace(ws)
	if !ok {
		return 1
	}
	return w.Weight
}

// refresh sets the queue's capacity to the current capacity of the service's
// endpoints.
func (state *serviceState) refresh(t *route.Table, s ident.Service) {
	state.refreshMu.Lock()
	defer state.refreshMu.Unlock()
	state.queue.SetCapacity(t.Capacity(s, time.Now()))
}

// beginClaim reports whether another request may wait for the store. If so, the
// caller must call endClaim afterwards.
func (state *serviceState) beginClaim(bound int) bool {
	if state.pendingClaims.Add(1) > int64(bound) {
		state.pendingClaims.Add(-1)
		return false
	}
	return true
}

func (state *serviceState) endClaim() { state.pendingClaims.Add(-1) }

func metricName(counter string, s ident.Service, outcome string) string {
	if outcome == "" {
		return fmt.Sprintf(`baobabquay_request_%s_total{service=%q}`, counter, string(s))
	}
	return fmt.Sprintf(`baobabquay_request_%s_total{service=%q,outcome=%q}`, counter, string(s), outcome)
}

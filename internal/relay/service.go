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
	// serviceState is what the relay keeps for one service.
	serviceState struct {
		queue    *limit.Queue
		budget   *limit.Budget
		attempts *metrics.Counter
		retries  *metrics.Counter
		refusals *metrics.Counter
		outcomes [len(outcomeNames)]*metrics.Counter
		// claiming counts the requests that wait for the store.
		claiming atomic.Int64

		// mu orders the refreshes, so that an older capacity never replaces a
		// newer one.
		mu sync.Mutex
	}
)

// defaultQueueLimit bounds the queue of a service whose configuration has no
// bound.
const defaultQueueLimit = 256

func (r *Relay) stateOf(c *config.Config, s config.Service, bound int) *serviceState {
	l, known := r.services.LoadOrStore(s.Name, func() *serviceState { return r.newServiceState(s.Name) })
	l.queue.SetBound(bound)
	l.budget.SetShare(c.Limits.RetryShare)
	if !known {
		l.refresh(r.routes, s.Name)
	}
	return l
}

func (r *Relay) newServiceState(s ident.Service) *serviceState {
	l := &serviceState{
		queue:    limit.NewQueue(limit.QueueSettings{Weight: r.weight}),
		budget:   limit.NewBudget(0),
		attempts: r.metrics.GetOrCreateCounter(metricName("attempts", s, "")),
		retries:  r.metrics.GetOrCreateCounter(metricName("retries", s, "")),
		refusals: r.metrics.GetOrCreateCounter(metricName("refusals", s, "")),
	}
	for o, name := range outcomeNames {
		l.outcomes[o] = r.metrics.GetOrCreateCounter(metricName("outcomes", s, name))
	}
	return l
}

func (r *Relay) weight(ws ident.Workspace) int {
	w, ok := r.calls.Config().Workspace(ws)
	if !ok {
		return 1
	}
	return w.Weight
}

// refresh gives the queue the present capacity of the service's endpoints.
func (l *serviceState) refresh(t *route.Table, s ident.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.SetCapacity(t.Capacity(s, time.Now()))
}

// enterClaim reports whether another request may wait for the store.
func (l *serviceState) enterClaim(bound int) bool {
	if l.claiming.Add(1) > int64(bound) {
		l.claiming.Add(-1)
		return false
	}
	return true
}

func (l *serviceState) leaveClaim() { l.claiming.Add(-1) }

func metricName(what string, s ident.Service, outcome string) string {
	if outcome == "" {
		return fmt.Sprintf(`baobabquay_request_%s_total{service=%q}`, what, string(s))
	}
	return fmt.Sprintf(`baobabquay_request_%s_total{service=%q,outcome=%q}`, what, string(s), outcome)
}

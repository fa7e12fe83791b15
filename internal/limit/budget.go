package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

type (
	// Budget is a token bucket of retries, filled by first attempts. It is
	// safe for concurrent use. Use NewBudget.
	Budget struct {
		mu     sync.Mutex
		share  float64
		burst  float64
		tokens float64
	}

	// Backoff computes delays with full jitter: a random time up to a bound
	// that doubles with each attempt.
	Backoff struct {
		Base time.Duration
		Max  time.Duration
		// Float64 returns a random number in [0, 1).
		Float64 func() float64
	}
)

const (
	// budgetBurst bounds the retries that a quiet time can save up.
	budgetBurst = 10
	// budgetStart is that of a new instance. The first burst meets endpoints
	// whose limits are not known yet, and its refusals need retries before any
	// traffic has filled the budget.
	budgetStart = budgetBurst
	// maxDoublings keeps the shift within a time.Duration.
	maxDoublings = 20
)

// NewBudget returns a budget of share retries for each first attempt.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, burst: budgetBurst, tokens: budgetStart}
}

// First records a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.share)
}

// SetShare changes the number of retries for each later first attempt.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Retry takes one retry from the budget and reports whether there was one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// DefaultBackoff returns the back-off between attempts of one request.
func DefaultBackoff() Backoff {
	return Backoff{Base: 20 * time.Millisecond, Max: time.Second, Float64: rand.Float64}
}

// Delay returns the delay before retry n, which counts from 0.
func (b Backoff) Delay(n int) time.Duration {
	bound := min(b.Max, b.Base<<min(n, maxDoublings))
	return time.Duration(b.Float64() * float64(bound))
}

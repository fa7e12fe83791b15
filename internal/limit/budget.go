package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

type (
	// Budget is a token bucket of retries: each first attempt adds a fraction
	// of a token and each retry takes one. It is safe for concurrent use and
	// is created by NewBudget.
	Budget struct {
		mu     sync.Mutex
		share  float64
		burst  float64
		tokens float64
	}

	// Backoff computes exponential back-off with full jitter: each delay is
	// random between 0 and a bound that doubles with each retry, up to Max.
	Backoff struct {
		// Base is the bound of the first delay.
		Base time.Duration
		// Max is the largest bound.
		Max time.Duration
		// Float64 returns a random number in [0, 1).
		Float64 func() float64
	}
)

const (
	// budgetBurst is the capacity of the bucket: the number of retries that
	// can accumulate while no request needs one.
	budgetBurst = 10
	// budgetStart is the number of tokens in a new budget. The first requests
	// of a new instance reach endpoints whose concurrency limits are not known
	// yet, so that some are refused and need retries before first attempts
	// have filled the bucket.
	budgetStart = budgetBurst
	// maxDoublings bounds the shift in Delay, which would otherwise overflow a
	// time.Duration.
	maxDoublings = 20
)

// NewBudget returns a budget that allows share retries per first attempt.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, burst: budgetBurst, tokens: budgetStart}
}

// AddFirstAttempt records a first attempt, which adds to the budget.
func (b *Budget) AddFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.share)
}

// SetShare sets the number of retries that each later first attempt adds.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// TakeRetry takes one retry from the budget. It reports false if none is left.
func (b *Budget) TakeRetry() bool {
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

// Delay returns a random delay before retry n, counted from 0.
func (b Backoff) Delay(n int) time.Duration {
	bound := min(b.Max, b.Base<<min(n, maxDoublings))
	return time.Duration(b.Float64() * float64(bound))
}

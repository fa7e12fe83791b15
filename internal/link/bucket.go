package link

import (
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// Settings are the limits of a Bucket.
	Settings struct {
		// Rate is the number of bytes that this instance may send or receive in a
		// second.
		Rate shape.Bytes
		// BulkShare is the part of Rate that bulk traffic may use, above 0 and at
		// most 1.
		BulkShare float64
	}

	// Transfer is one message between regions.
	Transfer struct {
		Size shape.Bytes
		// Bulk marks a message that yields to all urgent traffic.
		Bulk bool
		// Deadline is the latest time at which the message may be sent. Zero means
		// no deadline.
		Deadline time.Time
	}

	// Verdict tells whether a transfer may be sent.
	Verdict int

	// Action is the decision about a transfer.
	Action struct {
		Verdict Verdict
		// After is the time after which to ask again. It is set for Wait and
		// Refuse.
		After time.Duration
	}

	// Bucket is a token bucket for one direction of the link. Only bulk traffic
	// ever waits: its bytes are paid for at the rate of its share. Urgent traffic
	// that exceeds the remaining rate is charged to the share of bulk too. A
	// Bucket is safe for concurrent use.
	Bucket struct {
		mu       sync.Mutex
		settings Settings
		// bulkTokens and urgentTokens are the bytes that may be sent at once.
		// bulkTokens is negative while bytes that were sent have not been paid for.
		bulkTokens, urgentTokens float64
		filledAt                 time.Time
	}
)

// The verdicts.
const (
	Go Verdict = iota
	Wait
	// Refuse means that the transfer cannot begin before its deadline.
	Refuse
)

const (
	// burst is the time for which unused rate accumulates. It is short, so that
	// bulk traffic after a pause does not fill the queues of the network.
	burst = 250 * time.Millisecond
	// maxDebt bounds how long urgent traffic delays bulk after it has ended.
	maxDebt = 2 * time.Second
)

var verdictNames = [...]string{"go", "wait", "refuse"}

// NewBucket returns a bucket that is full at now.
func NewBucket(s Settings, now time.Time) *Bucket {
	b := &Bucket{settings: s, filledAt: now}
	b.bulkTokens, b.urgentTokens = b.capacity()
	return b
}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Set changes the settings with effect from now. Tokens up to now are refilled at
// the previous rate.
func (b *Bucket) Set(s Settings, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.settings = s
}

// Take decides about t at the time now and takes the tokens for it if it may be
// sent.
func (b *Bucket) Take(t Transfer, now time.Time) Action {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if !t.Bulk {
		b.chargeUrgent(t.Size)
		return Action{Verdict: Go}
	}
	if b.bulkTokens < 0 {
		after := time.Duration(-b.bulkTokens/b.bulkRate()*float64(time.Second)) + 1
		if !t.Deadline.IsZero() && now.Add(after).After(t.Deadline) {
			return Action{Refuse, after}
		}
		return Action{Wait, after}
	}
	b.bulkTokens -= float64(t.Size)
	return Action{Verdict: Go}
}

// Charge takes the tokens for a message that has already crossed the link.
func (b *Bucket) Charge(t Transfer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if t.Bulk {
		b.bulkTokens -= float64(t.Size)
		return
	}
	b.chargeUrgent(t.Size)
}

// chargeUrgent takes the tokens for urgent traffic, which does not wait. It increases
// the debt of bulk up to maxDebt, but never reduces a larger debt that bulk has
// itself, because those bytes are on the link.
func (b *Bucket) chargeUrgent(size shape.Bytes) {
	b.urgentTokens -= float64(size)
	if b.urgentTokens >= 0 {
		return
	}
	floor := min(b.bulkTokens, -b.bulkRate()*maxDebt.Seconds())
	b.bulkTokens = max(b.bulkTokens+b.urgentTokens, floor)
	b.urgentTokens = 0
}

// refill adds the tokens for the time since the last call.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.filledAt = now
	maxBulk, maxUrgent := b.capacity()
	b.bulkTokens = min(maxBulk, b.bulkTokens+elapsed*b.bulkRate())
	b.urgentTokens = min(maxUrgent, b.urgentTokens+elapsed*(float64(b.settings.Rate)-b.bulkRate()))
}

// capacity returns the upper bounds of bulkTokens and urgentTokens.
func (b *Bucket) capacity() (bulk, urgent float64) {
	total := float64(b.settings.Rate) * burst.Seconds()
	return total * b.settings.BulkShare, total * (1 - b.settings.BulkShare)
}

func (b *Bucket) bulkRate() float64 { return float64(b.settings.Rate) * b.settings.BulkShare }

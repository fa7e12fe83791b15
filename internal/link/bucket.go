package link

import (
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// Settings are how a Bucket shares one direction of the link.
	Settings struct {
		// Rate is what this instance may send or receive in a second.
		Rate shape.Bytes
		// BulkShare is the part of Rate that bulk may use, above 0 and at most 1.
		BulkShare float64
	}

	// Transfer is one message that is to cross the link.
	Transfer struct {
		Size shape.Bytes
		// Bulk tells that the message gives way to all others.
		Bulk bool
		// Deadline ends the wait. Zero means none.
		Deadline time.Time
	}

	// Verdict is what is to be done with a transfer.
	Verdict int

	// Action is the decision about a transfer.
	Action struct {
		Verdict Verdict
		// After is the time after which to ask again, for Wait and Refuse.
		After time.Duration
	}

	// Bucket shares one direction of the link. Only bulk ever waits; its
	// bytes are paid at the rate of its share, and other traffic that exceeds
	// the rest of the rate is paid from the share of bulk too. A Bucket is
	// safe for concurrent use.
	Bucket struct {
		mu       sync.Mutex
		settings Settings
		// bulk and rest are the bytes that may be sent at once. bulk is below
		// zero while a transfer is being paid.
		bulk, rest float64
		at         time.Time
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
	// burst is the time for which unused rate is kept. It is short, so that
	// bulk after a pause does not fill the queues of the network.
	burst = 250 * time.Millisecond
	// maxDebt bounds how far urgent traffic delays bulk after it has ended.
	maxDebt = 2 * time.Second
)

var verdictNames = [...]string{"go", "wait", "refuse"}

// NewBucket returns a bucket that is full at now.
func NewBucket(s Settings, now time.Time) *Bucket {
	b := &Bucket{settings: s, at: now}
	b.bulk, b.rest = b.limits()
	return b
}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Set changes the settings from now on.
func (b *Bucket) Set(s Settings, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.settings = s
}

// Take decides about t at now and pays for it if it may go.
func (b *Bucket) Take(t Transfer, now time.Time) Action {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if !t.Bulk {
		b.payFirst(t.Size)
		return Action{Verdict: Go}
	}
	if b.bulk < 0 {
		after := time.Duration(-b.bulk/b.bulkRate()*float64(time.Second)) + 1
		if !t.Deadline.IsZero() && now.Add(after).After(t.Deadline) {
			return Action{Refuse, after}
		}
		return Action{Wait, after}
	}
	b.bulk -= float64(t.Size)
	return Action{Verdict: Go}
}

// Pay takes the size of a message that has crossed the link already.
func (b *Bucket) Pay(t Transfer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if t.Bulk {
		b.bulk -= float64(t.Size)
		return
	}
	b.payFirst(t.Size)
}

// payFirst pays for traffic that does not wait. A debt of bulk itself is never
// forgiven, as its bytes are on the link.
func (b *Bucket) payFirst(size shape.Bytes) {
	b.rest -= float64(size)
	if b.rest >= 0 {
		return
	}
	lowest := min(b.bulk, -b.bulkRate()*maxDebt.Seconds())
	b.bulk = max(b.bulk+b.rest, lowest)
	b.rest = 0
}

func (b *Bucket) fill(now time.Time) {
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	maxBulk, maxRest := b.limits()
	b.bulk = min(maxBulk, b.bulk+passed*b.bulkRate())
	b.rest = min(maxRest, b.rest+passed*(float64(b.settings.Rate)-b.bulkRate()))
}

func (b *Bucket) limits() (bulk, rest float64) {
	all := float64(b.settings.Rate) * burst.Seconds()
	return all * b.settings.BulkShare, all * (1 - b.settings.BulkShare)
}

func (b *Bucket) bulkRate() float64 { return float64(b.settings.Rate) * b.settings.BulkShare }

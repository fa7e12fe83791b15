package link

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/shape"
)

// Gate shares both directions of the link among the requests of an instance.
// It is safe for concurrent use. Use NewGate.
type Gate struct {
	settings func() Settings
	sent     *Bucket
	received *Bucket
}

// NewGate returns a gate that reads its settings at each decision.
func NewGate(settings func() Settings, now time.Time) *Gate {
	return &Gate{settings: settings, sent: NewBucket(settings(), now), received: NewBucket(settings(), now)}
}

// Enter decides about a request at the time now and takes the tokens for it if it
// may be sent. The size of its answer is not known yet, so a bulk request waits
// until earlier answers have been paid for.
func (g *Gate) Enter(t Transfer, now time.Time) Action {
	s := g.settings()
	g.sent.Set(s, now)
	g.received.Set(s, now)
	if t.Bulk {
		if a := g.received.Take(Transfer{Bulk: true, Deadline: t.Deadline}, now); a.Verdict != Go {
			return a
		}
	}
	return g.sent.Take(t, now)
}

// ChargeAnswer takes the tokens for the answer to a request.
func (g *Gate) ChargeAnswer(size shape.Bytes, bulk bool, now time.Time) {
	g.received.Charge(Transfer{Size: size, Bulk: bulk}, now)
}

// Charge takes the tokens for traffic that never waits.
func (g *Gate) Charge(sent, received shape.Bytes, now time.Time) {
	if sent > 0 {
		g.sent.Charge(Transfer{Size: sent}, now)
	}
	if received > 0 {
		g.received.Charge(Transfer{Size: received}, now)
	}
}

package link

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/shape"
)

// serialLink is a link that sends one message after the other.
type serialLink struct {
	rate   shape.Bytes
	idleAt time.Time
}

// send returns the time from now until the whole message has been sent.
func (l *serialLink) send(size shape.Bytes, now time.Time) time.Duration {
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(size) / float64(l.rate) * float64(time.Second)))
	return l.idleAt.Sub(now)
}

// TestShare guards against bulk traffic that delays urgent requests, urgent
// traffic that is held back, and bulk traffic that waits past its deadline. A
// burst of 24 bodies of 1 MiB competes with ten urgent requests of 16 KiB, one
// every 200 ms.
func TestShare(t *testing.T) {
	for _, shared := range []bool{false, true} {
		t.Run(fmt.Sprint("shared=", shared), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runBurst(t, shared) })
		})
	}
}

func runBurst(t *testing.T, shared bool) {
	const rate = 3660 << 10
	begin := time.Now()
	l := &serialLink{rate: rate}
	g := NewGate(func() Settings { return Settings{Rate: rate, BulkShare: 0.5} }, begin)
	var out strings.Builder
	var slowest time.Duration
	bulk, refused, urgent := 24, 0, 0
	for now := begin; now.Sub(begin) < 15*time.Second; now = time.Now() {
		for bulk > 0 {
			if a := g.Enter(Transfer{shape.MiB, true, begin.Add(10 * time.Second)}, now); shared && a.Verdict != Go {
				if a.Verdict == Refuse {
					fmt.Fprintf(&out, "%v: %d bodies of bulk refused\n", now.Sub(begin), bulk)
					refused, bulk = bulk, 0
				}
				break
			}
			bulk--
			fmt.Fprintf(&out, "%v: bulk sent within %v\n", now.Sub(begin), l.send(shape.MiB, now).Round(time.Millisecond))
		}
		if urgent < 10 && now.Sub(begin)%(200*time.Millisecond) == 0 {
			urgent++
			if a := g.Enter(Transfer{Size: 16 << 10}, now); a.Verdict != Go {
				t.Fatalf("urgent: %v", a)
			}
			took := l.send(16<<10, now)
			slowest = max(slowest, took)
			fmt.Fprintf(&out, "%v: urgent sent within %v\n", now.Sub(begin), took.Round(time.Millisecond))
		}
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Fprintf(&out, "longest time of an urgent request %v, %d bodies of bulk refused\n", slowest.Round(time.Millisecond), refused)
	golden.Assert(t, out.String(), fmt.Sprintf("shared-%v.golden", shared))
}

// TestBucketDecisions guards against unused rate that accumulates without bound,
// debt of urgent traffic that delays bulk for longer than maxDebt, and a change
// of settings that pays earlier debt at the wrong rate.
func TestBucketDecisions(t *testing.T) {
	var out strings.Builder
	begin := time.Unix(0, 0)
	b := NewBucket(Settings{Rate: 1000, BulkShare: 0.5}, begin)
	take := func(at time.Duration, tr Transfer) {
		a := b.Take(tr, begin.Add(at))
		fmt.Fprintf(&out, "%v: %d bytes, bulk %v: %v %v\n", at, tr.Size, tr.Bulk, a.Verdict, a.After.Round(time.Millisecond))
	}
	bulk := Transfer{Size: 1000, Bulk: true}
	take(time.Hour, bulk)
	take(time.Hour, bulk)
	take(time.Hour, Transfer{Size: 1000, Bulk: true, Deadline: begin.Add(time.Hour + time.Second)})
	take(time.Hour+2*time.Second, bulk)
	take(2*time.Hour, Transfer{Size: 1_000_000})
	take(2*time.Hour, bulk)
	b.Set(Settings{Rate: 2000, BulkShare: 0.5}, begin.Add(2*time.Hour))
	take(2*time.Hour, bulk)
	golden.Assert(t, out.String(), "decisions.golden")
}

package agent

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// slowWorker is a simulated worker whose clock may run slow and whose answers
// are delayed.
type slowWorker struct {
	t           *testing.T
	agent       *Agent
	random      *rand.Rand
	startTime   time.Time
	speed       float64
	lastRenewal time.Time
	unreachable bool
	// leaseEnd is the latest lease end that was requested. overrun is the
	// longest time by which a lease has exceeded the time that a successor
	// waits.
	leaseEnd Clock
	overrun  time.Duration
}

var (
	leaseBound = 6 * time.Second
	// successorTimeout is the time for which a new leader waits before it
	// considers the leases of an unreachable worker expired.
	successorTimeout = time.Duration(float64(leaseBound)/minClockSpeed) + runEndMargin
)

func newSlowWorker(t *testing.T, seed uint64) *slowWorker {
	w := &slowWorker{t: t, random: rand.New(rand.NewPCG(seed, 1)),
		startTime: time.Now(), lastRenewal: time.Now()}
	w.speed = minClockSpeed + (1-minClockSpeed)*w.random.Float64()
	if seed%2 == 0 {
		w.speed = minClockSpeed
	}
	w.agent = New(Deps{
		Calls: Calls{
			Start: func(_ context.Context, _ Target, _ Order, until Clock, _ int64) (Answer, error) {
				err := w.recordCall(until)
				answer := Answer{Clock: w.clock()}
				if until <= answer.Clock {
					answer.Refused = RefusedLate
				}
				w.randomPause(100 * time.Millisecond)
				return answer, err
			},
			Hold: func(_ context.Context, _ Target, h HoldRequest) (Report, error) {
				err := w.recordCall(h.Until)
				r := Report{Clock: w.clock(), IncarnationStart: w.startTime}
				w.randomPause(500 * time.Millisecond)
				return r, err
			},
		},
		Limits: Limits{Lease: leaseBound, Bound: leaseBound}, LastRenewal: func() time.Time { return w.lastRenewal },
		Emit: func(Event) {}, Log: event.Discard(),
	})
	return w
}

func (w *slowWorker) randomPause(limit time.Duration) {
	time.Sleep(time.Duration(w.random.Int64N(int64(limit))))
}

func (w *slowWorker) clock() Clock {
	return time.Hour + time.Duration(float64(time.Since(w.startTime))*w.speed)
}

// recordCall records the lease that a call requests. In the leader's time, the
// lease ends when the worker's clock reaches its end.
func (w *slowWorker) recordCall(until Clock) error {
	w.leaseEnd = max(w.leaseEnd, until)
	leaseEnds := w.startTime.Add(time.Duration(float64(until-time.Hour) / w.speed))
	bound := w.lastRenewal.Add(successorTimeout)
	w.overrun = max(w.overrun, leaseEnds.Sub(bound))
	w.randomPause(100 * time.Millisecond)
	if w.unreachable || w.random.IntN(4) == 0 {
		return errors.New("no answer")
	}
	return nil
}

// TestLeasesOnSlowClocks guards against a lease that continues after Gone was
// emitted for its worker, or after the time for which a successor waits for an
// unreachable worker. The worker's clock is slow and was last read minutes ago,
// and calls are delayed or have no answer.
func TestLeasesOnSlowClocks(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			w := newSlowWorker(t, seed)
			for range 20 {
				w.lastRenewal = time.Now()
				switch w.random.IntN(3) {
				case 0:
					w.randomPause(2 * time.Minute)
					w.lastRenewal = time.Now()
				case 1:
					w.agent.hold(t.Context(), 0, w.agent.clockReadAt.IsZero())
				default:
					if !w.agent.clockReadAt.IsZero() {
						_, _ = w.agent.sendStart(t.Context(), startOrder{Order: newOrder(1)})
					}
				}
			}
			assert.Assert(t, w.overrun <= 0, "seed %d: a lease exceeds the successor's wait by %v", seed, w.overrun)
			w.unreachable = true
			for w.agent.failedCalls == 0 || !w.agent.leasesExpired() {
				w.agent.hold(t.Context(), 0, false)
			}
			assert.Assert(t, w.clock() > w.leaseEnd, "seed %d: Gone emitted %v before the end of a lease", seed, w.leaseEnd-w.clock())
		})
	}
}

// TestStartInUnknownIncarnation guards against emitting Gone while a run
// continues: the worker's next incarnation, which has sent no report yet,
// accepted a start with a lease that ends by its own clock and then stopped
// answering.
func TestStartInUnknownIncarnation(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour / 2, -time.Second, time.Second, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := newSlowWorker(t, 2)
			w.agent.Limits.Lease = leaseBound / 2
			until := Clock(0)
			w.agent.Calls.Hold = func(context.Context, Target, HoldRequest) (Report, error) {
				if w.unreachable {
					return Report{}, errors.New("no answer")
				}
				return Report{Clock: w.clock(), IncarnationStart: w.startTime}, nil
			}
			w.agent.Calls.Start = func(_ context.Context, _ Target, _ Order, u Clock, _ int64) (Answer, error) {
				until = min(u, w.clock()+ahead+leaseBound)
				return Answer{Clock: w.clock() + ahead}, nil
			}
			w.agent.hold(t.Context(), 0, true)
			time.Sleep(time.Second)
			w.lastRenewal, w.unreachable = time.Now(), true
			_, err := w.agent.sendStart(t.Context(), startOrder{Order: newOrder(1)})
			assert.NilError(t, err)
			for w.agent.failedCalls == 0 || !w.agent.leasesExpired() {
				w.agent.hold(t.Context(), 0, false)
			}
			assert.Assert(t, w.clock()+ahead > until, "%v ahead: Gone emitted %v before the end of the lease", ahead,
				until-w.clock()-ahead)
		})
	}
}

package agent

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// fixture is an agent with a simulated worker.
type fixture struct {
	t                *testing.T
	agent            *Agent
	cancel           func()
	group            sync.WaitGroup
	mu               sync.Mutex
	output           []string
	startTime        time.Time
	incarnationStart time.Time
	unreachable      bool
	renewalStopped   bool
	ends             []RunEnd
	stopsUnanswered  bool
	answerStart      func(n int) (Answer, error)
	startCalls       int
	// storeUnavailable suppresses the storage, and so the acknowledgement, of
	// run ends.
	storeUnavailable bool
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, startTime: time.Now(), incarnationStart: time.Unix(100, 0)}
	ctx, cancel := context.WithCancel(t.Context())
	f.cancel = cancel
	f.agent = New(Deps{
		Calls:  Calls{Start: f.start, Stop: f.stop, Hold: f.hold},
		Target: Target{ID: "w"}, Limits: Limits{Lease: 3 * time.Second, Bound: 5 * time.Second}, Epoch: 7,
		LastRenewal: func() time.Time {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.renewalStopped {
				return f.startTime
			}
			return time.Now()
		},
		Go: f.group.Go, Emit: f.emit, Log: event.Discard(),
	})
	f.group.Go(func() { f.agent.Run(ctx) })
	return f
}

func (f *fixture) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.output = append(f.output, fmt.Sprintf("%6.2f ", time.Since(f.startTime).Seconds())+fmt.Sprintf(format, args...))
}

// update changes the behaviour of the simulated worker.
func (f *fixture) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fixture) clock() Clock { return time.Hour + time.Since(f.startTime) }

func (f *fixture) emit(e Event) {
	names := [...]string{"reported", "started", "refused", "dropped", "silent", "gone"}
	switch e.Kind {
	case Reported:
		for _, end := range e.Report.Ended {
			f.logf("event end %d of run %d, generation %d, partial %v", end.Number, end.Run, e.Generation, e.Report.Partial)
		}
		f.mu.Lock()
		storeUnavailable := f.storeUnavailable
		f.mu.Unlock()
		if !storeUnavailable {
			// Storing the run ends takes a moment, in which the next call may
			// begin.
			time.AfterFunc(time.Millisecond, func() { e.Agent.Acknowledge(e.Report.IncarnationStart, int64(len(e.Report.Ended))) })
		}
	case Refused:
		f.logf("event refused run %d %s, tries %d, unanswered %v", e.Order.Run, e.Reason, e.Tries, e.Unanswered)
	default:
		f.logf("event %s run %d %s", names[e.Kind], e.Order.Run, e.Reason)
	}
}

func (f *fixture) start(_ context.Context, _ Target, o Order, until Clock, fence int64) (Answer, error) {
	f.mu.Lock()
	f.startCalls++
	n := f.startCalls
	f.mu.Unlock()
	a, err := f.answerStart(n)
	if until <= f.clock() {
		a = Answer{Clock: f.clock(), Refused: RefusedLate}
	}
	f.logf("start run %d fence %d lease %.2f: %q %v", o.Run, fence, (until - f.clock()).Seconds(), a.Refused, err)
	return a, err
}

func (f *fixture) stop(_ context.Context, _ Target, o Order, fence int64) (Answer, error) {
	f.mu.Lock()
	unanswered := f.stopsUnanswered
	f.mu.Unlock()
	if unanswered {
		return Answer{}, errors.New("no answer")
	}
	f.logf("stop run %d fence %d", o.Run, fence)
	return Answer{Clock: f.clock()}, nil
}

func (f *fixture) hold(ctx context.Context, _ Target, h HoldRequest) (Report, error) {
	f.mu.Lock()
	unreachable := f.unreachable
	f.mu.Unlock()
	if unreachable {
		return Report{}, errors.New("no answer")
	}
	lease := "none"
	if h.Until > 0 {
		lease = fmt.Sprintf("%.2f", (h.Until - f.clock()).Seconds())
	}
	if f.logf("hold fence %d lease %s wait %v", h.Fence, lease, h.Wait); h.Acknowledged > 0 {
		f.logf("acknowledged up to %d", h.Acknowledged)
	}
	select {
	case <-ctx.Done():
		return Report{}, ctx.Err()
	case <-time.After(h.Wait):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ends := slices.DeleteFunc(slices.Clone(f.ends), func(e RunEnd) bool { return e.Number <= h.Acknowledged })
	return Report{Clock: f.clock(), IncarnationStart: f.incarnationStart, Ended: ends}, nil
}

func (f *fixture) assertGolden(name string) {
	f.cancel()
	f.group.Wait()
	golden.Assert(f.t, strings.Join(f.output, "\n")+"\n", name)
}

func newOrder(run int64) Order { return Order{Task: graph.TaskID{Job: "j"}, Run: run} }

// TestLeases guards against unnecessary calls to a worker, and against leases
// that end later than the bound after the leader's last renewal.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		time.Sleep(2050 * time.Millisecond)
		f.logf("one run expected, the leader's lease is no longer renewed")
		f.update(func() { f.renewalStopped = true })
		f.agent.SetExpectedRuns(1)
		time.Sleep(4500 * time.Millisecond)
		f.assertGolden("leases.golden")
	})
}

// TestSilent guards against failed calls that extend the leases of an
// unresponsive worker, and against emitting Gone before the leases have expired
// on a clock that may run slow.
func TestSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.agent.SetExpectedRuns(1)
		time.Sleep(1500 * time.Millisecond)
		f.logf("the worker stops answering")
		f.update(func() { f.unreachable = true })
		time.Sleep(5050 * time.Millisecond)
		f.agent.SetExpectedRuns(0)
		f.assertGolden("silent.golden")
	})
}

// TestStart guards against abandoning a start that the worker may still carry
// out, and against reporting one as refused that ran.
func TestStart(t *testing.T) {
	errNoAnswer := errors.New("no answer")
	for _, c := range []struct {
		name        string
		answerStart func(n int) (Answer, error)
	}{
		{"lost once", func(n int) (Answer, error) {
			if n == 1 {
				return Answer{}, errNoAnswer
			}
			return Answer{}, nil
		}},
		{"lost and ended meanwhile", func(n int) (Answer, error) {
			if n == 1 {
				return Answer{}, errNoAnswer
			}
			return Answer{Refused: RefusedOld}, nil
		}},
		{"lost and no room", func(n int) (Answer, error) {
			if n == 1 {
				return Answer{}, errNoAnswer
			}
			return Answer{Refused: RefusedRoom}, nil
		}},
		{"lost and another worker", func(n int) (Answer, error) {
			if n == 1 {
				return Answer{}, errNoAnswer
			}
			return Answer{}, ErrOtherIncarnation
		}},
		{"lost and not carried out", func(n int) (Answer, error) {
			if n == 1 {
				return Answer{}, errNoAnswer
			}
			return Answer{}, ErrNotCarriedOut
		}},
		{"never answered", func(int) (Answer, error) { return Answer{}, errNoAnswer }},
		{"not carried out", func(int) (Answer, error) { return Answer{}, ErrNotCarriedOut }},
		{"no room", func(int) (Answer, error) { return Answer{Refused: RefusedRoom}, nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.answerStart = c.answerStart
				time.Sleep(time.Second)
				f.agent.Start(t.Context(), newOrder(1))
				time.Sleep(3050 * time.Millisecond)
				f.assertGolden("start " + c.name + ".golden")
			})
		})
	}
}

// TestUnsettledStart guards against a long delay before a start can be placed
// elsewhere that was refused after an unanswered try: the hold call in progress
// is cancelled, and the worker is asked at once whether the stopped run exists.
func TestUnsettledStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.answerStart = func(n int) (Answer, error) {
			if n == 1 {
				return Answer{}, errors.New("no answer")
			}
			return Answer{Refused: RefusedRoom}, nil
		}
		time.Sleep(time.Second)
		f.agent.SetExpectedRuns(1)
		time.Sleep(100 * time.Millisecond)
		f.agent.Start(t.Context(), newOrder(1))
		time.Sleep(time.Second)
		f.assertGolden("unsettled start.golden")
	})
}

// TestEndsOfNextIncarnation guards against the loss of run ends of a worker's
// next incarnation, which numbers its run ends from the start: an
// acknowledgement of the former incarnation's run ends must not count for them.
func TestEndsOfNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.agent.SetExpectedRuns(1)
		time.Sleep(500 * time.Millisecond)
		f.update(func() { f.ends = []RunEnd{{Number: 1, Run: 1}} })
		time.Sleep(2 * time.Second)
		f.logf("the next incarnation starts, and a run ends there")
		f.update(func() { f.ends, f.incarnationStart = []RunEnd{{Number: 1, Run: 2}}, time.Unix(200, 0) })
		time.Sleep(2 * time.Second)
		f.assertGolden("ends of next incarnation.golden")
	})
}

// TestLateAcknowledgement guards against acknowledging run ends of the next
// incarnation of an idle worker, which nobody has processed: the
// acknowledgement was for the former incarnation and was delayed by the store.
func TestLateAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.update(func() { f.storeUnavailable = true })
		f.agent.SetExpectedRuns(1)
		time.Sleep(500 * time.Millisecond)
		f.update(func() { f.ends = []RunEnd{{Number: 1, Run: 1}} })
		time.Sleep(2 * time.Second)
		f.agent.SetExpectedRuns(0)
		time.Sleep(3 * time.Second)
		f.logf("the next incarnation starts, a run ends there, and the first run end is stored")
		f.update(func() { f.ends, f.incarnationStart = []RunEnd{{Number: 1, Run: 2}}, time.Unix(200, 0) })
		f.agent.Acknowledge(time.Unix(100, 0), 1)
		time.Sleep(time.Second)
		f.assertGolden("late acknowledgement.golden")
	})
}

// TestStopOutlastsLeases guards against a run that is never settled: its stop
// was abandoned when the leases had expired, and the worker answered again before
// Gone was emitted, so that no report settled the run.
func TestStopOutlastsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.answerStart = func(int) (Answer, error) { return Answer{}, errors.New("no answer") }
		f.agent.SetExpectedRuns(1)
		time.Sleep(1500 * time.Millisecond)
		f.update(func() { f.unreachable, f.stopsUnanswered = true, true })
		f.agent.Start(t.Context(), newOrder(1))
		leasesExpired := false
		for !leasesExpired {
			time.Sleep(10 * time.Millisecond)
			f.agent.mu.Lock()
			leasesExpired = f.agent.leasesExpired()
			f.agent.mu.Unlock()
		}
		time.Sleep(orderRetryDelay)
		f.logf("the worker answers")
		f.update(func() { f.unreachable, f.stopsUnanswered = false, false })
		time.Sleep(2500 * time.Millisecond)
		f.agent.SetExpectedRuns(0)
		f.assertGolden("stop outlasts leases.golden")
	})
}

// TestStartAfterGone guards against a run that begins although it was given up: its
// start is sent again, under a new lease, after Gone was emitted. The leases had ended
// since the leader could not renew its own, which it can again. A try may still be on its
// way, so that the fencing token has to rise.
func TestStartAfterGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.answerStart = func(int) (Answer, error) {
			time.Sleep(300 * time.Millisecond)
			return Answer{}, errors.New("no answer")
		}
		f.agent.SetExpectedRuns(1)
		f.update(func() { f.renewalStopped = true })
		time.Sleep(5300 * time.Millisecond)
		f.logf("the worker stops answering")
		f.update(func() { f.unreachable = true })
		f.agent.RequestReport()
		time.Sleep(2650 * time.Millisecond)
		f.logf("a start is sent")
		f.agent.Start(t.Context(), newOrder(1))
		time.Sleep(500 * time.Millisecond)
		f.logf("the leader's lease is renewed, and the worker answers")
		f.update(func() { f.renewalStopped, f.unreachable = false, false })
		time.Sleep(2 * time.Second)
		f.agent.SetExpectedRuns(0)
		f.assertGolden("start after gone.golden")
	})
}

// TestGoneAfterOutage guards against giving up the runs of a worker that is cut off for
// less than a lease, since the leader could not renew its own lease before: runs that are
// done there would run again.
func TestGoneAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.agent.SetExpectedRuns(1)
		f.update(func() { f.renewalStopped = true })
		time.Sleep(5300 * time.Millisecond)
		f.logf("the worker stops answering")
		f.update(func() { f.unreachable = true })
		f.agent.RequestReport()
		time.Sleep(2500 * time.Millisecond)
		f.logf("the leader's lease is renewed, and the worker answers")
		f.update(func() { f.renewalStopped, f.unreachable = false, false })
		time.Sleep(time.Second)
		f.agent.SetExpectedRuns(0)
		f.assertGolden("gone after outage.golden")
	})
}

// TestStartAfterLongIdleTime guards against the refusal of a start as late
// because the worker's clock was last read a long time ago.
func TestStartAfterLongIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.answerStart = func(int) (Answer, error) { return Answer{}, nil }
		time.Sleep(10 * time.Minute)
		f.agent.Start(t.Context(), newOrder(1))
		time.Sleep(time.Second)
		f.assertGolden("start after long idle time.golden")
	})
}

// TestWorkerRestart guards against the execution of orders to a worker's former
// incarnation by the next one: the fencing token rises, and late tries carry
// the old one.
func TestWorkerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.answerStart = func(n int) (Answer, error) {
			if n == 1 {
				time.Sleep(1500 * time.Millisecond)
				return Answer{}, errors.New("no answer")
			}
			return Answer{Refused: RefusedFence}, nil
		}
		time.Sleep(time.Second)
		f.agent.Start(t.Context(), newOrder(1))
		f.update(func() { f.incarnationStart = time.Unix(200, 0) })
		f.agent.SetExpectedRuns(1)
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, f.agent.Fence()-f.agent.Epoch*tokensPerEpoch, int64(1))
		f.assertGolden("worker restart.golden")
	})
}

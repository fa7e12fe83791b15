package agent

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const (
	// cancelTime is the platform's cancel_ms, after which a worker has to be told to stop the
	// tasks of a cancelled job.
	cancelTime = 3 * time.Second
	// roundTrip is the time of a call on an open connection to a worker in another region.
	roundTrip = 40 * time.Millisecond
)

// farWorker counts the stops that a worker in another region receives. A call that goes
// over a connection for the first time takes another round trip.
type farWorker struct {
	mu          sync.Mutex
	active      int
	connections int
	stopped     int
	lastStop    time.Time
	unanswered  func(o Order) bool
	timeouts    []time.Duration
}

func (w *farWorker) stop(ctx context.Context, _ Target, o Order, _ int64) (Answer, error) {
	w.mu.Lock()
	w.active++
	wait := roundTrip
	if w.active > w.connections {
		w.connections, wait = w.active, 2*roundTrip
	}
	unanswered := w.unanswered != nil && w.unanswered(o)
	w.mu.Unlock()
	if unanswered {
		wait = time.Hour
	}
	begun := time.Now()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active--
	if ctx.Err() != nil {
		w.timeouts = append(w.timeouts, time.Since(begun))
		return Answer{}, errors.New("no answer")
	}
	w.stopped++
	w.lastStop = time.Now()
	return Answer{}, nil
}

// stopAll stops runs 1 to n at once and returns the time until the last of them was told.
func (w *farWorker) stopAll(t *testing.T, n int) time.Duration {
	var group sync.WaitGroup
	a := New(Deps{
		Calls: Calls{Stop: w.stop}, LastRenewal: time.Now, Go: group.Go, Emit: func(Event) {}, Log: event.Discard(),
	})
	begun := time.Now()
	for i := range n {
		a.Stop(t.Context(), Order{Task: graph.TaskID{Job: "j", Index: i}, Run: 1})
	}
	group.Wait()
	assert.Equal(t, w.stopped, n)
	return w.lastStop.Sub(begun)
}

// TestStopsOnFarWorker guards against tasks of cancelled jobs that run on for seconds since
// their stops wait for few connections to a worker in another region, and against further
// connections for a few orders. Three orders at a time, as before, take over five times as
// long for 396 stops.
func TestStopsOnFarWorker(t *testing.T) {
	for _, c := range []struct{ tasks, connections int }{{1, 1}, {3, 3}, {12, 3}, {60, 15}, {396, MaxOrders}, {1500, MaxOrders}} {
		synctest.Test(t, func(t *testing.T) {
			w := &farWorker{}
			took := w.stopAll(t, c.tasks)
			t.Logf("%d stops: %v over %d connections", c.tasks, took, w.connections)
			assert.Assert(t, took <= cancelTime, "%d stops take %v", c.tasks, took)
			assert.Equal(t, w.connections, c.connections, "connections for %d stops", c.tasks)
		})
	}
}

// TestStopsBefore shows the time that TestStopsOnFarWorker bounds for three orders at a time.
func TestStopsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &farWorker{}
		begun, slots := time.Now(), make(chan struct{}, 3)
		var group sync.WaitGroup
		for range 396 {
			group.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				_, err := w.stop(t.Context(), Target{}, Order{}, 0)
				assert.Check(t, err == nil)
			})
		}
		group.Wait()
		before := w.lastStop.Sub(begun)
		took := (&farWorker{}).stopAll(t, 396)
		assert.Assert(t, before > 5*took && before > cancelTime, "%v with three at a time, %v now", before, took)
	})
}

// TestStopToBusyWorker guards against stops that are given up again and again after the same
// time, since the answers of a busy worker take longer, and against orders that wait behind
// those without an answer.
func TestStopToBusyWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &farWorker{}
		begun := time.Now()
		w.unanswered = func(o Order) bool { return o.Task.Index < 2 && time.Since(begun) < 2500*time.Millisecond }
		w.stopAll(t, 40)
		answered := func(d time.Duration) int {
			n := 0
			for _, took := range w.timeouts {
				if took == d {
					n++
				}
			}
			return n
		}
		for timeout := orderTimeout; timeout <= maxStopTimeout; timeout *= 2 {
			assert.Equal(t, answered(timeout), 2, "tries that end after %v of %v", timeout, w.timeouts)
		}
		assert.Equal(t, len(w.timeouts), 6)
	})
}

// TestStoppedBeforeStart guards against a start that waits for others to a far worker and
// is sent although its run has been stopped meanwhile: the worker would begin the task of a
// cancelled job.
func TestStoppedBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 400
		var group sync.WaitGroup
		var mu sync.Mutex
		starts := 0
		w := &farWorker{}
		settled := make(map[graph.TaskID]bool)
		a := New(Deps{
			Calls: Calls{Stop: w.stop, Start: func(context.Context, Target, Order, Clock, int64) (Answer, error) {
				mu.Lock()
				starts++
				mu.Unlock()
				time.Sleep(roundTrip)
				return Answer{}, nil
			}},
			LastRenewal: time.Now, Go: group.Go, Log: event.Discard(),
			Emit: func(e Event) {
				mu.Lock()
				defer mu.Unlock()
				if e.Kind == Dropped {
					settled[e.Order.Task] = true
				}
			},
		})
		orders := make([]Order, tasks)
		for i := range orders {
			orders[i] = Order{Task: graph.TaskID{Job: "j", Index: i}, Run: 1}
			a.Start(t.Context(), orders[i])
		}
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		before := starts
		mu.Unlock()
		for _, o := range orders {
			a.Stop(t.Context(), o)
		}
		group.Wait()
		assert.Assert(t, before < tasks/2)
		assert.Equal(t, starts, before, "starts sent after their stops")
		assert.Equal(t, len(settled), tasks)
		assert.Equal(t, len(a.pendingStarts), 0)
	})
}

// TestOrderGivenUp guards against slots that are lost when an order is given up while it
// waits.
func TestOrderGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s orderSlots
		ctx, cancel := context.WithCancel(t.Context())
		for range minOrders {
			assert.NilError(t, s.acquire(ctx))
		}
		var group sync.WaitGroup
		for range 6 {
			group.Go(func() { assert.Check(t, s.acquire(ctx) != nil) })
		}
		synctest.Wait()
		cancel()
		group.Wait()
		for range minOrders {
			s.release()
		}
		assert.Equal(t, s.active, 0)
		assert.Equal(t, len(s.waiting), 0)
	})
}

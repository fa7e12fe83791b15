package limit

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

type (
	// arrivals are n requests of a workspace and class that arrive in sequence.
	arrivals struct {
		ws    ident.Workspace
		class jobs.Class
		n     int
	}

	// transcript records the outcome of each request in the order of decision.
	transcript struct {
		text strings.Builder
	}
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func weights(ws ident.Workspace) int {
	return map[ident.Workspace]int{"large": 3, "small": 1}[ws]
}

// submit starts the requests one after another, which fixes their order in the
// queue.
func submit(t *testing.T, q *Queue, tr *transcript, batch ...arrivals) {
	for _, a := range batch {
		for i := range a.n {
			go func() {
				err := q.Acquire(t.Context(), a.ws, a.class)
				fmt.Fprintf(&tr.text, "%s %s %d: %s\n", a.ws, a.class, i, outcome(err))
			}()
			synctest.Wait()
		}
	}
}

func outcome(err error) string {
	if err != nil {
		return err.Error()
	}
	return "admitted"
}

// TestQueueOrder guards against a burst of one workspace that takes the share
// of another, and against shedding a request that is not the least urgent.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &transcript{}
		q := NewQueue(QueueSettings{Bound: 8, Weight: weights})
		q.SetCapacity(4)
		fmt.Fprintln(&tr.text, "# small bursts alone: 4 are admitted, 8 wait, 3 are shed")
		submit(t, q, tr, arrivals{"small", jobs.Normal, 10}, arrivals{"small", jobs.Background, 5})
		fmt.Fprintln(&tr.text, "# large arrives: its share of the queue is 6 of 8")
		submit(t, q, tr, arrivals{"large", jobs.Background, 3}, arrivals{"large", jobs.Urgent, 5})
		fmt.Fprintln(&tr.text, "# capacity becomes free")
		for range 4 {
			q.Release("small")
			synctest.Wait()
		}
		for q.Waiting() > 0 {
			q.Release("large")
			synctest.Wait()
		}
		golden.Assert(t, tr.text.String(), "order.golden")
	})
}

// TestQueueDeadline guards against a request that waits past its deadline, and
// against capacity that leaks when a request times out.
func TestQueueDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueSettings{Bound: 8, Weight: weights})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		assert.ErrorIs(t, q.Acquire(ctx, "small", jobs.Urgent), context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), time.Second)
		assert.Equal(t, q.Waiting(), 0)
		q.SetCapacity(1)
		assert.NilError(t, q.Acquire(t.Context(), "small", jobs.Urgent))
		assert.ErrorIs(t, q.Acquire(ctx, "small", jobs.Urgent), context.DeadlineExceeded)
	})
}

// TestBudget guards against more or fewer retries than the budget's share of
// first attempts.
func TestBudget(t *testing.T) {
	b := NewBudget(0.1)
	retries := 0
	for range 1000 {
		b.AddFirstAttempt()
		if b.TakeRetry() {
			retries++
		}
	}
	assert.Assert(t, retries <= budgetStart+100, "%d retries", retries)
	assert.Assert(t, retries >= budgetStart+99, "%d retries", retries)
}

// TestBackoff guards against a delay bound that does not double with each retry
// or exceeds Max, also when the shift would overflow.
func TestBackoff(t *testing.T) {
	var out strings.Builder
	for _, r := range []float64{0, 0.5, 0.999} {
		b := Backoff{Base: 20 * time.Millisecond, Max: time.Second, Float64: func() float64 { return r }}
		for _, n := range []int{0, 1, 5, 6, 60} {
			fmt.Fprintf(&out, "random %.3f retry %d: %v\n", r, n, b.Delay(n).Round(time.Millisecond))
		}
	}
	golden.Assert(t, out.String(), "backoff.golden")
}

func ExampleQueue() {
	q := NewQueue(QueueSettings{Bound: 10, Weight: func(ident.Workspace) int { return 1 }})
	q.SetCapacity(1)
	if err := q.Acquire(context.Background(), "foundry-a", jobs.Normal); err != nil {
		fmt.Println(err)
		return
	}
	defer q.Release("foundry-a")
	fmt.Println("admitted")
	// Output: admitted
}

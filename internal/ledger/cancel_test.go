package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestSubmissionAfterCancel guards against a job that is stored, and so runs, after its
// cancelling was answered as that of an unknown job, because the store carries out the
// submission late, or the caller repeats it.
func TestSubmissionAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fakes.NewTable()
		l := New(table.Store())
		table.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: 6 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		outcome, err := l.Accept(ctx, testJob())
		cancel()
		assert.Equal(t, outcomeName(outcome), "uncertain", "%v", err)
		table.Faults.Clear()

		outcome, err = l.Cancel(t.Context(), testID)
		assert.NilError(t, err)
		assert.Equal(t, outcomeName(outcome), "absent")
		time.Sleep(10 * time.Second)
		_, err = table.Store().Get(t.Context(), JobKey(testID))
		assert.ErrorIs(t, err, store.ErrNotFound)
		_, known, err := l.Phase(t.Context(), testID)
		assert.NilError(t, err)
		assert.Assert(t, !known, "a job that nobody has submitted is shown")

		outcome, err = l.Accept(t.Context(), testJob())
		assert.Equal(t, outcomeName(outcome), "not stored")
		assert.ErrorIs(t, err, ErrCancelled)
		outcome, err = l.Cancel(t.Context(), testID)
		assert.NilError(t, err)
		assert.Equal(t, outcomeName(outcome), "absent")
	})
}

// TestCancelBesideSubmission guards against the same at any moment: submissions and
// cancellations of a job overlap, and their calls are delayed, refused or lose their
// answers at random. It also guards against a submission that is acknowledged or refused
// wrongly.
func TestCancelBesideSubmission(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				table := fakes.NewTable()
				l := New(table.Store())
				go func() {
					random := rand.New(rand.NewPCG(seed, 2))
					for range 12 {
						switch random.IntN(5) {
						case 0:
							table.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: upTo(random, 6*time.Second)})
						case 1:
							table.Faults.Set(fakes.Fault{Kind: fakes.Lost})
						case 2:
							table.Faults.Set(fakes.Fault{Kind: fakes.Down})
						case 3:
							table.Faults.Set(fakes.Fault{Kind: fakes.Stale, Delay: 6 * time.Second})
						default:
							table.Faults.Clear()
						}
						time.Sleep(upTo(random, 700*time.Millisecond))
					}
					table.Faults.Clear()
				}()
				type answer struct {
					outcome Outcome
					err     error
					at      time.Time
				}
				call := func(pause time.Duration, f func(context.Context) (Outcome, error)) answer {
					time.Sleep(pause)
					ctx, cancel := context.WithTimeout(t.Context(), 2750*time.Millisecond)
					defer cancel()
					outcome, err := f(ctx)
					return answer{outcome, err, time.Now()}
				}
				accept := func(ctx context.Context) (Outcome, error) { return l.Accept(ctx, testJob()) }
				withdraw := func(ctx context.Context) (Outcome, error) { return l.Cancel(ctx, testID) }
				submissions, cancels := make(chan answer, 3), make(chan answer, 3)
				for range 3 {
					submitPause, cancelPause := upTo(random, 5*time.Second), upTo(random, 8*time.Second)
					go func() { submissions <- call(submitPause, accept) }()
					go func() { cancels <- call(cancelPause, withdraw) }()
				}
				time.Sleep(30 * time.Second)

				var storedAt time.Time
				cancelled := false
				for _, c := range table.Log() {
					if c.Key != JobKey(testID) {
						continue
					}
					if storedAt.IsZero() {
						storedAt = c.At
					}
					var j graph.Job
					assert.NilError(t, Decode(store.Row{Value: c.Value}, &j))
					cancelled = j.Cancelled
				}
				for range 3 {
					a := <-submissions
					switch {
					case a.outcome == Stored:
						assert.Assert(t, !storedAt.IsZero() && !storedAt.After(a.at), "acknowledged, but not stored")
					case a.outcome == NotStored && errors.Is(a.err, ErrCancelled):
						assert.Assert(t, storedAt.IsZero(), "refused as cancelled, but stored")
					}
					c := <-cancels
					switch c.outcome {
					case NotFound:
						assert.Assert(t, storedAt.IsZero(), "stored after or before a cancelling that found no job")
					case Stored:
						assert.Assert(t, cancelled, "cancelling acknowledged, but not stored")
					}
				}
				rows, err := l.readCurrent(t.Context(), testID)
				assert.NilError(t, err)
				assert.Assert(t, rows.job.Version == 0 || rows.ended.Version == 0, "both rows exist")
			})
		})
	}
}

// upTo returns a random duration below limit.
func upTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

package accept

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/admit"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// retryQueue holds the submissions that wait while the store refuses them. It is
	// safe for concurrent use.
	retryQueue struct {
		longest time.Duration

		mu      sync.Mutex
		backlog *admit.Backlog
		// turns has, by waiting entry, the channel that is closed when it is its turn.
		turns map[*admit.Entry]chan struct{}
		// timer fires when the next entry is due.
		timer *time.Timer
	}

	// waitResult describes the wait of a submission. It is zero if there was none.
	waitResult struct {
		// retryAfter is the time after which a refused caller may try again.
		retryAfter time.Duration
		// waited is the time from the first refusal to the answer, and tries counts
		// the calls after the first.
		waited time.Duration
		tries  int
		// reason tells why a refused submission does not wait any longer.
		reason admit.Reason
	}
)

var (
	// waitingSubmissions is the number of submissions that wait or are tried again.
	waitingSubmissions = metrics.NewGauge("baobabquay_submissions_waiting", nil)
	// submitWaitSeconds is the time from the first refusal by the store to the answer,
	// of the submissions that waited.
	submitWaitSeconds = metrics.NewHistogram("baobabquay_submission_wait_seconds")
	// refusalCounters counts the callers that were refused because the store refused
	// their submissions.
	refusalCounters = map[admit.Reason]*metrics.Counter{
		admit.Ended: metrics.NewCounter(`baobabquay_submission_refusals_total{reason="ended"}`),
		admit.Short: metrics.NewCounter(`baobabquay_submission_refusals_total{reason="short"}`),
		admit.Full:  metrics.NewCounter(`baobabquay_submission_refusals_total{reason="full"}`),
	}
)

// errWithdrawn means that the configuration has changed during the wait, so that the
// call has no queue or no workspace any more.
var errWithdrawn = errors.New("queue or key withdrawn")

// newRetryQueue returns an empty queue in which a submission waits for up to longest.
// The function random returns numbers in [0, 1).
func newRetryQueue(longest time.Duration, random func() float64) *retryQueue {
	return &retryQueue{
		longest: longest, backlog: admit.New(admit.Limits{}, random),
		turns: make(map[*admit.Entry]chan struct{}),
	}
}

// storeJob stores the job. With SubmitWait, it repeats the call while the store refuses.
// The error is errWithdrawn if the configuration no longer allows the call; the answer
// is then set.
func (s *Service) storeJob(ctx context.Context, sub *submission) (ledger.Outcome, error) {
	if s.retryQueue == nil {
		return s.Ledger.Accept(ctx, sub.job)
	}
	first := true
	outcome, wait, err := s.retryQueue.accept(ctx, sub.job, func() (ledger.Outcome, error) {
		if !first {
			if _, _, _, answer := s.locate(sub.call); answer.Outcome != Accepted {
				sub.answer = answer
				return ledger.NotStored, errWithdrawn
			}
		}
		first = false
		return s.Ledger.Accept(ctx, sub.job)
	})
	sub.wait = wait
	return outcome, err
}

// refusedByStore reports whether the store has refused a job for now, so that a later
// try may be taken.
func refusedByStore(outcome ledger.Outcome, err error) bool {
	return outcome == ledger.NotStored && errors.Is(err, store.ErrUnavailable)
}

// refusalKind returns the way in which the store has refused a job.
func refusalKind(err error) admit.Kind {
	switch {
	case errors.Is(err, store.ErrBusy):
		return admit.Busy
	case errors.Is(err, store.ErrUnreached):
		return admit.Unreached
	}
	return admit.Refusing
}

// logPairs returns the fields of the log line of a submission, none if it did not wait.
func (w *waitResult) logPairs() []any {
	if w.tries == 0 && w.reason == admit.Waits {
		return nil
	}
	return []any{"waited", w.waited.String(), "tries", w.tries, "waitEnd", string(w.reason)}
}

// accept stores the job with the given function and repeats it while the store
// refuses the job and its wait lasts. The outcome is that of the last call, so
// NotStored means that none of them has taken effect.
func (q *retryQueue) accept(
	ctx context.Context, j *graph.Job, try func() (ledger.Outcome, error),
) (ledger.Outcome, waitResult, error) {
	result := waitResult{}
	outcome, err := try()
	if refusedByStore(outcome, err) {
		deadline, _ := ctx.Deadline()
		objective := j.Deadline(0).Sub(j.Due(0))
		e := &admit.Entry{Priority: j.Priority, Until: admit.Until(j.Accepted, q.longest, objective, deadline)}
		outcome, result, err = q.retry(ctx, e, err, try)
		if result.reason != admit.Waits {
			result.retryAfter = q.retryAfter(j.ID)
		}
	}
	q.recordAnswer(outcome)
	return outcome, result, err
}

// retry repeats a call that the store has refused with the error refusal.
func (q *retryQueue) retry(
	ctx context.Context, e *admit.Entry, refusal error, try func() (ledger.Outcome, error),
) (ledger.Outcome, waitResult, error) {
	defer q.leave(e)
	refusedAt, result := time.Now(), waitResult{}
	outcome, err := ledger.NotStored, refusal
	for refusedByStore(outcome, err) {
		if result.reason = q.awaitTurn(ctx, e, refusalKind(err)); result.reason != admit.Waits {
			refusalCounters[result.reason].Inc()
			break
		}
		outcome, err = try()
	}
	result.waited, result.tries = time.Since(refusedAt), e.Tries
	if result.reason == admit.Waits || result.reason == admit.Ended {
		submitWaitSeconds.Update(result.waited.Seconds())
	}
	return outcome, result, err
}

// awaitTurn records the refusal of e and waits until it is to be tried again. Otherwise
// it returns the reason why it is not.
func (q *retryQueue) awaitTurn(ctx context.Context, e *admit.Entry, kind admit.Kind) admit.Reason {
	turn, reason := q.join(e, kind)
	if reason != admit.Waits {
		return reason
	}
	timer := time.NewTimer(time.Until(e.Until))
	defer timer.Stop()
	select {
	case <-turn:
		return admit.Waits
	case <-timer.C:
	case <-ctx.Done():
	}
	return admit.Ended
}

// join records the refusal of e. It returns the channel that is closed when e is to be
// tried again, if it waits.
func (q *retryQueue) join(e *admit.Entry, kind admit.Kind) (<-chan struct{}, admit.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	reason := q.backlog.Refused(time.Now(), kind, e)
	if reason != admit.Waits {
		return nil, reason
	}
	waitingSubmissions.Set(float64(q.backlog.Held()))
	turn := make(chan struct{})
	q.turns[e] = turn
	q.dispatch()
	return turn, reason
}

// leave removes e, which is no longer tried.
func (q *retryQueue) leave(e *admit.Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backlog.Leave(e)
	delete(q.turns, e)
	waitingSubmissions.Set(float64(q.backlog.Held()))
}

// recordAnswer records that the store has taken a job, which lets the waiting ones go.
func (q *retryQueue) recordAnswer(outcome ledger.Outcome) {
	if outcome != ledger.Stored {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backlog.Answered(time.Now())
	q.dispatch()
}

func (q *retryQueue) retryAfter(id graph.ID) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backlog.RetryAfter(time.Now(), string(id))
}

// dispatch gives their turns to the entries that are due, and sets the timer for the
// next one. The caller must hold mu.
func (q *retryQueue) dispatch() {
	for {
		e, pause := q.backlog.Next(time.Now())
		if e != nil {
			close(q.turns[e])
			delete(q.turns, e)
			continue
		}
		if q.timer != nil {
			q.timer.Stop()
		}
		if pause > 0 {
			q.timer = time.AfterFunc(pause, func() {
				q.mu.Lock()
				defer q.mu.Unlock()
				q.dispatch()
			})
		}
		return
	}
}

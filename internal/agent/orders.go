package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/pkg/errors"
)

type (
	// startOrder is a start with the generation to which it belongs, and the fencing
	// token of that generation.
	startOrder struct {
		Order
		fence      int64
		generation int64
	}

	// runKey identifies a run.
	runKey struct {
		task graph.TaskID
		run  int64
	}
)

const (
	// orderTimeout bounds one try of an order. It allows for two round trips
	// between regions and a busy worker. It does not count the time for which the
	// order waits for others to the worker. It doubles with each try of a stop, up to
	// maxStopTimeout: the answers of a busy worker take longer.
	orderTimeout   = 350 * time.Millisecond
	maxStopTimeout = 4 * orderTimeout
	// maxStartTries is the number of tries after which a start is abandoned.
	maxStartTries = 4
	// orderRetryDelay is the pause between tries.
	orderRetryDelay = 40 * time.Millisecond
)

var (
	// errGenerationEnded means that a start was not sent, since its generation has ended.
	errGenerationEnded = errors.New("generation of the start has ended")
	// errStopped means that a start was not sent, since its run is to be stopped.
	errStopped = errors.New("run is to be stopped")
)

// Start sends a start order in a goroutine of its own, whose result is emitted
// as an event. The start belongs to the present generation, whose number Start
// returns: all tries carry its fencing token, and none is sent after its end. The
// result of a start whose generation has ended arrives with Gone or with a report of
// a later generation.
func (a *Agent) Start(ctx context.Context, o Order) int64 {
	a.mu.Lock()
	s := startOrder{Order: o, fence: a.fence(), generation: a.generation}
	a.pendingStarts[o.key()] = false
	// Gone is not emitted before this lease has expired.
	a.grantLease(time.Now())
	a.mu.Unlock()
	a.Go(func() {
		a.start(ctx, s)
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.generation == s.generation {
			delete(a.pendingStarts, o.key())
		}
	})
	return s.generation
}

func (o *Order) key() runKey { return runKey{o.Task, o.Run} }

func (a *Agent) start(ctx context.Context, s startOrder) {
	o := s.Order
	unanswered, retriedLate := false, false
	reason := ""
	var lastErr error
	for try := range maxStartTries {
		answer, err := a.sendStart(ctx, s)
		if errors.Is(err, errGenerationEnded) {
			a.Log.Write(event.OrderUnsettled, "order", "start", "task", o.Task.String(), "run", o.Run,
				"worker", string(a.Target.ID), "reason", err.Error())
			a.RequestReport()
			return
		}
		if errors.Is(err, errStopped) {
			// The answer to the stop settles the run.
			return
		}
		if err == nil && answer.Refused == "" {
			a.Emit(Event{Kind: Started, Agent: a, Order: o, At: time.Now()})
			return
		}
		if answer.Refused == RefusedLate && !unanswered && !retriedLate {
			// The answer carries the worker's clock. Its last reading may have
			// been too old to compute the end of the lease from it.
			retriedLate = true
			continue
		}
		if reason = refusalReason(answer, err); reason != "" && a.refusalSettles(reason, unanswered, s.fence) {
			a.Emit(Event{
				Kind: Refused, Agent: a, Order: o, Reason: reason, Tries: try + 1, Unanswered: unanswered,
				Deposed: reason == RefusedFence && s.fence == a.Fence(), At: time.Now(),
			})
			return
		}
		if lastErr = err; reason != "" && !errors.Is(err, ErrNotCarriedOut) {
			// The worker may still carry out an earlier try.
			break
		}
		unanswered, reason = true, ""
		if !pause(ctx, orderRetryDelay) {
			return
		}
	}
	a.Log.Write(event.OrderUnsettled, "order", "start", "task", o.Task.String(), "run", o.Run,
		"worker", string(a.Target.ID), "reason", reasonText(reason, lastErr))
	if a.stop(ctx, o, reason) {
		a.RequestReport()
	}
}

// reasonText returns the reason of a refusal, or the error of the last try if
// there was none.
func reasonText(refused string, lastErr error) string {
	if refused != "" || lastErr == nil {
		return refused
	}
	return lastErr.Error()
}

// refusalReason returns the reason for which a worker has not carried out a
// try, empty if it may have.
func refusalReason(answer Answer, err error) string {
	switch {
	case err == nil:
		return answer.Refused
	case errors.Is(err, ErrNotCarriedOut), errors.Is(err, ErrOtherIncarnation):
		return err.Error()
	}
	return ""
}

// refusalSettles reports whether a refusal settles a start. It does not if the
// worker may still carry out an earlier, unanswered try. A worker that refuses
// the fencing token of its present incarnation has seen a higher one and
// refuses all tries.
func (a *Agent) refusalSettles(reason string, unanswered bool, fence int64) bool {
	return !unanswered || reason == RefusedFence && fence == a.Fence()
}

// sendStart sends one try of a start, unless the generation of the start has ended or the
// run is to be stopped.
func (a *Agent) sendStart(ctx context.Context, s startOrder) (Answer, error) {
	if err := a.slots.acquire(ctx); err != nil {
		return Answer{}, fmt.Errorf("start run %d: %w: %w", s.Run, ErrNotCarriedOut, err)
	}
	defer a.slots.release()
	a.mu.Lock()
	if a.generation != s.generation {
		a.mu.Unlock()
		return Answer{}, errGenerationEnded
	}
	if a.pendingStarts[s.key()] {
		a.mu.Unlock()
		return Answer{}, errStopped
	}
	until, clock := a.grantLease(time.Now()), a.workerClock
	a.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := a.Calls.Start(callCtx, a.target(), s.Order, until, s.fence)
	if err != nil {
		if !errors.Is(err, ErrNotCarriedOut) && !errors.Is(err, ErrOtherIncarnation) {
			a.noteUnanswered(s.generation)
		}
		return answer, err
	}
	a.mu.Lock()
	a.updateClock(answer.Clock, false)
	// A clock behind the reading before the call is that of another incarnation,
	// which may have leased the run for the longest possible time.
	otherIncarnation := answer.Clock > 0 && answer.Clock < clock
	if otherIncarnation {
		a.otherLeaseEnd = time.Now().Add(a.maxLeaseDuration())
	}
	a.mu.Unlock()
	if otherIncarnation {
		a.RequestReport()
	}
	return answer, nil
}

// noteUnanswered records that the worker may still carry out a start.
func (a *Agent) noteUnanswered(generation int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.generation == generation {
		a.unansweredStart = true
	}
	a.lateUntil = time.Now().Add(lateOrderTime)
	a.wakeLoop()
}

// Stop stops a run in a goroutine of its own. It retries until the worker
// answers or ctx ends. The end of the run arrives with a report. If its start is still
// being sent, no further try is made.
func (a *Agent) Stop(ctx context.Context, o Order) {
	a.mu.Lock()
	if _, ok := a.pendingStarts[o.key()]; ok {
		a.pendingStarts[o.key()] = true
	}
	a.mu.Unlock()
	a.Go(func() {
		if a.stop(ctx, o, "") {
			a.wakeLoop()
		}
	})
}

// stop reports whether the worker refuses the run from now on, because it has
// answered or its leases have expired. The reason is that of a previous refusal
// of the start, if any.
func (a *Agent) stop(ctx context.Context, o Order, reason string) bool {
	for timeout := orderTimeout; ctx.Err() == nil; timeout = min(2*timeout, maxStopTimeout) {
		if a.sendStop(ctx, o, timeout) || a.runsEnded() {
			a.Emit(Event{Kind: Dropped, Agent: a, Order: o, Reason: reason, At: time.Now()})
			return true
		}
		if !pause(ctx, 2*orderRetryDelay) {
			return false
		}
	}
	return false
}

// sendStop sends one try of a stop, unless all runs have ended, and reports whether the
// worker refuses the run from now on.
func (a *Agent) sendStop(ctx context.Context, o Order, timeout time.Duration) bool {
	if err := a.slots.acquire(ctx); err != nil {
		return false // ctx has ended.
	}
	defer a.slots.release()
	if a.runsEnded() {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	to := a.target()
	_, err := a.Calls.Stop(callCtx, to, o, a.Fence())
	return err == nil || a.incarnationEnded(to, err)
}

// runsEnded reports whether the worker does not answer and all its leases have expired, so
// that its runs have ended and it refuses starts of this generation as late.
func (a *Agent) runsEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failedCalls == 0 || !a.leasesExpired() {
		return false
	}
	a.endGeneration()
	return true
}

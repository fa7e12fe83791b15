package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/pkg/errors"
)

type (
	// EventKind is the kind of an Event.
	EventKind int

	// Event is a message from an agent to the scheduler.
	Event struct {
		Kind  EventKind
		Agent *Agent
		// Report is set for Reported. RequestedAt is the instant at which the
		// call that returned it began.
		Report      Report
		RequestedAt time.Time
		// Generation is set for Reported and Gone. The worker carries out no
		// start of an earlier generation after a report, and none of this one or
		// an earlier one after Gone. The first, partial report of a new
		// incarnation has the generation of the former one.
		Generation int64
		// Order is set for Started, Refused and Dropped. Reason is set for
		// Refused, Silent and Gone, and for Dropped if a try was refused.
		Order  Order
		Reason string
		// Tries is set for Refused: the number of tries up to the refused one.
		// Unanswered reports whether an earlier try had no answer, so that the
		// worker may still carry it out. Deposed reports whether the worker has
		// seen the fencing token of a later leader.
		Tries      int
		Unanswered bool
		Deposed    bool
		At         time.Time
	}

	// Limits are the lease durations of an installation.
	Limits struct {
		// Lease is the duration of the leases of runs.
		Lease time.Duration
		// Bound is the longest time for which a lease may outlast the last
		// renewal of the leader's own lease.
		Bound time.Duration
	}

	// Deps are the dependencies and parameters of an agent.
	Deps struct {
		Calls Calls
		// Target is the worker with its initial address.
		Target Target
		Limits Limits
		// Epoch is the leader's epoch.
		Epoch int64
		// InitialToken is the number of the first fencing token within the epoch.
		// It is above those that former agents of the worker have used in this
		// term.
		InitialToken int64
		// LastRenewal returns the instant of the last renewal of the leader's
		// lease.
		LastRenewal func() time.Time
		// Go runs an order in a goroutine that the scheduler waits for.
		Go func(func())
		// Emit passes an event to the scheduler and may block until it is
		// received.
		Emit func(Event)
		Log  event.Log
	}

	// Agent is the leader's client of one worker. It is safe for concurrent
	// use.
	Agent struct {
		Deps

		mu sync.Mutex
		// workerClock is the worker's clock as read at clockReadAt.
		workerClock      Clock
		clockReadAt      time.Time
		incarnationStart time.Time
		// lastReport is the instant of the last report.
		lastReport time.Time
		// generation is the number of the present generation of starts, and token
		// the number of its fencing token within the epoch.
		generation int64
		token      int64
		// pendingStarts has the starts of the generation that are being sent. The value
		// is true for a run that is to be stopped, whose start is not sent any more.
		// unansweredStart reports whether a try of one of its starts had no answer.
		pendingStarts   map[runKey]bool
		unansweredStart bool
		// lateUntil is the time until which the worker may carry out a start that it
		// has not answered.
		lateUntil time.Time
		// leaseEnd is the latest end of the leases of the present incarnation.
		leaseEnd Clock
		// otherLeaseEnd is the latest end of the leases of another incarnation
		// that has sent no report yet. An answer with a clock behind the known
		// one has shown that it exists.
		otherLeaseEnd time.Time
		created       time.Time
		// ackStored is the number up to which run ends are stored and may be
		// acknowledged.
		ackStored int64
		// ackSent is the number up to which the worker has received the
		// acknowledgement.
		ackSent      int64
		expectedRuns int
		failedCalls  int
		inDoubt      bool
		wake         chan struct{}
		// callNow reports whether the worker is to answer the next call at
		// once, and cancelHold cancels the call in progress if it waits for a
		// run to end.
		callNow    bool
		cancelHold context.CancelFunc
		// slots are those of the orders to the worker.
		slots orderSlots
		// listedAddress is the worker's address in the list of workers, and
		// answeredAddress the one at which the present incarnation has
		// answered.
		listedAddress   netip.AddrPort
		answeredAddress netip.AddrPort
	}
)

// The kinds of events.
const (
	// Reported carries a report.
	Reported EventKind = iota
	// Started means that the worker has accepted a start.
	Started
	// Refused means that the worker has refused a start and will not run it.
	Refused
	// Dropped means that a start was abandoned and the run stopped: the next
	// report whose call begins after it tells whether the run has ended or
	// never began.
	Dropped
	// Silent means that the worker does not answer.
	Silent
	// Gone means that all leases that were granted to an unresponsive worker have
	// expired, and that no start of the generation is sent any more.
	Gone
)

const (
	// maxHoldWait is the longest time for which a worker holds back its answer.
	maxHoldWait = 2 * time.Second
	// doubtHoldWait is the time for which a worker holds back its answer while
	// its runs are in doubt.
	doubtHoldWait = 500 * time.Millisecond
	// holdMargin is the time that the answer to a hold call may take beyond the
	// requested wait.
	holdMargin = 700 * time.Millisecond
	// silentThreshold is the number of consecutive failed calls after which a
	// worker counts as silent.
	silentThreshold = 2
	// silentRetryDelay is the longest pause between calls to a worker that does
	// not answer.
	silentRetryDelay = 400 * time.Millisecond
	// storeWait bounds the wait for reported run ends to be stored before the
	// next call, which then acknowledges them.
	storeWait = 300 * time.Millisecond
	// minRestartTime is the shortest time in which a worker can restart. A
	// report that is not older comes from the incarnation that receives the
	// next call.
	minRestartTime = time.Second
	// minClockSpeed is the lowest rate of a worker's clock, which may be 2%
	// slow.
	minClockSpeed = 0.98
	// runEndMargin is the time that a worker may need to end its runs after
	// their leases have expired.
	runEndMargin = 250 * time.Millisecond
	// lateOrderTime bounds the time after which an order without an answer is carried
	// out. Orders have been seen to take up to 12 s.
	lateOrderTime = 15 * time.Second
	// tokensPerEpoch is the number of fencing tokens of a worker within an epoch.
	tokensPerEpoch = 1000
)

// New returns an agent that has not called its worker yet.
func New(d Deps) *Agent {
	return &Agent{
		Deps: d, wake: make(chan struct{}, 1), created: time.Now(), token: d.InitialToken, pendingStarts: make(map[runKey]bool),
		listedAddress: d.Target.Address, answeredAddress: d.Target.Address,
	}
}

// Fence returns the present fencing token. It rises with the epoch and, within an
// epoch, with each incarnation of the worker and each generation of which a start
// may still be on its way, so that the worker refuses that start.
func (a *Agent) Fence() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fence()
}

func (a *Agent) fence() int64 { return a.Epoch*tokensPerEpoch + min(a.token, tokensPerEpoch-1) }

// NextToken returns a number of a fencing token that this agent has not used.
func (a *Agent) NextToken() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.token + 1
}

// endGeneration begins the next generation of starts, since those of the present one
// are given up. None of them is sent again. If the worker may still receive one, the
// fencing token rises. The caller must hold mu.
func (a *Agent) endGeneration() {
	a.generation++
	if len(a.pendingStarts) > 0 || a.unansweredStart {
		a.token++
	}
	clear(a.pendingStarts)
	a.unansweredStart = false
}

// IncarnationStart returns the start of the worker's present incarnation, zero
// before the first report.
func (a *Agent) IncarnationStart() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnationStart
}

// SetAddress sets the address at which the worker is called, and calls it there.
// Either the same or a later incarnation of the worker answers, as its report
// shows.
func (a *Agent) SetAddress(address netip.AddrPort) {
	a.mu.Lock()
	a.listedAddress = address
	a.mu.Unlock()
	a.RequestReport()
}

// target returns the worker at its present address.
func (a *Agent) target() Target {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Target{ID: a.Target.ID, Address: a.listedAddress}
}

// incarnationEnded reports whether an error shows that the worker's incarnation
// has ended: another one answers at the address at which this one has answered.
// At any other address, the error does not show this.
func (a *Agent) incarnationEnded(to Target, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return errors.Is(err, ErrOtherIncarnation) && to.Address == a.answeredAddress
}

// RequestReport has the worker called at once for a report, and cancels a call that
// waits for a run to end.
func (a *Agent) RequestReport() {
	a.mu.Lock()
	a.callNow = true
	if a.cancelHold != nil {
		a.cancelHold()
	}
	a.mu.Unlock()
	a.wakeLoop()
}

// SetExpectedRuns sets the number of runs that the scheduler expects on the
// worker. Run calls the worker as long as it is positive, or a start may be late.
func (a *Agent) SetExpectedRuns(n int) {
	a.mu.Lock()
	changed := (n > 0) != (a.expectedRuns > 0)
	a.expectedRuns = n
	a.mu.Unlock()
	if changed {
		a.wakeLoop()
	}
}

// SetInDoubt sets whether runs of the worker are in doubt, in which case the
// worker is called more often.
func (a *Agent) SetInDoubt(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inDoubt = on
}

// Acknowledge allows the worker to discard its run ends up to the number, if it
// is still the incarnation that started at the given instant.
func (a *Agent) Acknowledge(incarnationStart time.Time, number int64) {
	a.mu.Lock()
	if a.incarnationStart.Equal(incarnationStart) {
		a.ackStored = max(a.ackStored, number)
	}
	a.mu.Unlock()
	a.wakeLoop()
}

func (a *Agent) wakeLoop() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run calls the worker until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		wait, call := a.nextCall(first)
		if !call {
			a.waitForWork(ctx)
			continue
		}
		a.hold(ctx, wait, first)
		a.mu.Lock()
		first = first && a.clockReadAt.IsZero()
		a.mu.Unlock()
	}
}

// nextCall returns how long the next call waits for a run to end, and whether a
// call is due at all.
func (a *Agent) nextCall(first bool) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	callNow := a.callNow
	a.callNow = false
	switch {
	case first, callNow, a.failedCalls > 0, a.ackStored > a.ackSent && !a.sameIncarnation():
		return 0, true
	case a.expectedRuns > 0 && a.inDoubt:
		return doubtHoldWait, true
	case a.expectedRuns > 0, time.Now().Before(a.lateUntil):
		// A call that is open shows at once that the worker restarts. Its next
		// incarnation has to see its fencing token before a late start arrives.
		return min(maxHoldWait, a.Limits.Lease/3), true
	}
	// Run ends are stored and not acknowledged yet.
	return 0, a.ackStored > a.ackSent
}

// sameIncarnation reports whether the last report is so recent that the next
// call must reach the same incarnation of the worker. The caller must hold mu.
func (a *Agent) sameIncarnation() bool { return time.Since(a.lastReport) < minRestartTime }

// waitForWork waits until a call may be due.
func (a *Agent) waitForWork(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-a.wake:
	}
}

func (a *Agent) hold(ctx context.Context, wait time.Duration, first bool) {
	requestedAt := time.Now()
	a.mu.Lock()
	h, generation := HoldRequest{Fence: a.fence(), Wait: wait}, a.generation
	// After a failed call no lease is granted, since a worker whose answers are
	// lost would otherwise hold leases that never end. Nor are run ends
	// acknowledged, since another incarnation may answer, which numbers its run
	// ends from the start.
	if !first && a.failedCalls == 0 {
		h.Until = a.grantLease(requestedAt)
		if a.ackStored > a.ackSent && a.sameIncarnation() {
			h.Acknowledged = a.ackStored
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+holdMargin)
	if a.cancelHold = nil; wait > 0 {
		a.cancelHold = cancel
	}
	if a.callNow {
		h.Wait = 0
	}
	to := Target{ID: a.Target.ID, Address: a.listedAddress}
	a.mu.Unlock()
	report, err := a.Calls.Hold(callCtx, to, h)
	cancel()
	a.mu.Lock()
	interrupted := a.callNow && wait > 0
	a.cancelHold = nil
	a.mu.Unlock()
	if ctx.Err() != nil || err != nil && interrupted {
		return
	}
	if err != nil {
		a.handleFailure(ctx, to, err)
		return
	}
	a.mu.Lock()
	a.ackSent, a.answeredAddress = max(a.ackSent, h.Acknowledged), to.Address
	a.mu.Unlock()
	if a.handleReport(report, requestedAt, generation) {
		a.waitForStore(ctx, h, report)
	}
}

// waitForStore delays the next call after an answer with run ends that are not
// stored yet, which the worker would return again.
func (a *Agent) waitForStore(ctx context.Context, h HoldRequest, r Report) {
	if len(r.Ended) == 0 {
		return
	}
	last := r.Ended[len(r.Ended)-1].Number
	deadline := time.NewTimer(storeWait)
	defer deadline.Stop()
	for {
		a.mu.Lock()
		stored := a.ackStored >= last
		a.mu.Unlock()
		if stored && h.Acknowledged < last {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-a.wake:
		}
	}
}

// handleReport records a report, emits it and reports whether it is complete.
// The first report of a new incarnation is not: the incarnation has not seen its
// fencing token yet and could still carry out an order to the former one. The
// worker is therefore called once more, and the scheduler gives up the runs of
// the former incarnation on the next report. The run ends in the first report
// count, since the call may have acknowledged them with a number of the former
// incarnation. The generation is that of the call.
func (a *Agent) handleReport(r Report, requestedAt time.Time, generation int64) bool {
	a.mu.Lock()
	restarted := !a.incarnationStart.IsZero() && !r.IncarnationStart.Equal(a.incarnationStart)
	if restarted {
		a.unansweredStart = true // A start to the former incarnation may be on its way.
		a.endGeneration()
		a.ackStored, a.ackSent, a.callNow = 0, 0, true
	}
	if restarted || a.incarnationStart.IsZero() && len(r.Running) > 0 {
		// A former leader, or an order to the former incarnation, may have
		// granted leases that end Bound from now at the latest.
		if restarted {
			a.leaseEnd = 0
		}
		a.leaseEnd = max(a.leaseEnd, r.Clock+a.Limits.Bound)
	}
	r.Partial = r.Partial || restarted
	a.incarnationStart, a.lastReport, a.failedCalls = r.IncarnationStart, time.Now(), 0
	a.updateClock(r.Clock, restarted)
	a.mu.Unlock()
	a.Emit(Event{Kind: Reported, Agent: a, Report: r, RequestedAt: requestedAt,
		Generation: generation, At: time.Now()})
	return !restarted
}

// updateClock records the worker's clock. Answers may overtake each other, so
// an earlier reading is ignored. The caller must hold mu.
func (a *Agent) updateClock(c Clock, restarted bool) {
	if restarted || a.clockReadAt.IsZero() || c > a.workerClock {
		a.workerClock, a.clockReadAt = c, time.Now()
	}
}

// handleFailure counts a failed call and emits Silent or Gone where it applies.
func (a *Agent) handleFailure(ctx context.Context, to Target, err error) {
	incarnationEnded := a.incarnationEnded(to, err)
	a.mu.Lock()
	a.failedCalls++
	failedCalls, generation := a.failedCalls, a.generation
	gone := incarnationEnded || a.leasesExpired() && a.silentForLease()
	if gone {
		a.endGeneration()
	}
	a.mu.Unlock()
	if gone {
		a.Emit(Event{Kind: Gone, Agent: a, Generation: generation, Reason: err.Error(), At: time.Now()})
	} else if failedCalls >= silentThreshold {
		a.Emit(Event{Kind: Silent, Agent: a, Reason: err.Error(), At: time.Now()})
	}
	pause(ctx, min(time.Duration(failedCalls)*orderRetryDelay, silentRetryDelay))
}

// pause waits for d and reports whether it did so before ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

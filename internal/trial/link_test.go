package trial

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// step is the kind of a call that an instance makes to the store or to a
	// worker.
	step string

	// link passes on the calls of one incarnation of an instance and injects
	// faults into them.
	link struct {
		mu sync.Mutex
		// storeCutUntil and workersCutUntil are when the connections to the store
		// and to the workers work again.
		storeCutUntil   time.Time
		workersCutUntil time.Time
		// workerCutUntil has the same for the connections to single workers.
		workerCutUntil map[pool.WorkerID]time.Time
		// frozenUntil is when a suspended instance continues. Its calls block
		// until then.
		frozenUntil time.Time
		// hook is called before each call, except for polls, and returns the fault
		// to inject.
		hook func(*link, step) fault
	}

	// fault is a fault in one call. The zero value is none.
	fault struct {
		// before is called before the call takes effect, and after once it has.
		before, after func()
		// answerLost drops the answer. With effectDelay the caller gets no answer
		// either, and the call takes effect after that time.
		answerLost  bool
		effectDelay time.Duration
		// delay is the time before the call takes effect.
		delay time.Duration
		// reset closes the connection before the call takes effect.
		reset bool
	}
)

// The steps: calls to the store, up to stepFollowLead, and to the workers. The
// values are part of the names of the matrix cells.
const (
	// stepAccept stores a new job, and stepCancel the cancellation of a job.
	stepAccept step = "accept"
	stepCancel step = "cancel"
	// stepTake takes the leader lease, and stepRenew renews it.
	stepTake  step = "take"
	stepRenew step = "renew"
	// stepCommit is any other transaction with puts. stepGet reads a row, or is a
	// transaction without puts.
	stepCommit step = "commit"
	stepGet    step = "get"
	// The steps whose names start with read load a table, and those whose names
	// start with follow wait for its changes; stepFollowLead does both.
	stepReadJobs     step = "readJobs"
	stepReadProgress step = "readProgress"
	stepReadWorkers  step = "readWorkers"
	stepReadList     step = "readList"
	stepFollowJobs   step = "followJobs"
	stepFollowList   step = "followList"
	stepFollowLead   step = "followLead"
	// stepStart and stepStop are orders to a worker, stepContact asks a worker
	// for its state, and stepHold renews its leases too.
	stepStart   step = "start"
	stepStop    step = "stop"
	stepContact step = "contact"
	stepHold    step = "hold"
)

// awaitConnection blocks while the connection is cut or the instance is frozen, as
// a call over a connection without answers does.
func (l *link) awaitConnection(ctx context.Context, toStore bool) error {
	for {
		l.mu.Lock()
		until := l.workersCutUntil
		if toStore {
			until = l.storeCutUntil
		}
		if l.frozenUntil.After(until) {
			until = l.frozenUntil
		}
		l.mu.Unlock()
		wait := time.Until(until)
		if wait <= 0 {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// isFrozen reports whether the instance is suspended or has been killed.
func (l *link) isFrozen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.frozenUntil)
}

// performCall performs a call with the fault that the hook returns. noAnswer is
// the error that the caller gets if no answer arrives.
func performCall[T any](ctx context.Context, l *link, s step, toStore bool, noAnswer error, call func(context.Context) (T, error)) (T, error) {
	var zero T
	if err := l.awaitConnection(ctx, toStore); err != nil {
		return zero, fmt.Errorf("%w: %w", noAnswer, err)
	}
	var f fault
	if l.hook != nil && ctx.Value(pollKey{}) == nil {
		f = l.hook(l, s)
	}
	if f.reset {
		return zero, fmt.Errorf("connection reset: %w", noAnswer)
	}
	if f.before != nil {
		f.before()
		if err := l.awaitConnection(ctx, toStore); err != nil {
			return zero, fmt.Errorf("%w: %w", noAnswer, err)
		}
	}
	if f.effectDelay > 0 {
		time.AfterFunc(f.effectDelay, func() { _, _ = call(context.Background()) })
	}
	if f.effectDelay > 0 || f.delay > 0 {
		wait := f.delay
		if f.effectDelay > 0 {
			wait = time.Hour
		}
		select {
		case <-ctx.Done():
			return zero, fmt.Errorf("%w: %w", noAnswer, ctx.Err())
		case <-time.After(wait):
		}
	}
	v, err := call(ctx)
	if f.after != nil {
		f.after()
	}
	if f.answerLost {
		return zero, fmt.Errorf("answer lost: %w", noAnswer)
	}
	if blockedErr := l.awaitConnection(ctx, toStore); blockedErr != nil {
		return zero, fmt.Errorf("%w: %w", noAnswer, blockedErr)
	}
	return v, err
}

func (l *link) table(t store.Table) store.Table {
	return store.Table{
		Get: func(ctx context.Context, key string) (store.Row, error) {
			return performCall(ctx, l, stepGet, true, store.ErrUnavailable, func(ctx context.Context) (store.Row, error) { return t.Get(ctx, key) })
		},
		Scan: t.Scan,
		Commit: func(ctx context.Context, txn store.Txn) (int64, error) {
			return performCall(ctx, l, commitStep(txn), true, store.ErrUncertain, func(ctx context.Context) (int64, error) { return t.Commit(ctx, txn) })
		},
	}
}

func commitStep(t store.Txn) step {
	if len(t.Puts) == 0 {
		// A transaction without puts only reads.
		return stepGet
	}
	first := t.Puts[0].Key
	switch {
	case first == ledger.LeaseKey && len(t.Puts) > 1:
		return stepTake
	case first == ledger.LeaseKey:
		return stepRenew
	case strings.HasPrefix(first, ledger.JobTable+"/") && t.Checks[0].Version == 0:
		return stepAccept
	case strings.HasPrefix(first, ledger.JobTable+"/"):
		return stepCancel
	}
	return stepCommit
}

func (l *link) feed(f store.Feed) store.Feed {
	readSteps := map[string]step{
		ledger.JobTable: stepReadJobs, ledger.ProgressTable: stepReadProgress, ledger.WorkerTable: stepReadWorkers,
		workerListTable: stepReadList, ledger.LeaseTable: stepFollowLead,
	}
	waitSteps := map[string]step{ledger.JobTable: stepFollowJobs, workerListTable: stepFollowList, ledger.LeaseTable: stepFollowLead}
	return store.Feed{
		Read: func(ctx context.Context, table string) (store.Changes, error) {
			return performCall(ctx, l, readSteps[table], true, store.ErrUnavailable,
				func(ctx context.Context) (store.Changes, error) { return f.Read(ctx, table) })
		},
		Wait: func(ctx context.Context, table string, after int64, timeout time.Duration) (store.Changes, error) {
			return performCall(ctx, l, waitSteps[table], true, store.ErrUnavailable,
				func(ctx context.Context) (store.Changes, error) { return f.Wait(ctx, table, after, timeout) })
		},
	}
}

// cutWorker cuts the connection to a worker for the given time.
func (l *link) cutWorker(id pool.WorkerID, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workerCutUntil == nil {
		l.workerCutUntil = make(map[pool.WorkerID]time.Time)
	}
	l.workerCutUntil[id] = time.Now().Add(d)
}

// callWorker performs a call to a worker, whose connection may be cut.
func callWorker[T any](ctx context.Context, l *link, s step, to agent.Target, call func(context.Context) (T, error)) (T, error) {
	var zero T
	if err := l.awaitWorker(ctx, to.ID); err != nil {
		return zero, err
	}
	v, err := performCall(ctx, l, s, false, errNoAnswer, call)
	if err := l.awaitWorker(ctx, to.ID); err != nil {
		return zero, err
	}
	return v, err
}

// awaitWorker blocks while the connection to a worker is cut.
func (l *link) awaitWorker(ctx context.Context, id pool.WorkerID) error {
	l.mu.Lock()
	wait := time.Until(l.workerCutUntil[id])
	l.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", errNoAnswer, ctx.Err())
	case <-time.After(wait):
		return nil
	}
}

func (l *link) calls(c agent.Calls) agent.Calls {
	return agent.Calls{
		Start: func(ctx context.Context, to agent.Target, o agent.Order, until agent.Clock, fence int64) (agent.Answer, error) {
			return callWorker(ctx, l, stepStart, to,
				func(ctx context.Context) (agent.Answer, error) { return c.Start(ctx, to, o, until, fence) })
		},
		Stop: func(ctx context.Context, to agent.Target, o agent.Order, fence int64) (agent.Answer, error) {
			return callWorker(ctx, l, stepStop, to,
				func(ctx context.Context) (agent.Answer, error) { return c.Stop(ctx, to, o, fence) })
		},
		Hold: func(ctx context.Context, to agent.Target, h agent.HoldRequest) (agent.Report, error) {
			s := stepHold
			if h.Until == 0 {
				s = stepContact
			}
			return callWorker(ctx, l, s, to,
				func(ctx context.Context) (agent.Report, error) { return c.Hold(ctx, to, h) })
		},
	}
}

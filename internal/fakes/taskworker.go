package fakes

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
)

type (
	// TaskWorkers is a set of workers that run the tasks of jobs with several
	// steps over the protocol of package agent. They share one log of runs.
	TaskWorkers struct {
		// Work returns the duration of a task and whether the task fails.
		Work func(graph.TaskID) (time.Duration, bool)
		// Gang returns the size of the gang of a task, 0 if the task is not part
		// of a gang. A nil function means that there are no gangs.
		Gang func(graph.TaskID) int
		// LongRunning reports whether a task is at work from its startup until it
		// ends. A nil function means that no task is.
		LongRunning func(graph.TaskID) bool
		// Faulty reports whether all tasks fail on a worker. A nil function means
		// that there are no such workers.
		Faulty func(pool.WorkerID) bool

		mu      sync.Mutex
		refuse  func(pool.WorkerID, agent.Order) string
		workers map[pool.WorkerID]*TaskWorker
		runs    []*TaskRun
	}

	// TaskWorker is one of the workers of TaskWorkers.
	TaskWorker struct {
		ID       pool.WorkerID
		Capacity graph.Demand

		set          *TaskWorkers
		clockZero    time.Time // when agent.Clock of the worker was 0
		bootedAt     time.Time
		alive        bool
		fence        int64 // the highest fencing token seen
		acknowledged int64 // the highest number of an acknowledged end
		lastNumber   int64 // the number of the last end
		leaseEnd     agent.Clock
		runs         map[graph.TaskID]*TaskRun
		// lastRun is the highest run of each task that was stopped or has ended.
		lastRun        map[graph.TaskID]int64
		unacknowledged []agent.RunEnd
		// changed is closed and replaced at each end of a run.
		changed chan struct{}
	}

	// TaskRun is one entry of the log of runs: an execution of a task.
	TaskRun struct {
		Task   graph.TaskID
		Run    int64
		Worker pool.WorkerID
		Begun  time.Time
		// Ended is zero while the task runs.
		Ended   time.Time
		Outcome graph.RunOutcome
		// Acknowledged reports whether the end was acknowledged before the leases
		// of the worker lapsed.
		Acknowledged bool
		// AcknowledgedAt is the time of that acknowledgement.
		AcknowledgedAt time.Time

		lapsed   bool
		duration time.Duration
		fails    bool
		// longRunning tasks are at work after startupTime.
		longRunning bool
		endNumber   int64
		// workStart is when the task starts to work: at once, or for a gang when all
		// members have started. It is zero before.
		workStart time.Time
	}
)

const (
	// stopDuration is the time from a stop order to the end of the run, and
	// gangTimeout how long a gang member waits for the others. Both are
	// figures of the platform.
	stopDuration = 200 * time.Millisecond
	gangTimeout  = 3 * time.Second
	// startupTime is the time after which a long-running task is at work.
	startupTime = 300 * time.Millisecond
	// advanceInterval is the time between two updates of the runs.
	advanceInterval = 50 * time.Millisecond
)

// NewTaskWorkers returns workers with the given names and capacity, which run
// until ctx ends.
func NewTaskWorkers(ctx context.Context, capacity graph.Demand, names ...pool.WorkerID) *TaskWorkers {
	ws := &TaskWorkers{workers: make(map[pool.WorkerID]*TaskWorker)}
	for _, n := range names {
		w := &TaskWorker{ID: n, Capacity: capacity, set: ws}
		w.boot()
		ws.workers[n] = w
	}
	go ws.run(ctx)
	return ws
}

// boot starts a new incarnation of the worker. The lock is held, or the worker is
// not shared yet.
func (w *TaskWorker) boot() {
	now := time.Now()
	w.clockZero, w.bootedAt, w.alive = now.Add(-time.Minute), now, true
	w.fence, w.acknowledged, w.lastNumber, w.leaseEnd = 0, 0, 0, 0
	w.runs, w.lastRun, w.unacknowledged = make(map[graph.TaskID]*TaskRun), make(map[graph.TaskID]int64), nil
	w.changed = make(chan struct{})
}

// Crash ends a worker and its runs abruptly, without reporting their ends.
func (ws *TaskWorkers) Crash(id pool.WorkerID) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.workers[id]
	for _, r := range w.runs {
		r.Ended, r.Outcome = time.Now(), graph.Lost
	}
	w.alive = false
	w.runs = nil
	// Wake the hold calls that wait for an end. They fail, since the incarnation
	// that accepted them has ended.
	close(w.changed)
	w.changed = make(chan struct{})
}

// Boot restarts a crashed worker under the same name.
func (ws *TaskWorkers) Boot(id pool.WorkerID) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.workers[id].boot()
}

// BootedAt returns the start of the worker's incarnation.
func (ws *TaskWorkers) BootedAt(id pool.WorkerID) time.Time {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.workers[id].bootedAt
}

// Refuse sets a function that returns the reason with which a worker refuses a
// start order that it could execute, or an empty string to accept the order. The
// function is called with the lock held.
func (ws *TaskWorkers) Refuse(reason func(pool.WorkerID, agent.Order) string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.refuse = reason
}

// Runs returns a copy of the log of runs.
func (ws *TaskWorkers) Runs() []TaskRun {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	runs := make([]TaskRun, len(ws.runs))
	for i, r := range ws.runs {
		runs[i] = *r
	}
	return runs
}

// Calls returns the calls to the workers.
func (ws *TaskWorkers) Calls() agent.Calls {
	return agent.Calls{Start: ws.start, Stop: ws.stop, Hold: ws.hold}
}

func (ws *TaskWorkers) run(ctx context.Context) {
	t := time.NewTicker(advanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			ws.mu.Lock()
			ws.advance(time.Now())
			ws.mu.Unlock()
		}
	}
}

// advance starts complete gangs, and ends runs that are done or have failed, whose
// lease has lapsed or whose gang did not start in time. The lock is held.
func (ws *TaskWorkers) advance(now time.Time) {
	for _, w := range ws.workers {
		if !w.alive {
			continue
		}
		for _, r := range w.runs {
			if n := ws.gangSize(r.Task); n > 0 && r.workStart.IsZero() && ws.startedMembers(r) == n {
				ws.startGang(r, now)
			}
		}
		if w.clock(now) > w.leaseEnd {
			w.endAll(now, graph.Lapsed)
			w.markLapsed()
		}
	}
	for _, w := range ws.workers {
		for _, r := range w.runs {
			ws.advanceRun(w, r, now)
		}
	}
}

func (ws *TaskWorkers) advanceRun(w *TaskWorker, r *TaskRun, now time.Time) {
	switch {
	case ws.gangSize(r.Task) > 0 && r.workStart.IsZero():
		if now.Sub(r.Begun) > gangTimeout {
			w.end(r, now, graph.Alone)
		}
	case now.Sub(r.workStart) < r.duration:
	case r.fails:
		w.end(r, now, graph.Failed)
		ws.endGang(r, now, graph.Broken)
	default:
		w.end(r, now, graph.Done)
		ws.endGang(r, now, graph.Done)
	}
}

func (ws *TaskWorkers) gangSize(t graph.TaskID) int {
	if ws.Gang == nil {
		return 0
	}
	return ws.Gang(t)
}

// otherMembers returns the runs of the other members of r's gang.
func (ws *TaskWorkers) otherMembers(r *TaskRun) []*TaskRun {
	var members []*TaskRun
	for _, w := range ws.workers {
		for _, o := range w.runs {
			if o != r && o.Run == r.Run && o.Task.Job == r.Task.Job && o.Task.Step == r.Task.Step &&
				o.Task.Occurrence == r.Task.Occurrence {
				members = append(members, o)
			}
		}
	}
	return members
}

func (ws *TaskWorkers) startedMembers(r *TaskRun) int { return len(ws.otherMembers(r)) + 1 }

func (ws *TaskWorkers) startGang(r *TaskRun, now time.Time) {
	r.workStart = now
	for _, o := range ws.otherMembers(r) {
		o.workStart = now
	}
}

// endGang ends the other members of r's gang after r itself has ended.
func (ws *TaskWorkers) endGang(r *TaskRun, now time.Time, outcome graph.RunOutcome) {
	if ws.gangSize(r.Task) == 0 {
		return
	}
	for _, o := range ws.otherMembers(r) {
		ws.workers[o.Worker].end(o, now, outcome)
	}
}

func (w *TaskWorker) clock(now time.Time) agent.Clock { return now.Sub(w.clockZero) }

// end ends a run and adds it to the ends that wait for an acknowledgement. It does
// nothing if the run has ended before.
func (w *TaskWorker) end(r *TaskRun, now time.Time, outcome graph.RunOutcome) {
	if w.runs[r.Task] != r {
		return
	}
	delete(w.runs, r.Task)
	w.lastRun[r.Task] = max(w.lastRun[r.Task], r.Run)
	r.Ended, r.Outcome = now, outcome
	w.lastNumber++
	r.endNumber = w.lastNumber
	if w.lastNumber > w.acknowledged {
		w.unacknowledged = append(w.unacknowledged, agent.RunEnd{Number: w.lastNumber, Task: r.Task, Run: r.Run, Outcome: outcome})
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// markLapsed marks the ends of this incarnation that were not acknowledged before
// the leases lapsed, so that a later acknowledgement does not set Acknowledged.
func (w *TaskWorker) markLapsed() {
	for _, r := range w.set.runs {
		if r.Worker == w.ID && r.endNumber > w.acknowledged && !r.Begun.Before(w.bootedAt) {
			r.lapsed = true
		}
	}
}

func (w *TaskWorker) endAll(now time.Time, outcome graph.RunOutcome) {
	for _, r := range w.runs {
		w.end(r, now, outcome)
		w.set.endGang(r, now, graph.Broken)
	}
}

func (ws *TaskWorkers) lookup(to agent.Target) (*TaskWorker, error) {
	w := ws.workers[to.ID]
	if w == nil || !w.alive {
		return nil, fmt.Errorf("worker %s: connection refused: %w", to.ID, agent.ErrNotCarriedOut)
	}
	return w, nil
}

func (ws *TaskWorkers) start(
	_ context.Context, to agent.Target, o agent.Order, until agent.Clock, fence int64,
) (agent.Answer, error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w, err := ws.lookup(to)
	if err != nil {
		return agent.Answer{}, err
	}
	now := time.Now()
	answer := agent.Answer{Clock: w.clock(now)}
	if fence < w.fence {
		answer.Refused = agent.RefusedFence
		return answer, nil
	}
	w.fence = fence
	switch r := w.runs[o.Task]; {
	case r != nil && r.Run == o.Run:
	case r != nil, o.Run <= w.lastRun[o.Task]:
		answer.Refused = agent.RefusedOld
	case until <= w.clock(now):
		answer.Refused = agent.RefusedLate
	case ws.refuse != nil && ws.refuse(w.ID, o) != "":
		answer.Refused = ws.refuse(w.ID, o)
	default:
		w.begin(o, now)
	}
	w.leaseEnd = max(w.leaseEnd, until)
	return answer, nil
}

func (w *TaskWorker) begin(o agent.Order, now time.Time) {
	duration, fails := w.set.Work(o.Task)
	r := &TaskRun{
		Task: o.Task, Run: o.Run, Worker: w.ID, Begun: now, duration: duration,
		fails:       fails || w.set.Faulty != nil && w.set.Faulty(w.ID),
		longRunning: w.set.LongRunning != nil && w.set.LongRunning(o.Task),
	}
	if w.set.gangSize(o.Task) == 0 {
		r.workStart = now
	}
	w.runs[o.Task] = r
	w.set.runs = append(w.set.runs, r)
}

func (ws *TaskWorkers) stop(_ context.Context, to agent.Target, o agent.Order, fence int64) (agent.Answer, error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w, err := ws.lookup(to)
	if err != nil {
		return agent.Answer{}, err
	}
	answer := agent.Answer{Clock: w.clock(time.Now())}
	if fence < w.fence {
		answer.Refused = agent.RefusedFence
		return answer, nil
	}
	w.fence = fence
	w.lastRun[o.Task] = max(w.lastRun[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.Run == o.Run {
		time.AfterFunc(stopDuration, func() {
			ws.mu.Lock()
			defer ws.mu.Unlock()
			w.end(r, time.Now(), graph.Stopped)
			ws.endGang(r, time.Now(), graph.Broken)
		})
	}
	return answer, nil
}

func (ws *TaskWorkers) hold(ctx context.Context, to agent.Target, h agent.HoldRequest) (agent.Report, error) {
	limit := time.NewTimer(h.Wait)
	defer limit.Stop()
	var bootedAt time.Time
	for first := true; ; first = false {
		report, changed, err := ws.report(to, h, first)
		if err != nil {
			return agent.Report{}, err
		}
		if first {
			bootedAt = report.IncarnationStart
		}
		if !report.IncarnationStart.Equal(bootedAt) {
			// The connection broke when the incarnation that accepted the call ended.
			return agent.Report{}, fmt.Errorf("worker %s: connection reset", to.ID)
		}
		if len(report.Ended) > 0 || h.Wait == 0 {
			return report, nil
		}
		select {
		case <-ctx.Done():
			return agent.Report{}, fmt.Errorf("worker %s: %w", to.ID, ctx.Err())
		case <-limit.C:
			h.Wait = 0
		case <-changed:
		}
	}
}

// report returns the running tasks and the unacknowledged ends, and a channel that
// is closed at the next end. If first is set, it renews the leases and processes
// the acknowledgement of the call before.
func (ws *TaskWorkers) report(to agent.Target, h agent.HoldRequest, first bool) (agent.Report, <-chan struct{}, error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w, err := ws.lookup(to)
	if err != nil {
		return agent.Report{}, nil, err
	}
	now := time.Now()
	if first && h.Fence >= w.fence {
		w.fence = h.Fence
		w.leaseEnd = max(w.leaseEnd, h.Until)
		w.acknowledge(h.Acknowledged)
	}
	report := agent.Report{Clock: w.clock(now), IncarnationStart: w.bootedAt, Ended: slices.Clone(w.unacknowledged)}
	for _, r := range w.runs {
		report.Running = append(report.Running, agent.Run{Task: r.Task, Run: r.Run, Percent: r.percent(now)})
	}
	return report, w.changed, nil
}

// acknowledge drops the ends with numbers up to upTo, and marks their runs as
// Acknowledged unless the leases lapsed before.
func (w *TaskWorker) acknowledge(upTo int64) {
	w.acknowledged = max(w.acknowledged, upTo)
	w.unacknowledged = slices.DeleteFunc(w.unacknowledged, func(e agent.RunEnd) bool { return e.Number <= w.acknowledged })
	for _, r := range w.set.runs {
		if r.Worker == w.ID && r.endNumber > 0 && r.endNumber <= w.acknowledged && !r.lapsed && !r.Begun.Before(w.bootedAt) && !r.Acknowledged {
			r.Acknowledged, r.AcknowledgedAt = true, time.Now()
		}
	}
}

func (r *TaskRun) percent(now time.Time) int {
	if r.workStart.IsZero() || r.duration <= 0 {
		return 0
	}
	const complete = 100
	if r.longRunning {
		if now.Sub(r.workStart) < startupTime {
			return 0
		}
		return complete
	}
	return int(min(complete, complete*now.Sub(r.workStart)/r.duration))
}

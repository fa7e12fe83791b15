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
	// Machines is a set of workers that run the tasks of jobs with several
	// steps over the protocol of package agent. They share one log of runs.
	Machines struct {
		// Work returns the duration of a task and whether the task fails.
		Work func(graph.TaskID) (time.Duration, bool)
		// Gang returns the size of the gang of a task, 0 if the task is not part
		// of a gang. A nil function means that there are no gangs.
		Gang func(graph.TaskID) int

		mu       sync.Mutex
		refuse   func(pool.WorkerID, agent.Order) string
		machines map[pool.WorkerID]*Machine
		runs     []*MachineRun
	}

	// Machine is one of the workers of Machines.
	Machine struct {
		ID       pool.WorkerID
		Capacity graph.Demand

		machines     *Machines
		clockZero    time.Time // when agent.Clock of the worker was 0
		bootedAt     time.Time
		alive        bool
		fence        int64 // the highest fencing token seen
		acknowledged int64 // the highest number of an acknowledged end
		lastNumber   int64 // the number of the last end
		leaseEnd     agent.Clock
		runs         map[graph.TaskID]*MachineRun
		// lastRun is the highest run of each task that was stopped or has ended.
		lastRun        map[graph.TaskID]int64
		unacknowledged []agent.RunEnd
		// changed is closed and replaced at each end of a run.
		changed chan struct{}
	}

	// MachineRun is one entry of the log of runs: an execution of a task.
	MachineRun struct {
		Task   graph.TaskID
		Run    int64
		Worker pool.WorkerID
		Begun  time.Time
		// Ended is zero while the task runs.
		Ended   time.Time
		Outcome graph.RunOutcome
		// Noted reports whether the end was acknowledged before the leases of
		// the worker lapsed.
		Noted bool
		// NotedAt is the time of that acknowledgement.
		NotedAt time.Time

		lapsed    bool
		duration  time.Duration
		fails     bool
		endNumber int64
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
	// advanceInterval is the time between two updates of the runs.
	advanceInterval = 50 * time.Millisecond
)

// NewMachines returns workers with the given names and capacity, which run until
// ctx ends.
func NewMachines(ctx context.Context, capacity graph.Demand, names ...pool.WorkerID) *Machines {
	ms := &Machines{machines: make(map[pool.WorkerID]*Machine)}
	for _, n := range names {
		m := &Machine{ID: n, Capacity: capacity, machines: ms}
		m.boot()
		ms.machines[n] = m
	}
	go ms.run(ctx)
	return ms
}

// boot starts a new incarnation of the worker. The lock is held, or the worker is
// not shared yet.
func (m *Machine) boot() {
	now := time.Now()
	m.clockZero, m.bootedAt, m.alive = now.Add(-time.Minute), now, true
	m.fence, m.acknowledged, m.lastNumber, m.leaseEnd = 0, 0, 0, 0
	m.runs, m.lastRun, m.unacknowledged = make(map[graph.TaskID]*MachineRun), make(map[graph.TaskID]int64), nil
	m.changed = make(chan struct{})
}

// Crash ends a worker and its runs abruptly, without reporting their ends.
func (ms *Machines) Crash(id pool.WorkerID) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	m := ms.machines[id]
	for _, r := range m.runs {
		r.Ended, r.Outcome = time.Now(), graph.Lost
	}
	m.alive = false
	m.runs = nil
	// Wake the hold calls that wait for an end. They fail, since the incarnation
	// that accepted them has ended.
	close(m.changed)
	m.changed = make(chan struct{})
}

// Boot restarts a crashed worker under the same name.
func (ms *Machines) Boot(id pool.WorkerID) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.machines[id].boot()
}

// Refuse sets a function that returns the reason with which a worker refuses a
// start order that it could execute, or an empty string to accept the order. The
// function is called with the lock held.
func (ms *Machines) Refuse(reason func(pool.WorkerID, agent.Order) string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.refuse = reason
}

// Runs returns a copy of the log of runs.
func (ms *Machines) Runs() []MachineRun {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	runs := make([]MachineRun, len(ms.runs))
	for i, r := range ms.runs {
		runs[i] = *r
	}
	return runs
}

// Calls returns the calls to the workers.
func (ms *Machines) Calls() agent.Calls {
	return agent.Calls{Start: ms.start, Stop: ms.stop, Hold: ms.hold}
}

func (ms *Machines) run(ctx context.Context) {
	t := time.NewTicker(advanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			ms.mu.Lock()
			ms.advance(time.Now())
			ms.mu.Unlock()
		}
	}
}

// advance starts complete gangs, and ends runs that are done or have failed, whose
// lease has lapsed or whose gang did not start in time. The lock is held.
func (ms *Machines) advance(now time.Time) {
	for _, m := range ms.machines {
		if !m.alive {
			continue
		}
		for _, r := range m.runs {
			if n := ms.gangSize(r.Task); n > 0 && r.workStart.IsZero() && ms.startedMembers(r) == n {
				ms.startGang(r, now)
			}
		}
		if m.clock(now) > m.leaseEnd {
			m.endAll(now, graph.Lapsed)
			m.markLapsed()
		}
	}
	for _, m := range ms.machines {
		for _, r := range m.runs {
			ms.advanceRun(m, r, now)
		}
	}
}

func (ms *Machines) advanceRun(m *Machine, r *MachineRun, now time.Time) {
	switch {
	case ms.gangSize(r.Task) > 0 && r.workStart.IsZero():
		if now.Sub(r.Begun) > gangTimeout {
			m.end(r, now, graph.Alone)
		}
	case now.Sub(r.workStart) < r.duration:
	case r.fails:
		m.end(r, now, graph.Failed)
		ms.endGang(r, now, graph.Broken)
	default:
		m.end(r, now, graph.Done)
		ms.endGang(r, now, graph.Done)
	}
}

func (ms *Machines) gangSize(t graph.TaskID) int {
	if ms.Gang == nil {
		return 0
	}
	return ms.Gang(t)
}

// otherMembers returns the runs of the other members of r's gang.
func (ms *Machines) otherMembers(r *MachineRun) []*MachineRun {
	var members []*MachineRun
	for _, m := range ms.machines {
		for _, o := range m.runs {
			if o != r && o.Run == r.Run && o.Task.Job == r.Task.Job && o.Task.Step == r.Task.Step &&
				o.Task.Occurrence == r.Task.Occurrence {
				members = append(members, o)
			}
		}
	}
	return members
}

func (ms *Machines) startedMembers(r *MachineRun) int { return len(ms.otherMembers(r)) + 1 }

func (ms *Machines) startGang(r *MachineRun, now time.Time) {
	r.workStart = now
	for _, o := range ms.otherMembers(r) {
		o.workStart = now
	}
}

// endGang ends the other members of r's gang after r itself has ended.
func (ms *Machines) endGang(r *MachineRun, now time.Time, outcome graph.RunOutcome) {
	if ms.gangSize(r.Task) == 0 {
		return
	}
	for _, o := range ms.otherMembers(r) {
		ms.machines[o.Worker].end(o, now, outcome)
	}
}

func (m *Machine) clock(now time.Time) agent.Clock { return now.Sub(m.clockZero) }

// end ends a run and adds it to the ends that wait for an acknowledgement. It does
// nothing if the run has ended before.
func (m *Machine) end(r *MachineRun, now time.Time, outcome graph.RunOutcome) {
	if m.runs[r.Task] != r {
		return
	}
	delete(m.runs, r.Task)
	m.lastRun[r.Task] = max(m.lastRun[r.Task], r.Run)
	r.Ended, r.Outcome = now, outcome
	m.lastNumber++
	r.endNumber = m.lastNumber
	m.unacknowledged = append(m.unacknowledged, agent.RunEnd{Number: m.lastNumber, Task: r.Task, Run: r.Run, Outcome: outcome})
	close(m.changed)
	m.changed = make(chan struct{})
}

// markLapsed marks the ends of this incarnation that were not acknowledged before
// the leases lapsed, so that a later acknowledgement does not count as Noted.
func (m *Machine) markLapsed() {
	for _, r := range m.machines.runs {
		if r.Worker == m.ID && r.endNumber > m.acknowledged && !r.Begun.Before(m.bootedAt) {
			r.lapsed = true
		}
	}
}

func (m *Machine) endAll(now time.Time, outcome graph.RunOutcome) {
	for _, r := range m.runs {
		m.end(r, now, outcome)
		m.machines.endGang(r, now, graph.Broken)
	}
}

func (ms *Machines) lookup(to agent.Target) (*Machine, error) {
	m := ms.machines[to.ID]
	if m == nil || !m.alive {
		return nil, fmt.Errorf("worker %s: connection refused: %w", to.ID, agent.ErrNotCarriedOut)
	}
	return m, nil
}

func (ms *Machines) start(
	_ context.Context, to agent.Target, o agent.Order, until agent.Clock, fence int64,
) (agent.Answer, error) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	m, err := ms.lookup(to)
	if err != nil {
		return agent.Answer{}, err
	}
	now := time.Now()
	answer := agent.Answer{Clock: m.clock(now)}
	if fence < m.fence {
		answer.Refused = agent.RefusedFence
		return answer, nil
	}
	m.fence = fence
	switch r := m.runs[o.Task]; {
	case r != nil && r.Run == o.Run:
	case r != nil, o.Run <= m.lastRun[o.Task]:
		answer.Refused = agent.RefusedOld
	case until <= m.clock(now):
		answer.Refused = agent.RefusedLate
	case ms.refuse != nil && ms.refuse(m.ID, o) != "":
		answer.Refused = ms.refuse(m.ID, o)
	default:
		m.begin(o, now)
	}
	m.leaseEnd = max(m.leaseEnd, until)
	return answer, nil
}

func (m *Machine) begin(o agent.Order, now time.Time) {
	duration, fails := m.machines.Work(o.Task)
	r := &MachineRun{Task: o.Task, Run: o.Run, Worker: m.ID, Begun: now, duration: duration, fails: fails}
	if m.machines.gangSize(o.Task) == 0 {
		r.workStart = now
	}
	m.runs[o.Task] = r
	m.machines.runs = append(m.machines.runs, r)
}

func (ms *Machines) stop(_ context.Context, to agent.Target, o agent.Order, fence int64) (agent.Answer, error) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	m, err := ms.lookup(to)
	if err != nil {
		return agent.Answer{}, err
	}
	answer := agent.Answer{Clock: m.clock(time.Now())}
	if fence < m.fence {
		answer.Refused = agent.RefusedFence
		return answer, nil
	}
	m.fence = fence
	m.lastRun[o.Task] = max(m.lastRun[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.Run == o.Run {
		time.AfterFunc(stopDuration, func() {
			ms.mu.Lock()
			defer ms.mu.Unlock()
			m.end(r, time.Now(), graph.Stopped)
			ms.endGang(r, time.Now(), graph.Broken)
		})
	}
	return answer, nil
}

func (ms *Machines) hold(ctx context.Context, to agent.Target, h agent.HoldRequest) (agent.Report, error) {
	limit := time.NewTimer(h.Wait)
	defer limit.Stop()
	var bootedAt time.Time
	for first := true; ; first = false {
		report, changed, err := ms.report(to, h, first)
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
func (ms *Machines) report(to agent.Target, h agent.HoldRequest, first bool) (agent.Report, <-chan struct{}, error) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	m, err := ms.lookup(to)
	if err != nil {
		return agent.Report{}, nil, err
	}
	now := time.Now()
	if first && h.Fence >= m.fence {
		m.fence = h.Fence
		m.leaseEnd = max(m.leaseEnd, h.Until)
		m.acknowledge(h.Acknowledged)
	}
	report := agent.Report{Clock: m.clock(now), IncarnationStart: m.bootedAt, Ended: slices.Clone(m.unacknowledged)}
	for _, r := range m.runs {
		report.Running = append(report.Running, agent.Run{Task: r.Task, Run: r.Run, Percent: r.percent(now)})
	}
	return report, m.changed, nil
}

// acknowledge drops the ends with numbers up to upTo, and marks their runs as
// Noted unless the leases lapsed before.
func (m *Machine) acknowledge(upTo int64) {
	m.acknowledged = max(m.acknowledged, upTo)
	m.unacknowledged = slices.DeleteFunc(m.unacknowledged, func(e agent.RunEnd) bool { return e.Number <= m.acknowledged })
	for _, r := range m.machines.runs {
		if r.Worker == m.ID && r.endNumber > 0 && r.endNumber <= m.acknowledged && !r.lapsed && !r.Begun.Before(m.bootedAt) && !r.Noted {
			r.Noted, r.NotedAt = true, time.Now()
		}
	}
}

func (r *MachineRun) percent(now time.Time) int {
	if r.workStart.IsZero() || r.duration <= 0 {
		return 0
	}
	const complete = 100
	return int(min(complete, complete*now.Sub(r.workStart)/r.duration))
}

package matrix

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/plat"
)

type (
	// Cell is a step and the faults that begin at it. The second fault begins
	// secondFaultDelay after the end of the first, or at the same call if
	// Together is true.
	Cell struct {
		Step     string
		Faults   []string
		Together bool
	}

	// Result is the result of a cell.
	Result struct {
		Cell Cell
		// Unreached names the faults that never took effect, or all faults of
		// the cell if one of them never began.
		Unreached []string
		Breaches  []Breach
		// Outcome counts the jobs of the script by their final state.
		Outcome string
	}

	// cellRun is a cell in progress.
	cellRun struct {
		sim  *Simulation
		step Step
		cell Cell

		mu          sync.Mutex
		stepReached bool
		// faultsBegun counts the faults that have begun.
		faultsBegun int
		faultEnds   sync.WaitGroup
	}
)

// secondFaultDelay is the time between the end of the first fault and the start
// of the second. The system is then still recovering from the first.
const secondFaultDelay = 2300 * time.Millisecond

// Name returns the step and the faults, such as "reserve/kill then pause".
func (c Cell) Name() string {
	sep := " then "
	if c.Together {
		sep = " with "
	}
	return c.Step + "/" + strings.Join(c.Faults, sep)
}

// Run runs the script with the faults of the cell and checks the logs. A cell
// without a known step runs without faults.
func (sim *Simulation) Run(c Cell) Result {
	steps := Steps()
	i := slices.IndexFunc(steps, func(s Step) bool { return s.Name == c.Step })
	r := &cellRun{sim: sim, cell: c}
	if i >= 0 {
		r.step = steps[i]
		sim.network.BeforeEffect = func(call Call) { r.observe(call, false) }
		sim.network.AfterEffect = func(call Call) { r.observe(call, true) }
	}
	sim.runScript()
	r.faultEnds.Wait()
	logs := sim.Logs()
	result := Result{Cell: c, Breaches: Check(logs), Outcome: outcome(logs)}
	for _, f := range c.Faults {
		if r.faultsBegun < len(c.Faults) || sim.network.Hits(f) == 0 {
			result.Unreached = append(result.Unreached, f)
		}
	}
	return result
}

// observe begins the faults at the first call that performs the step.
func (r *cellRun) observe(c Call, after bool) {
	if after != r.step.AfterEffect || r.sim.elapsed() < r.step.NotBefore || !r.step.Matches(c) {
		return
	}
	r.mu.Lock()
	first := !r.stepReached
	r.stepReached = true
	r.mu.Unlock()
	if !first {
		return
	}
	if r.cell.Together {
		for _, f := range r.cell.Faults {
			r.begin(c, f, nil)
		}
		return
	}
	r.begin(c, r.cell.Faults[0], r.cell.Faults[1:])
}

// begin begins a fault and, after its end, the rest one after the other.
func (r *cellRun) begin(c Call, name string, rest []string) {
	all := Faults()
	f := all[slices.IndexFunc(all, func(f Fault) bool { return f.Name == name })]
	target, ok := r.sim.targetOf(c)
	if !ok {
		return
	}
	r.mu.Lock()
	r.faultsBegun++
	r.mu.Unlock()
	end := f.Begin(r.sim, target)
	r.faultEnds.Add(1)
	duration := f.Duration
	if r.sim.setup.FaultDuration > 0 {
		duration = r.sim.setup.FaultDuration
	}
	time.AfterFunc(duration, func() {
		defer r.faultEnds.Done()
		end()
		if len(rest) > 0 {
			r.faultEnds.Go(func() {
				time.Sleep(secondFaultDelay)
				r.begin(c, rest[0], rest[1:])
			})
		}
	})
}

// targetOf returns the targets of a fault that begins at a call: the instance,
// the worker and the endpoint that take part in the call. If none takes part, or
// the instance has ended or the endpoint is leaving, it chooses the first live
// instance, a busy worker or the first endpoint that is not leaving. It reports
// false if fewer than two instances are live.
func (sim *Simulation) targetOf(c Call) (Target, bool) {
	live := sim.liveInstances()
	if len(live) < 2 {
		// The promises hold only while an instance runs, so the last one is
		// spared.
		return Target{}, false
	}
	t := Target{Instance: live[0], Worker: sim.worker(ident.Worker(c.To)), Endpoint: sim.endpoint(ident.Endpoint(c.To))}
	if in, ok := sim.instance(c.From); ok && in.processCtx.Err() == nil {
		t.Instance = in
	}
	if t.Worker == nil {
		t.Worker = sim.busyWorker()
	}
	if t.Endpoint == nil || isLeaving(t.Endpoint) {
		i := slices.IndexFunc(sim.endpoints, func(e *fakes.Endpoint) bool { return !isLeaving(e) })
		t.Endpoint = sim.endpoints[i]
	}
	return t, true
}

// busyWorker returns a worker that runs a task, or the first one if all are
// idle.
func (sim *Simulation) busyWorker() *Worker {
	if i := slices.IndexFunc(sim.workers, (*Worker).runsTask); i >= 0 {
		return sim.workers[i]
	}
	return sim.workers[0]
}

// idleWorker returns a worker that runs no task, preferably in the far domain,
// since the near domain may be out of service. If all are busy, it returns the
// last one.
func (sim *Simulation) idleWorker() *Worker {
	for _, w := range slices.Backward(sim.workers) {
		if !w.runsTask() {
			return w
		}
	}
	return sim.workers[len(sim.workers)-1]
}

func isLeaving(e *fakes.Endpoint) bool { return e.Instance().State == plat.Leaving }

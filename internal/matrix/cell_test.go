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
	// a while after the first has ended, or together with it if Together.
	Cell struct {
		Step     string
		Faults   []string
		Together bool
	}

	// Result is what a cell showed.
	Result struct {
		Cell Cell
		// Unreached names the faults that never took effect.
		Unreached []string
		Breaches  []Breach
		Outcome   string
	}

	// run is a cell in progress.
	run struct {
		world *World
		step  Step
		cell  Cell

		mu    sync.Mutex
		begun bool
		// starts counts the faults that began.
		starts int
		ends   sync.WaitGroup
	}
)

// secondAfter is the time between the end of a fault and its repetition, in
// which the recovery from the first is under way.
const secondAfter = 2300 * time.Millisecond

// Name returns the step and the faults.
func (c Cell) Name() string {
	sep := " then "
	if c.Together {
		sep = " with "
	}
	return c.Step + "/" + strings.Join(c.Faults, sep)
}

// Run performs a cell and checks what happened.
func (w *World) Run(c Cell) Result {
	steps := Steps()
	i := slices.IndexFunc(steps, func(s Step) bool { return s.Name == c.Step })
	r := &run{world: w, cell: c}
	if i >= 0 {
		r.step = steps[i]
		w.net.Before = func(call Call) { r.see(call, false) }
		w.net.After = func(call Call) { r.see(call, true) }
	}
	w.play()
	r.ends.Wait()
	logs := w.Logs()
	result := Result{Cell: c, Breaches: Check(logs), Outcome: outcome(logs)}
	for _, f := range c.Faults {
		if r.starts < len(c.Faults) || w.net.Hits(f) == 0 {
			result.Unreached = append(result.Unreached, f)
		}
	}
	return result
}

// see begins the faults at the first call that performs the step.
func (r *run) see(c Call, after bool) {
	if after != r.step.After || r.world.since() < r.step.From || !r.step.Is(c) {
		return
	}
	r.mu.Lock()
	first := !r.begun
	r.begun = true
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

// begin starts a fault and, after its end, the rest.
func (r *run) begin(c Call, name string, rest []string) {
	all := Faults()
	f := all[slices.IndexFunc(all, func(f Fault) bool { return f.Name == name })]
	target, ok := r.world.target(c)
	if !ok {
		return
	}
	r.mu.Lock()
	r.starts++
	r.mu.Unlock()
	end := f.Begin(r.world, target)
	r.ends.Add(1)
	hold := f.Hold
	if r.world.setup.Hold > 0 {
		hold = r.world.setup.Hold
	}
	time.AfterFunc(hold, func() {
		defer r.ends.Done()
		end()
		if len(rest) > 0 {
			r.ends.Go(func() {
				time.Sleep(secondAfter)
				r.begin(c, rest[0], rest[1:])
			})
		}
	})
}

// target returns what the call concerned; what it did not concern is chosen
// among the live ones.
func (w *World) target(c Call) (Target, bool) {
	live := w.live()
	if len(live) < 2 {
		// The last instance is left alone: with none, nothing is promised.
		return Target{}, false
	}
	t := Target{Instance: live[0], Machine: w.machine(ident.Worker(c.To)), Endpoint: w.endpoint(ident.Endpoint(c.To))}
	if in, ok := w.instance(c.From); ok && in.life.Err() == nil {
		t.Instance = in
	}
	if t.Machine == nil {
		t.Machine = w.busyMachine()
	}
	if t.Endpoint == nil || isLeaving(t.Endpoint) {
		i := slices.IndexFunc(w.endpoints, func(e *fakes.Endpoint) bool { return !isLeaving(e) })
		t.Endpoint = w.endpoints[i]
	}
	return t, true
}

func (w *World) busyMachine() *Machine {
	if i := slices.IndexFunc(w.machines, (*Machine).runs); i >= 0 {
		return w.machines[i]
	}
	return w.machines[0]
}

// idleMachine returns a worker that runs nothing, of the far domain if there
// is one, since the near domain may be out of service.
func (w *World) idleMachine() *Machine {
	for _, m := range slices.Backward(w.machines) {
		if !m.runs() {
			return m
		}
	}
	return w.machines[len(w.machines)-1]
}

func isLeaving(e *fakes.Endpoint) bool { return e.Instance().State == plat.Leaving }

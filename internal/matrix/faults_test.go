package matrix

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/pkg/errors"
)

type (
	// Fault is one of the things that fail.
	Fault struct {
		Name string
		// Hold is the time until the fault ends.
		Hold time.Duration
		// Begin starts the fault at a call and returns what ends it.
		Begin func(w *World, at Target) (end func())
	}

	// Target is what the call of the step concerned.
	Target struct {
		Instance *Instance
		Machine  *Machine
		Endpoint *fakes.Endpoint
	}
)

// The names of faults whose effects are counted where they show.
const (
	faultDown       = "storeDown"
	faultAnswerLost = "storeAnswerLost"
	faultDies       = "endpointDies"
	faultLeaving    = "endpointLeaving"
	faultSlow       = "storeSlow"
	faultBurst      = "burst"
)

const (
	// pauseHold is longer than the lease and the take-over behind it.
	pauseHold = 9 * time.Second
	// outage is longer than a permit and shorter than most jobs.
	outage = 10 * time.Second
	// silence is longer than the lease of a task.
	silence = 15 * time.Second
	// failing is long enough for a task to start on the worker, whatever runs
	// there at first.
	failing = 28 * time.Second
	// slowStore is just below the timeout of a store call of an owner.
	slowStore = 900 * time.Millisecond
	burstJobs = 24
	burstAsks = 60
	waveJobs  = 6
)

// Faults returns what fails.
func Faults() []Fault {
	return []Fault{
		{"kill", time.Second, killed},
		{"pause", pauseHold, paused},
		{faultDown, outage, storeFault(fakes.Fault{Kind: fakes.Down})},
		{faultSlow, outage, storeFault(fakes.Fault{Kind: fakes.Slow, Delay: slowStore})},
		{faultAnswerLost, outage, storeFault(fakes.Fault{Kind: fakes.Lost, Next: 6})},
		{"workerKilled", silence, workerKilled},
		{"workerSilent", silence, workerSilent},
		{"workerFails", failing, workerFails},
		{"messagesLost", outage, messages("lost")},
		{"messagesDoubled", outage, messages("doubled")},
		{"messagesDelayed", outage, messages("delayed")},
		{"messagesReordered", outage, messages("reordered")},
		{"linkOneWay", outage, link(leg{remote, home})},
		{"linkBothWays", outage, link(leg{remote, home}, leg{home, remote})},
		{faultLeaving, outage, endpointLeaving},
		{faultDies, outage, endpointDies},
		{"operatorsRacing", outage, operatorsRacing},
		{"cancellationWave", outage, cancellationWave},
		{faultBurst, outage, burst},
	}
}

func killed(w *World, at Target) func() {
	o := w.outage("kill", at.Instance)
	at.Instance.kill("kill")
	// The death of a process is an outage until another one has taken over.
	return func() { w.endOutage(o) }
}

func paused(w *World, at Target) func() {
	o := w.outage("pause", at.Instance)
	w.net.pause(at.Instance.self.Instance, "pause")
	return func() {
		w.net.resume(at.Instance.self.Instance)
		w.endOutage(o)
	}
}

func storeFault(f fakes.Fault) func(*World, Target) func() {
	return func(w *World, _ Target) func() {
		o := w.outage("store", nil)
		w.store.Faults.Set(f)
		return func() {
			w.store.Faults.Clear()
			w.endOutage(o)
		}
	}
}

func workerKilled(w *World, at Target) func() {
	o := w.outage("workerKilled", nil)
	at.Machine.kill("workerKilled")
	return func() {
		at.Machine.restore()
		w.endOutage(o)
	}
}

func workerSilent(w *World, at Target) func() {
	o := w.outage("workerSilent", nil)
	at.Machine.silence("workerSilent")
	return func() {
		at.Machine.restore()
		w.endOutage(o)
	}
}

// workerFails makes a worker fail its tasks, and submits jobs so that some
// start there. An idle worker is taken, because a busy one starts nothing.
func workerFails(w *World, _ Target) func() {
	o := w.outage("workerFails", nil)
	m := w.idleMachine()
	before := m.failures()
	m.failAll(true)
	w.probe(4*workersPerDomain, 2*time.Second)
	return func() {
		m.failAll(false)
		if m.failures() > before {
			w.net.Hit("workerFails")
		}
		w.endOutage(o)
	}
}

func messages(kind string) func(*World, Target) func() {
	name := "messages" + map[string]string{
		"lost": "Lost", "doubled": "Doubled", "delayed": "Delayed", "reordered": "Reordered",
	}[kind]
	return func(w *World, _ Target) func() {
		o := w.outage(name, nil)
		w.net.mu.Lock()
		w.net.faults[name] = &message{kind: kind}
		w.net.mu.Unlock()
		return func() {
			w.net.mu.Lock()
			delete(w.net.faults, name)
			w.net.mu.Unlock()
			w.endOutage(o)
		}
	}
}

func link(legs ...leg) func(*World, Target) func() {
	name := "linkOneWay"
	if len(legs) > 1 {
		name = "linkBothWays"
	}
	return func(w *World, _ Target) func() {
		var cutOff []*Outage
		for _, in := range w.live() {
			if in.self.Region == remote {
				cutOff = append(cutOff, w.outage(name, in))
			}
		}
		// The workers of the remote domain are cut off as well.
		cutOff = append(cutOff, w.outage(name, nil))
		w.net.mu.Lock()
		defer w.net.mu.Unlock()
		for _, l := range legs {
			w.net.cuts[l] = name
		}
		return func() {
			w.net.mu.Lock()
			for _, l := range legs {
				delete(w.net.cuts, l)
			}
			w.net.mu.Unlock()
			for _, o := range cutOff {
				w.endOutage(o)
			}
		}
	}
}

func endpointLeaving(_ *World, at Target) func() {
	at.Endpoint.Leave()
	return func() {}
}

func endpointDies(w *World, at Target) func() {
	o := w.outage("endpointDies", nil)
	at.Endpoint.SetFault(fakes.EndpointFault{Kind: fakes.FaultCut})
	return func() {
		at.Endpoint.SetFault(fakes.EndpointFault{})
		w.endOutage(o)
	}
}

// operatorsRacing has two operators change the same version at once, each
// until the answer is known.
func operatorsRacing(w *World, at Target) func() {
	present := at.Instance.site.Current()
	for i := range 2 {
		next := *present
		next.Limits.RetryShare = 0.11 + float64(i)/100
		w.callers.Go(func() { w.race(i, present.Version, &next) })
	}
	return func() {}
}

func (w *World) race(operator int, base int64, next *config.Config) {
	begin := time.Now()
	for n := operator; time.Since(begin) < tryFor; n++ {
		in := w.some(n)
		if in == nil {
			return
		}
		_, err := in.site.Apply(in.life, base, next)
		var conflict *site.ConflictError
		if errors.As(err, &conflict) {
			w.net.Hit("operatorsRacing")
		}
		if err == nil || conflict != nil {
			return
		}
		time.Sleep(tryEvery)
	}
}

// cancellationWave submits jobs and cancels them at once.
func cancellationWave(w *World, _ Target) func() {
	o := w.outage("cancellationWave", nil)
	ids := w.probe(waveJobs, 30*time.Second)
	for _, id := range ids {
		w.callers.Go(func() {
			w.pause(600 * time.Millisecond)
			if w.cancel(lent, id) {
				w.net.Hit("cancellationWave")
			}
		})
	}
	return func() { w.endOutage(o) }
}

// burst submits small jobs and requests at once.
func burst(w *World, at Target) func() {
	o := w.outage(faultBurst, nil)
	w.probe(burstJobs, 200*time.Millisecond)
	for i := range burstAsks {
		w.ask(at.Instance, ident.Request(fmt.Sprintf(faultBurst+"%d-%d", w.since().Milliseconds(), i)), i%4 == 0)
	}
	return func() { w.endOutage(o) }
}

// probe submits small jobs and returns their identifiers.
func (w *World) probe(count int, d time.Duration) []ident.Request {
	w.mu.Lock()
	w.probes++
	set := w.probes
	w.mu.Unlock()
	var ids []ident.Request
	for i := range count {
		id := ident.Request(fmt.Sprintf("probe%d-%d", set, i))
		ids = append(ids, id)
		w.submit(lent, id, normal(1, d))
	}
	return ids
}

func (w *World) outage(fault string, in *Instance) *Outage {
	o := &Outage{From: time.Now(), Fault: fault}
	if in != nil {
		o.Instance = in.self.Instance
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outages = append(w.outages, o)
	return o
}

func (w *World) endOutage(o *Outage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o.To = time.Now()
}

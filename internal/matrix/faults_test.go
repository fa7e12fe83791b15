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
	// Fault is a kind of failure or load that a cell injects.
	Fault struct {
		Name string
		// Duration is the time after which the fault ends.
		Duration time.Duration
		// Begin begins the fault at a call and returns the function that ends
		// it.
		Begin func(sim *Simulation, target Target) (end func())
	}

	// Target is what a fault applies to, as chosen by targetOf.
	Target struct {
		Instance *Instance
		Worker   *Worker
		Endpoint *fakes.Endpoint
	}
)

// Names of faults whose effects are counted at the calls that show them.
const (
	faultStoreDown       = "storeDown"
	faultStoreAnswerLost = "storeAnswerLost"
	faultEndpointDies    = "endpointDies"
	faultEndpointLeaving = "endpointLeaving"
	faultStoreSlow       = "storeSlow"
	faultBurst           = "burst"
)

const (
	// pauseDuration is longer than a shard lease and the take-over that follows
	// its end.
	pauseDuration = 9 * time.Second
	// outageDuration is longer than a worker accepts a start permit, and shorter
	// than most jobs.
	outageDuration = 10 * time.Second
	// silenceDuration is longer than the lease of a task.
	silenceDuration = 15 * time.Second
	// failingDuration is long enough for a task to start on the worker,
	// whatever runs there at first.
	failingDuration = 28 * time.Second
	// slowStoreDelay is below the time that a shard owner allows for its store
	// calls in a round (2 s).
	slowStoreDelay = 900 * time.Millisecond
	burstJobs      = 24
	burstRequests  = 60
	cancelledJobs  = 6
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		{"kill", time.Second, killInstance},
		{"pause", pauseDuration, pauseInstance},
		{faultStoreDown, outageDuration, beginStoreFault(fakes.Fault{Kind: fakes.Down})},
		{faultStoreSlow, outageDuration, beginStoreFault(fakes.Fault{Kind: fakes.Slow, Delay: slowStoreDelay})},
		{faultStoreAnswerLost, outageDuration, beginStoreFault(fakes.Fault{Kind: fakes.Lost, Next: 6})},
		{"workerKilled", silenceDuration, killWorker},
		{"workerSilent", silenceDuration, silenceWorker},
		{"workerFails", failingDuration, failTasks},
		{"messagesLost", outageDuration, beginMessageFault("lost")},
		{"messagesDoubled", outageDuration, beginMessageFault("doubled")},
		{"messagesDelayed", outageDuration, beginMessageFault("delayed")},
		{"messagesReordered", outageDuration, beginMessageFault("reordered")},
		{"linkOneWay", outageDuration, cutLink(direction{remoteRegion, homeRegion})},
		{"linkBothWays", outageDuration, cutLink(direction{remoteRegion, homeRegion}, direction{homeRegion, remoteRegion})},
		{faultEndpointLeaving, outageDuration, beginLeaving},
		{faultEndpointDies, outageDuration, cutAnswers},
		{"operatorsRacing", outageDuration, raceOperators},
		{"cancellationWave", outageDuration, cancelWave},
		{faultBurst, outageDuration, submitBurst},
	}
}

func killInstance(sim *Simulation, target Target) func() {
	o := sim.beginOutage("kill", target.Instance)
	target.Instance.kill("kill")
	// The process stays killed. The outage ends with the fault, so the take-over
	// by another instance counts towards the bounds of the promises.
	return func() { sim.endOutage(o) }
}

func pauseInstance(sim *Simulation, target Target) func() {
	o := sim.beginOutage("pause", target.Instance)
	sim.network.pause(target.Instance.self.Instance, "pause")
	return func() {
		sim.network.resume(target.Instance.self.Instance)
		sim.endOutage(o)
	}
}

// beginStoreFault returns the Begin function of a fault of the store.
func beginStoreFault(f fakes.Fault) func(*Simulation, Target) func() {
	return func(sim *Simulation, _ Target) func() {
		o := sim.beginOutage("store", nil)
		sim.store.Faults.Set(f)
		return func() {
			sim.store.Faults.Clear()
			sim.endOutage(o)
		}
	}
}

func killWorker(sim *Simulation, target Target) func() {
	o := sim.beginOutage("workerKilled", nil)
	target.Worker.kill("workerKilled")
	return func() {
		target.Worker.restore()
		sim.endOutage(o)
	}
}

func silenceWorker(sim *Simulation, target Target) func() {
	o := sim.beginOutage("workerSilent", nil)
	target.Worker.silence("workerSilent")
	return func() {
		target.Worker.restore()
		sim.endOutage(o)
	}
}

// failTasks makes a worker fail its tasks, and submits jobs so that some start
// there. It takes an idle worker, because a busy one starts no task.
func failTasks(sim *Simulation, _ Target) func() {
	o := sim.beginOutage("workerFails", nil)
	w := sim.idleWorker()
	before := w.failedTasks()
	w.failAll(true)
	sim.submitProbes(4*workersPerDomain, 2*time.Second)
	return func() {
		w.failAll(false)
		if w.failedTasks() > before {
			sim.network.Hit("workerFails")
		}
		sim.endOutage(o)
	}
}

// beginMessageFault returns the Begin function of a message fault, which affects
// the exchanges of state between instances and the calls to workers. The kind
// lost also affects requests to endpoints, and the kind reordered their answers.
func beginMessageFault(kind string) func(*Simulation, Target) func() {
	name := "messages" + map[string]string{
		"lost": "Lost", "doubled": "Doubled", "delayed": "Delayed", "reordered": "Reordered",
	}[kind]
	return func(sim *Simulation, _ Target) func() {
		o := sim.beginOutage(name, nil)
		sim.network.mu.Lock()
		sim.network.messageFaults[name] = &messageFault{kind: kind}
		sim.network.mu.Unlock()
		return func() {
			sim.network.mu.Lock()
			delete(sim.network.messageFaults, name)
			sim.network.mu.Unlock()
			sim.endOutage(o)
		}
	}
}

// cutLink returns the Begin function of a fault that cuts the link between the
// regions in the given directions.
func cutLink(directions ...direction) func(*Simulation, Target) func() {
	name := "linkOneWay"
	if len(directions) > 1 {
		name = "linkBothWays"
	}
	return func(sim *Simulation, _ Target) func() {
		var outages []*Outage
		for _, in := range sim.liveInstances() {
			if in.self.Region == remoteRegion {
				outages = append(outages, sim.beginOutage(name, in))
			}
		}
		// The workers of the remote region are cut off as well.
		outages = append(outages, sim.beginOutage(name, nil))
		sim.network.mu.Lock()
		defer sim.network.mu.Unlock()
		for _, d := range directions {
			sim.network.cutLinks[d] = name
		}
		return func() {
			sim.network.mu.Lock()
			for _, d := range directions {
				delete(sim.network.cutLinks, d)
			}
			sim.network.mu.Unlock()
			for _, o := range outages {
				sim.endOutage(o)
			}
		}
	}
}

// beginLeaving makes an endpoint leave. The end of the fault does not bring it
// back.
func beginLeaving(_ *Simulation, target Target) func() {
	target.Endpoint.Leave()
	return func() {}
}

// cutAnswers makes an endpoint cut its answers off.
func cutAnswers(sim *Simulation, target Target) func() {
	o := sim.beginOutage("endpointDies", nil)
	target.Endpoint.SetFault(fakes.EndpointFault{Kind: fakes.FaultCut})
	return func() {
		target.Endpoint.SetFault(fakes.EndpointFault{})
		sim.endOutage(o)
	}
}

// raceOperators makes two operators change the same version of the
// configuration at once.
func raceOperators(sim *Simulation, target Target) func() {
	current := target.Instance.site.Current()
	for i := range 2 {
		next := *current
		next.Limits.RetryShare = 0.11 + float64(i)/100
		sim.callers.Go(func() { sim.applyAsOperator(i, current.Version, &next) })
	}
	return func() {}
}

// applyAsOperator submits a configuration against version base until it is
// accepted or refused as a conflict, or retryTimeout has passed.
func (sim *Simulation) applyAsOperator(operator int, base int64, next *config.Config) {
	begin := time.Now()
	for i := operator; time.Since(begin) < retryTimeout; i++ {
		in := sim.pickInstance(i)
		if in == nil {
			return
		}
		_, err := in.site.Apply(in.processCtx, base, next)
		var conflict *site.ConflictError
		if errors.As(err, &conflict) {
			sim.network.Hit("operatorsRacing")
		}
		if err == nil || conflict != nil {
			return
		}
		time.Sleep(retryInterval)
	}
}

// cancelWave submits jobs and cancels all of them shortly afterwards.
func cancelWave(sim *Simulation, _ Target) func() {
	o := sim.beginOutage("cancellationWave", nil)
	ids := sim.submitProbes(cancelledJobs, 30*time.Second)
	for _, id := range ids {
		sim.callers.Go(func() {
			sim.sleep(600 * time.Millisecond)
			if sim.cancel(borrowingWorkspace, id) {
				sim.network.Hit("cancellationWave")
			}
		})
	}
	return func() { sim.endOutage(o) }
}

// submitBurst submits many small jobs and requests at once.
func submitBurst(sim *Simulation, target Target) func() {
	o := sim.beginOutage(faultBurst, nil)
	sim.submitProbes(burstJobs, 200*time.Millisecond)
	for i := range burstRequests {
		sim.sendRequest(target.Instance, ident.Request(fmt.Sprintf(faultBurst+"%d-%d", sim.elapsed().Milliseconds(), i)), i%4 == 0)
	}
	return func() { sim.endOutage(o) }
}

// submitProbes submits jobs with one member that run for d, and returns the
// identifiers of their submissions.
func (sim *Simulation) submitProbes(count int, d time.Duration) []ident.Request {
	sim.mu.Lock()
	sim.probeSets++
	number := sim.probeSets
	sim.mu.Unlock()
	var ids []ident.Request
	for i := range count {
		id := ident.Request(fmt.Sprintf("probe%d-%d", number, i))
		ids = append(ids, id)
		sim.submit(borrowingWorkspace, id, normalJob(1, d))
	}
	return ids
}

// beginOutage records the start of an outage. in is nil if the outage concerns
// no single instance.
func (sim *Simulation) beginOutage(fault string, in *Instance) *Outage {
	o := &Outage{From: time.Now(), Fault: fault}
	if in != nil {
		o.Instance = in.self.Instance
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.outages = append(sim.outages, o)
	return o
}

func (sim *Simulation) endOutage(o *Outage) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	o.To = time.Now()
}

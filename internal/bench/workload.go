package bench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
)

type (
	// Workload describes arriving jobs and the disturbances during a run.
	Workload struct {
		Name string
		// horizon is the time from the start during which jobs arrive.
		horizon time.Duration
		// loadFactor scales the arrival rate of a job kind in a workspace at a
		// time. With 1 throughout, the offered work is baseLoad times the
		// capacity.
		loadFactor func(k jobKind, ws ident.Workspace, at time.Duration) float64
		// errorSpread is the standard deviation of the logarithm of the error
		// in declared run times. Half of the variance is common to the jobs of
		// one kind and workspace. Zero stands for defaultErrorSpread.
		errorSpread float64
		// badWorkerShare is the share of workers on which every task fails.
		badWorkerShare float64
		// outageStart and outageEnd are the times at which the first domain
		// goes out of service and returns to service.
		outageStart, outageEnd time.Duration
		// cancelAt is the time at which many jobs are cancelled at once.
		cancelAt time.Duration
		// addExtra adds jobs beyond those of the job kinds' arrival rates.
		addExtra func(c cluster, r *rand.Rand, gen *generator)
	}

	// request is a submitted job together with the properties that the policy
	// cannot see.
	request struct {
		job           jobs.Job
		arrival       time.Duration
		actualRunTime time.Duration
		canCheckpoint bool
		// cancelledInWave is set if the job is cancelled at Workload.cancelAt.
		cancelledInWave bool
		// waitReason is the reason of the last Wait action for the job.
		waitReason string
	}

	// generator draws the requests of a workload.
	generator struct {
		rand      *rand.Rand
		workload  Workload
		errorBias map[string]float64
		requests  []*request
	}
)

const (
	// baseLoad is the offered accelerator time with load factor 1, as a share
	// of the capacity. The cluster starts empty and arrivals end at the
	// horizon, so the utilisation is only about three quarters of that load.
	baseLoad = 1.15
	// defaultErrorSpread is the errorSpread of workloads that set none.
	defaultErrorSpread = 0.3
	// maxErrorFactor bounds the ratio between the declared and the actual run
	// time, in both directions.
	maxErrorFactor = 10
	// checkpointShare is the share of jobs that can checkpoint.
	checkpointShare = 0.8
	// cancelShare is the share of the jobs submitted before Workload.cancelAt
	// that are cancelled then.
	cancelShare = 0.6

	// defaultHorizon is the horizon of most workloads.
	defaultHorizon = 30 * time.Minute
)

// Workloads returns the standard workloads.
func Workloads() []Workload {
	steady := constantLoad(1)
	return []Workload{
		{Name: "steadyMix", horizon: defaultHorizon, loadFactor: steady},
		{Name: "calendarShift", horizon: 40 * time.Minute, loadFactor: calendarShift},
		{Name: "gangBurst", horizon: defaultHorizon, loadFactor: smallJobsOnly, addExtra: addGangBurst},
		{Name: "domainOut", horizon: 90 * time.Minute, loadFactor: constantLoad(0.65), outageStart: 10 * time.Minute, outageEnd: 70 * time.Minute},
		{Name: "wrongTimes", horizon: defaultHorizon, loadFactor: steady, errorSpread: 1.15},
		{Name: "badWorkers", horizon: defaultHorizon, loadFactor: constantLoad(0.7), badWorkerShare: 0.1},
		{Name: "cancelWave", horizon: defaultHorizon, loadFactor: constantLoad(1.1), cancelAt: 15 * time.Minute},
	}
}

func constantLoad(factor float64) func(jobKind, ident.Workspace, time.Duration) float64 {
	return func(jobKind, ident.Workspace, time.Duration) float64 { return factor }
}

// calendarShift moves load between two workspaces of a cluster at half of the
// horizon, as when the weekend of one of them begins: its load factor drops from
// 2 to 0.2, and that of the other rises from 0.2 to 2.
func calendarShift(_ jobKind, ws ident.Workspace, at time.Duration) float64 {
	first := ws == "foundryA" || ws == "rebuilds"
	second := ws == "foundryB" || ws == "bands"
	firstHalf := at < 20*time.Minute
	switch {
	case first && firstHalf, second && !firstHalf:
		return 2
	case first, second:
		return 0.2
	}
	return 1
}

// smallJobsOnly leaves out the job kinds whose first shape takes at least two whole
// workers, so that small and long jobs fill the cluster.
func smallJobsOnly(k jobKind, _ ident.Workspace, _ time.Duration) float64 {
	if k.shapes[0].Total().Accelerators >= 2*acceleratorsPerWorker {
		return 0
	}
	return 1.2
}

// addGangBurst adds 8 gangs of each large job kind within one minute.
func addGangBurst(c cluster, r *rand.Rand, gen *generator) {
	for _, k := range c.jobKinds {
		if k.shapes[0].Total().Accelerators < 2*acceleratorsPerWorker {
			continue
		}
		for range 8 {
			gen.add(k, k.workspaces[r.IntN(len(k.workspaces))], 8*time.Minute+time.Duration(r.IntN(60))*time.Second)
		}
	}
}

// generate returns the requests of the workload for the cluster, sorted by
// arrival.
func (w Workload) generate(c cluster, seed uint64) []*request {
	r := rand.New(rand.NewPCG(seed, uint64(len(c.name))))
	gen := &generator{rand: r, workload: w, errorBias: make(map[string]float64)}
	for _, k := range c.jobKinds {
		rate := k.share * baseLoad * float64(c.totalAccelerators()) / k.meanAcceleratorSeconds()
		for _, ws := range k.workspaces {
			gen.addArrivals(k, ws, rate/float64(len(k.workspaces)))
		}
	}
	if w.addExtra != nil {
		w.addExtra(c, r, gen)
	}
	slices.SortStableFunc(gen.requests, func(x, y *request) int { return cmp.Compare(x.arrival, y.arrival) })
	return gen.requests
}

// addArrivals adds requests by a Poisson process with the rate, in jobs a
// second, scaled by the load factor. Arrivals are drawn at the highest load
// factor and thinned.
func (gen *generator) addArrivals(k jobKind, ws ident.Workspace, rate float64) {
	const maxLoadFactor = 2.5 // not below the load factor of any workload
	seconds := 0.0
	for {
		seconds += gen.rand.ExpFloat64() / (rate * maxLoadFactor)
		arrival := time.Duration(seconds * float64(time.Second)).Round(tick)
		if arrival >= gen.workload.horizon {
			return
		}
		if gen.rand.Float64() < gen.workload.loadFactor(k, ws, arrival)/maxLoadFactor {
			gen.add(k, ws, arrival)
		}
	}
}

func (gen *generator) add(k jobKind, ws ident.Workspace, arrival time.Duration) {
	runTime := k.drawRunTime(gen.rand)
	jobShape := k.shapes[gen.rand.IntN(len(k.shapes))]
	gen.requests = append(gen.requests, &request{
		arrival:       arrival,
		actualRunTime: runTime,
		canCheckpoint: gen.rand.Float64() < checkpointShare,
		job: jobs.Job{
			ID:        ident.Job(fmt.Sprintf("%s-%04d", k.name, len(gen.requests))),
			Workspace: ws,
			Spec: jobs.Spec{
				Shape:      jobShape,
				Class:      k.class,
				Guaranteed: gen.rand.Float64() < k.guaranteedShare,
				RunTime:    gen.declaredRunTime(k, ws, runTime),
			},
			Submitted: start.Add(arrival),
		},
		cancelledInWave: gen.workload.cancelAt > 0 && arrival < gen.workload.cancelAt && gen.rand.Float64() < cancelShare,
	})
}

// declaredRunTime returns the run time that the caller declares: the actual one
// times a log-normal error.
func (gen *generator) declaredRunTime(k jobKind, ws ident.Workspace, runTime time.Duration) time.Duration {
	spread := cmp.Or(gen.workload.errorSpread, defaultErrorSpread)
	key := k.name + string(ws)
	if _, ok := gen.errorBias[key]; !ok {
		gen.errorBias[key] = gen.rand.NormFloat64()
	}
	factor := math.Exp(spread * math.Sqrt(0.5) * (gen.errorBias[key] + gen.rand.NormFloat64()))
	return time.Duration(float64(runTime) * min(max(factor, 1.0/maxErrorFactor), maxErrorFactor)).Round(tick)
}

package bench

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/sched"
)

type (
	// Sample holds the values of one workload under one policy with one seed,
	// over the runs on both clusters.
	Sample struct {
		Values map[string]float64
		// BreachMessages describes the first breaches of each run.
		BreachMessages []string
	}

	// Measure is the name and the unit of a value in a sample.
	Measure struct {
		Name string
		Unit string
	}
)

// Measures returns the measures in the order in which they are printed.
//
//   - CompletionP50, CompletionP99: time from submission to the end, by class.
//   - MeanSlowdown, meanSlowdown: completion time divided by the run time, or by
//     minSlowdownRunTime if that is longer, by class and over all jobs.
//   - urgentWaitP99: time from submission of an urgent job to its first start.
//   - fragmentation: share of the free accelerators that cannot serve the
//     largest guaranteed gang.
//   - utilisation: share of the capacity in use while jobs arrive.
//   - lostToReclaim: accelerator time spent on discarded progress and on loading
//     checkpoints, as a share of the capacity while jobs arrive.
//   - usefulWhileAway: share of the remaining capacity that does useful work
//     while the first domain is out of service.
//   - makespan: end of the last job, relative to its lower bound.
//   - reclaims: number of gangs reclaimed.
//   - refused, failed, unfinished: number of jobs that were refused, failed or
//     had not ended at maxDuration.
//   - breaches: number of breaches found by the checker.
func Measures() []Measure {
	var all []Measure
	for _, c := range classes {
		all = append(all,
			Measure{c.String() + "CompletionP50", "s"},
			Measure{c.String() + "CompletionP99", "s"},
			Measure{c.String() + "MeanSlowdown", "ratio"},
		)
	}
	return append(all,
		Measure{"meanSlowdown", "ratio"},
		Measure{"urgentWaitP99", "s"},
		Measure{"fragmentation", "share"},
		Measure{"utilisation", "share"},
		Measure{"lostToReclaim", "share"},
		Measure{"usefulWhileAway", "share"},
		Measure{"makespan", "ratio"},
		Measure{"reclaims", "count"},
		Measure{"refused", "count"},
		Measure{"failed", "count"},
		Measure{"unfinished", "count"},
		Measure{"breaches", "count"},
	)
}

var classes = []jobs.Class{jobs.Urgent, jobs.Normal, jobs.Background}

// Run simulates the workload on both clusters and returns the joint values.
func Run(workload Workload, policy sched.Policy, seed uint64) Sample {
	var all []*stats
	for _, c := range []cluster{khangai(), cedarline()} {
		all = append(all, newSimulation(c, workload, policy, seed).run())
	}
	return aggregate(all)
}

func aggregate(runs []*stats) Sample {
	values := make(map[string]float64)
	sample := Sample{Values: values}
	var allSlowdowns []float64
	for _, c := range classes {
		var completions []time.Duration
		var slowdowns []float64
		for _, s := range runs {
			completions = append(completions, s.completion[c]...)
			slowdowns = append(slowdowns, s.slowdown[c]...)
		}
		values[c.String()+"CompletionP50"] = quantile(completions, 0.5).Seconds()
		values[c.String()+"CompletionP99"] = quantile(completions, 0.99).Seconds()
		values[c.String()+"MeanSlowdown"] = mean(slowdowns)
		allSlowdowns = append(allSlowdowns, slowdowns...)
	}
	values["meanSlowdown"] = mean(allSlowdowns)
	var urgentWaits []time.Duration
	var sum stats
	for _, s := range runs {
		urgentWaits = append(urgentWaits, s.urgentWait...)
		sum.add(s)
		sample.BreachMessages = append(sample.BreachMessages, s.breachMessages...)
		values["makespan"] = max(values["makespan"], s.lastEnd.Sub(start).Seconds()/s.makespanBound.Seconds())
	}
	values["urgentWaitP99"] = quantile(urgentWaits, 0.99).Seconds()
	values["fragmentation"] = share(sum.fragmented, sum.free)
	values["utilisation"] = share(sum.busy, sum.capacity)
	values["lostToReclaim"] = share(sum.lost, sum.capacity)
	values["usefulWhileAway"] = share(sum.outageBusy-sum.outageLost, sum.outageCapacity)
	values["reclaims"] = float64(sum.reclaims)
	values["refused"] = float64(sum.refused)
	values["failed"] = float64(sum.failed)
	values["unfinished"] = float64(sum.unfinished)
	values["breaches"] = float64(sum.breaches)
	return sample
}

func (st *stats) add(other *stats) {
	st.capacity += other.capacity
	st.busy += other.busy
	st.free += other.free
	st.fragmented += other.fragmented
	st.lost += other.lost
	st.outageBusy += other.outageBusy
	st.outageLost += other.outageLost
	st.outageCapacity += other.outageCapacity
	st.reclaims += other.reclaims
	st.refused += other.refused
	st.failed += other.failed
	st.unfinished += other.unfinished
	st.breaches += other.breaches
}

// share returns part divided by whole, or 0 if whole is 0.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func median(x []float64) float64 {
	sorted := slices.Clone(x)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

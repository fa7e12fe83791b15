package bench

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"

	"github.com/baobabquay/baobabquay/internal/sched"
)

type (
	// Report holds the samples of all workloads, policies and seeds.
	Report struct {
		Seeds     int
		Workloads []Workload
		Policies  []sched.Policy
		// Samples are indexed by workload, policy and seed.
		Samples [][][]Sample
	}

	// Target is a bound on a measure of the default policy.
	Target struct {
		Workload string
		Measure  string
		// Value is the measured value and Bound its limit.
		Value, Bound float64
		// AtLeast is set if Bound is a lower limit.
		AtLeast bool
	}
)

// defaultPolicy is the index of the default policy in Report.Policies.
const defaultPolicy = 0

// RunAll runs all workloads under all policies with the seeds 1 to n.
func RunAll(workloads []Workload, policies []sched.Policy, n int) *Report {
	r := &Report{Seeds: n, Workloads: workloads, Policies: policies}
	var wg sync.WaitGroup
	sem := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for i, workload := range workloads {
		r.Samples = append(r.Samples, make([][]Sample, len(policies)))
		for k, policy := range policies {
			r.Samples[i][k] = make([]Sample, n)
			for seed := range n {
				wg.Go(func() {
					sem <- struct{}{}
					r.Samples[i][k][seed] = Run(workload, policy, uint64(seed+1))
					<-sem
				})
			}
		}
	}
	wg.Wait()
	return r
}

// Values returns the value of the measure for each seed.
func (r *Report) Values(workload, policy int, measure string) []float64 {
	var values []float64
	for _, s := range r.Samples[workload][policy] {
		values = append(values, s.Values[measure])
	}
	return values
}

// Median returns the median of the measure over the seeds.
func (r *Report) Median(workload, policy int, measure string) float64 {
	return median(r.Values(workload, policy, measure))
}

// Breaches returns the number of breaches under the default policy in all runs.
func (r *Report) Breaches() int {
	n := 0.0
	for i := range r.Workloads {
		for _, v := range r.Values(i, defaultPolicy, "breaches") {
			n += v
		}
	}
	return int(n)
}

// BreachMessages returns descriptions of the first breaches of each run under
// the default policy.
func (r *Report) BreachMessages() []string {
	var messages []string
	for i, workload := range r.Workloads {
		for seed, s := range r.Samples[i][defaultPolicy] {
			for _, message := range s.BreachMessages {
				messages = append(messages, fmt.Sprintf("%s seed %d: %s", workload.Name, seed+1, message))
			}
		}
	}
	return messages
}

// Write prints the median, the lowest and the highest value of each measure, one
// line each, then the targets and a summary line.
func (r *Report) Write(w io.Writer) error {
	for i, workload := range r.Workloads {
		for k, policy := range r.Policies {
			for _, m := range Measures() {
				v := r.Values(i, k, m.Name)
				for _, f := range []struct {
					suffix string
					value  float64
				}{{"", median(v)}, {"Low", slices.Min(v)}, {"High", slices.Max(v)}} {
					if _, err := fmt.Fprintf(w, "bench workload=%s policy=%s measure=%s%s value=%.4g unit=%s\n", workload.Name, policy.Name, m.Name, f.suffix, f.value, m.Unit); err != nil {
						return fmt.Errorf("write measure: %w", err)
					}
				}
			}
		}
	}
	missed := 0
	for _, t := range r.Targets() {
		if !t.Met() {
			missed++
		}
		if _, err := fmt.Fprintf(w, "bench workload=%s policy=%s measure=%s value=%.4g unit=ratio\n", t.Workload, r.Policies[defaultPolicy].Name, t.Measure, t.Value); err != nil {
			return fmt.Errorf("write target: %w", err)
		}
	}
	if _, err := fmt.Fprintf(w, "bench: workloads=%d policies=%d breaches=%d targetsMissed=%d\n", len(r.Workloads), len(r.Policies), r.Breaches(), missed); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

// Targets returns the targets of each workload. The ratios of waits, slowdowns and
// fragmentation are relative to the better baseline in the same report, that of the
// makespan to its lower bound.
func (r *Report) Targets() []Target {
	var all []Target
	for i, workload := range r.Workloads {
		all = append(all,
			Target{Workload: workload.Name, Measure: "urgentWaitRatio", Value: r.ratioToBaseline(i, "urgentWaitP99"), Bound: 0.2},
			Target{Workload: workload.Name, Measure: "urgentWaitSeconds", Value: r.Median(i, defaultPolicy, "urgentWaitP99"), Bound: 8},
			Target{Workload: workload.Name, Measure: "slowdownRatio", Value: r.ratioToBaseline(i, "meanSlowdown"), Bound: 0.5},
			Target{Workload: workload.Name, Measure: "fragmentationRatio", Value: r.ratioToBaseline(i, "fragmentation"), Bound: 0.5},
		)
		if workload.outageStart > 0 {
			all = append(all, Target{Workload: workload.Name, Measure: "usefulShare", Value: r.Median(i, defaultPolicy, "usefulWhileAway"), Bound: 0.95, AtLeast: true})
		}
		if workload.Name == "steadyMix" {
			all = append(all, Target{Workload: workload.Name, Measure: "makespanRatio", Value: r.Median(i, defaultPolicy, "makespan"), Bound: 1.15})
		}
	}
	return all
}

// ratioToBaseline returns the median of the default policy divided by the lowest
// median of the baselines.
func (r *Report) ratioToBaseline(workload int, measure string) float64 {
	best := math.Inf(1)
	for k := range r.Policies {
		if k != defaultPolicy {
			best = min(best, r.Median(workload, k, measure))
		}
	}
	return share(r.Median(workload, defaultPolicy, measure), best)
}

// Met reports whether the value is within the bound.
func (t Target) Met() bool {
	if t.AtLeast {
		return t.Value >= t.Bound
	}
	return t.Value <= t.Bound
}

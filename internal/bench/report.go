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
	// Report is the figures of all workloads and policies.
	Report struct {
		Seeds     int
		Workloads []Workload
		Policies  []sched.Policy
		// Samples are indexed by workload, policy and seed.
		Samples [][][]Sample
	}

	// Target is a figure that the product's policy has to reach.
	Target struct {
		Workload string
		Measure  string
		// Value is the figure and Bound its limit.
		Value, Bound float64
		// AtLeast is set for a lower limit.
		AtLeast bool
	}
)

// product is the index of the product's policy.
const product = 0

// Measured runs all workloads under all policies with the seeds 1 to n.
func Measured(workloads []Workload, policies []sched.Policy, n int) *Report {
	r := &Report{Seeds: n, Workloads: workloads, Policies: policies}
	var work sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for i, load := range workloads {
		r.Samples = append(r.Samples, make([][]Sample, len(policies)))
		for k, policy := range policies {
			r.Samples[i][k] = make([]Sample, n)
			for seed := range n {
				work.Go(func() {
					slots <- struct{}{}
					r.Samples[i][k][seed] = Run(load, policy, uint64(seed+1))
					<-slots
				})
			}
		}
	}
	work.Wait()
	return r
}

// Values returns the figure of each seed.
func (r *Report) Values(workload, policy int, measure string) []float64 {
	var values []float64
	for _, s := range r.Samples[workload][policy] {
		values = append(values, s.Values[measure])
	}
	return values
}

// Median returns the median of the seeds.
func (r *Report) Median(workload, policy int, measure string) float64 {
	return median(r.Values(workload, policy, measure))
}

// Breaches returns the breaches under the product's policy in all runs.
func (r *Report) Breaches() int {
	n := 0.0
	for i := range r.Workloads {
		for _, v := range r.Values(i, product, "breaches") {
			n += v
		}
	}
	return int(n)
}

// Faults returns descriptions of the first breaches of the product's policy.
func (r *Report) Faults() []string {
	var faults []string
	for i, load := range r.Workloads {
		for seed, s := range r.Samples[i][product] {
			for _, f := range s.Faults {
				faults = append(faults, fmt.Sprintf("%s seed %d: %s", load.Name, seed+1, f))
			}
		}
	}
	return faults
}

// Write prints one line for each figure, with the lowest and the highest seed,
// and the closing line.
func (r *Report) Write(w io.Writer) error {
	for i, load := range r.Workloads {
		for k, policy := range r.Policies {
			for _, m := range Measures() {
				v := r.Values(i, k, m.Name)
				for _, f := range []struct {
					suffix string
					value  float64
				}{{"", median(v)}, {"Low", slices.Min(v)}, {"High", slices.Max(v)}} {
					if _, err := fmt.Fprintf(w, "bench workload=%s policy=%s measure=%s%s value=%.4g unit=%s\n", load.Name, policy.Name, m.Name, f.suffix, f.value, m.Unit); err != nil {
						return fmt.Errorf("write figure: %w", err)
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
		if _, err := fmt.Fprintf(w, "bench workload=%s policy=%s measure=%s value=%.4g unit=ratio\n", t.Workload, r.Policies[product].Name, t.Measure, t.Value); err != nil {
			return fmt.Errorf("write target: %w", err)
		}
	}
	if _, err := fmt.Fprintf(w, "bench: workloads=%d policies=%d breaches=%d targetsMissed=%d\n", len(r.Workloads), len(r.Policies), r.Breaches(), missed); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

// Targets returns the targets of each workload. Ratios are against the better
// baseline of the same run.
func (r *Report) Targets() []Target {
	var all []Target
	for i, load := range r.Workloads {
		all = append(all,
			Target{Workload: load.Name, Measure: "urgentWaitRatio", Value: r.ratio(i, "urgentWaitP99"), Bound: 0.2},
			Target{Workload: load.Name, Measure: "urgentWaitSeconds", Value: r.Median(i, product, "urgentWaitP99"), Bound: 8},
			Target{Workload: load.Name, Measure: "slowdownRatio", Value: r.ratio(i, "meanSlowdown"), Bound: 0.5},
			Target{Workload: load.Name, Measure: "fragmentationRatio", Value: r.ratio(i, "fragmentation"), Bound: 0.5},
		)
		if load.out > 0 {
			all = append(all, Target{Workload: load.Name, Measure: "usefulShare", Value: r.Median(i, product, "usefulWhileAway"), Bound: 0.95, AtLeast: true})
		}
		if load.Name == "steadyMix" {
			all = append(all, Target{Workload: load.Name, Measure: "makespanRatio", Value: r.Median(i, product, "makespan"), Bound: 1.15})
		}
	}
	return all
}

func (r *Report) ratio(workload int, measure string) float64 {
	best := math.Inf(1)
	for k := range r.Policies {
		if k != product {
			best = min(best, r.Median(workload, k, measure))
		}
	}
	return share(r.Median(workload, product, measure), best)
}

// Met reports whether the target is reached.
func (t Target) Met() bool {
	if t.AtLeast {
		return t.Value >= t.Bound
	}
	return t.Value <= t.Bound
}

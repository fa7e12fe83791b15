// Command bench measures the scheduling policy against the baselines.
//
// # Usage
//
//	bench -seeds 5
//
// It prints one line for each figure and exits with status 1 if a guarantee
// was breached.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/baobabquay/baobabquay/internal/bench"
	"github.com/baobabquay/baobabquay/internal/sched"
)

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds")
	only := flag.String("workload", "", "measure this workload only")
	alone := flag.Bool("alone", false, "leave the baselines out")
	plots := flag.String("plots", "", "directory for figures as SVG")
	flag.Parse()
	policies := bench.Policies()
	if *alone {
		policies = policies[:1]
	}
	if err := run(*seeds, *only, *plots, policies); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(seeds int, only, plots string, policies []sched.Policy) error {
	var workloads []bench.Workload
	for _, w := range bench.Workloads() {
		if only == "" || w.Name == only {
			workloads = append(workloads, w)
		}
	}
	r := bench.Measured(workloads, policies, seeds)
	for _, f := range r.Faults() {
		fmt.Fprintln(os.Stderr, f)
	}
	if plots != "" {
		if err := r.Draw(plots); err != nil {
			return fmt.Errorf("draw: %w", err)
		}
	}
	if err := r.Write(os.Stdout); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if n := r.Breaches(); n > 0 {
		return fmt.Errorf("%d breaches of guarantees", n)
	}
	return nil
}

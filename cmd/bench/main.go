// Command bench compares the scheduling policy with baseline policies by
// simulation in virtual time.
//
// # Usage
//
//	bench -seeds 5
//
// It prints one line for each figure, and exits with status 1 if the scheduling
// policy breached a guarantee.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/baobabquay/baobabquay/internal/bench"
	"github.com/baobabquay/baobabquay/internal/sched"
)

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds; the seeds are 1 to this number")
	workload := flag.String("workload", "", "measure this workload only")
	alone := flag.Bool("alone", false, "measure the scheduling policy without the baselines")
	plots := flag.String("plots", "", "directory to write plots to, as SVG files")
	flag.Parse()
	policies := bench.Policies()
	if *alone {
		// The baselines come after the scheduling policy.
		policies = policies[:1]
	}
	if err := run(*seeds, *workload, *plots, policies); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(seeds int, workload, plots string, policies []sched.Policy) error {
	var workloads []bench.Workload
	for _, w := range bench.Workloads() {
		if workload == "" || w.Name == workload {
			workloads = append(workloads, w)
		}
	}
	report := bench.RunAll(workloads, policies, seeds)
	for _, breach := range report.BreachMessages() {
		fmt.Fprintln(os.Stderr, breach)
	}
	if plots != "" {
		if err := report.Draw(plots); err != nil {
			return fmt.Errorf("write plots: %w", err)
		}
	}
	if err := report.Write(os.Stdout); err != nil {
		return fmt.Errorf("write figures: %w", err)
	}
	if breaches := report.Breaches(); breaches > 0 {
		return fmt.Errorf("%d breaches of guarantees", breaches)
	}
	return nil
}

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
)

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds")
	only := flag.String("workload", "", "measure this workload only")
	flag.Parse()
	if err := run(*seeds, *only); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(seeds int, only string) error {
	var workloads []bench.Workload
	for _, w := range bench.Workloads() {
		if only == "" || w.Name == only {
			workloads = append(workloads, w)
		}
	}
	r := bench.Measured(workloads, bench.Policies(), seeds)
	for _, f := range r.Faults() {
		fmt.Fprintln(os.Stderr, f)
	}
	if err := r.Write(os.Stdout); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if n := r.Breaches(); n > 0 {
		return fmt.Errorf("%d breaches of guarantees", n)
	}
	return nil
}

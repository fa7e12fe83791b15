// Command demo sends the example workloads to running installations, checks what
// callers and stand-ins observed against the required behaviour, and prints a
// report. The script scripts/demo starts the processes that it needs and writes
// the plan.
//
// Usage:
//
//	demo --plan plan.json
//
// The exit code is 0 if all checks passed, 1 if a check or the run failed, and 2
// for wrong usage or an invalid plan.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/baobabquay/baobabquay/internal/demo"
	"github.com/integrii/flaggy"
)

const (
	exitOK = iota
	exitFailed
	exitUsage

	// runTimeout limits the duration of a run, so that the demo ends without a
	// signal.
	runTimeout = 55 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	var path string
	p := flaggy.NewParser("demo")
	p.Description = "send the load of make demo and print its report"
	p.String(&path, "p", "plan", "file with the plan of the run (JSON)")
	if err := p.Parse(); err != nil || path == "" {
		fmt.Fprintln(os.Stderr, "demo: --plan FILE is required")
		return exitUsage
	}
	plan, err := demo.ReadPlan(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	record, err := demo.Run(ctx, plan)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFailed
	}
	findings := demo.Check(record)
	fmt.Print(demo.Render(record, findings))
	if !demo.IsKept(findings) {
		return exitFailed
	}
	return exitOK
}

// Command demo sends the example workloads to running installations, checks
// the promises and prints a report. The script scripts/demo starts what it
// needs and writes the plan.
//
// Usage:
//
//	demo --plan plan.json
//
// The exit code is 0 if all promises were kept, 1 if one was broken or the run
// failed, and 2 for wrong usage.
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

	// runLimit bounds a run, so that the demo ends by itself.
	runLimit = 55 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	var path string
	p := flaggy.NewParser("demo")
	p.Description = "load and report of make demo"
	p.String(&path, "p", "plan", "plan of the run (JSON)")
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
	ctx, cancel := context.WithTimeout(ctx, runLimit)
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

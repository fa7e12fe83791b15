// Command baobabquayd is the entry daemon: it takes jobs and requests from
// callers, places the jobs on workers and sends the requests to endpoints. All
// instances are alike.
//
// Usage:
//
//	baobabquayd --settings instance.ini
//
// SIGTERM and SIGINT begin a planned stop. A second signal ends the process at
// once. The exit code is 0 after a planned stop that cut nothing off, 1 after
// a failure and 2 for wrong usage.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/baobabquay/baobabquay/internal/daemon"
	"github.com/go-logr/logr"
	"github.com/integrii/flaggy"
)

const (
	exitOK = iota
	exitFailed
	exitUsage
)

func main() { os.Exit(run()) }

func run() int {
	var path string
	p := flaggy.NewParser("baobabquayd")
	p.Description = "entry daemon of baobabquay"
	p.String(&path, "s", "settings", "settings file of this instance (INI)")
	if err := p.Parse(); err != nil || path == "" {
		fmt.Fprintln(os.Stderr, "baobabquayd: --settings FILE is required")
		return exitUsage
	}
	settings, err := daemon.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "baobabquayd:", err)
		return exitUsage
	}
	if err := serve(settings); err != nil {
		fmt.Fprintln(os.Stderr, "baobabquayd:", err)
		return exitFailed
	}
	return exitOK
}

// serve runs the instance until the first signal and stops it. The second
// signal ends the process.
func serve(s daemon.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	app := daemon.New(s, logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, nil)))
	if err := app.Start(context.Background()); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-signals
	go func() {
		<-signals
		os.Exit(exitFailed)
	}()
	if err := app.Stop(context.Background()); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

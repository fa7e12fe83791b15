// Command baobabquayd is the entry daemon. It accepts jobs and requests from
// callers, places the jobs on workers and forwards the requests to endpoints. All
// instances are equal; none has a fixed role.
//
// Usage:
//
//	baobabquayd --settings instance.ini
//	baobabquayd --platform [--settings instance.ini]
//
// With --platform, the instance runs on the platform of the users and schedules
// jobs with several steps on its workers. The default settings file is then the one
// named by the environment variable BAOBABQUAY_CONFIG. Without --platform, the
// instance uses the protocol of command standin, which simulates a platform with its
// workers and endpoints.
//
// With --platform, SIGHUP makes the instance read the settings again and log
// whether they have changed; changes take effect at the next start. SIGTERM and
// SIGINT begin a planned stop, and a second signal ends the process immediately.
// The exit code is 0 after a planned stop, 1 after a failure or a second signal, and
// 2 for invalid usage or settings. Without --platform, a planned stop fails if it
// interrupts work in flight. With --platform, it does not: the log then has the event
// instanceEnded with cutOff true.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/baobabquay/baobabquay/internal/daemon"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/node"
	"github.com/go-logr/logr"
	"github.com/integrii/flaggy"
	"go.uber.org/fx"
)

const (
	exitOK = iota
	exitFailed
	exitUsage
)

// settingsEnvVar is the environment variable that names the default settings file
// with --platform.
const settingsEnvVar = "BAOBABQUAY_CONFIG"

func main() { os.Exit(run()) }

func run() int {
	var path string
	var onPlatform bool
	p := flaggy.NewParser("baobabquayd")
	p.Description = "entry daemon of baobabquay"
	p.String(&path, "s", "settings", "settings file of this instance (INI)")
	p.Bool(&onPlatform, "p", "platform", "run on the platform")
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "baobabquayd:", err)
		return exitUsage
	}
	if path == "" && onPlatform {
		path = os.Getenv(settingsEnvVar)
	}
	if path == "" {
		fmt.Fprintln(os.Stderr, "baobabquayd: --settings FILE is required")
		return exitUsage
	}
	if onPlatform {
		return runOnPlatform(path)
	}
	settings, err := daemon.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "baobabquayd:", err)
		return exitUsage
	}
	return exitCode(serve(daemon.New(settings, logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, nil)))))
}

func runOnPlatform(path string) int {
	settings, err := node.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "baobabquayd:", err)
		return exitUsage
	}
	sink := event.NewSink(os.Stdout)
	defer sink.Close()
	logger := sink.Logger()
	// Without a handler, SIGHUP would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			node.CheckSettings(settings, path, event.New(logger))
		}
	}()
	return exitCode(serve(node.New(settings, sink)))
}

func exitCode(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, "baobabquayd:", err)
		return exitFailed
	}
	return exitOK
}

// serve runs the instance until the first signal and then stops it. A second
// signal during the stop ends the process immediately.
func serve(app *fx.App) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
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

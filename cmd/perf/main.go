// Command perf compares the throughput of an entry instance with that of a
// plain forwarding handler. The script scripts/perf starts the processes that
// it needs.
//
// Usage:
//
//	perf forward --listen 127.0.0.1:7000 --endpoint 127.0.0.1:7101 --endpoint 127.0.0.1:7102
//	perf requests --plain 127.0.0.1:7000 --plainProcess 100 --instance 127.0.0.1:7001 \
//		--instanceProcess 101 --service fontCheck --key KEY \
//		--config base.ini --config overlay.ini
//
// The subcommand forward runs the plain handler. The subcommand requests
// applies the configuration to the instance, which must not have one yet,
// measures both and prints the report.
package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/baobabquay/baobabquay/internal/inifmt"
	"github.com/baobabquay/baobabquay/internal/perf"
	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

const (
	// readHeaderTimeout closes connections on which no request header arrives.
	readHeaderTimeout = 10 * time.Second
	// runTimeout limits the duration of a run, so that it ends without a signal.
	runTimeout = 5 * time.Minute
)

var errNoConfig = errors.New("--config is required")

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "perf:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var (
		listen    netip.AddrPort
		endpoints []string
		files     []string
		settings  = perf.Settings{Rounds: 7, Threads: 32, Duration: 2 * time.Second, BodySize: 1024}
	)
	forward := flaggy.NewSubcommand("forward")
	forward.Description = "run the plain forwarding handler"
	forward.NetipAddrPort(&listen, "", "listen", "address to listen on")
	forward.StringSlice(&endpoints, "", "endpoint", "address of an endpoint (repeatable)")
	requests := flaggy.NewSubcommand("requests")
	requests.Description = "measure both handlers in alternating order and print the ratio of their throughputs"
	requests.NetipAddrPort(&settings.Plain, "", "plain", "address of the plain handler")
	requests.NetipAddrPort(&settings.Instance, "", "instance", "address of the entry instance")
	requests.Int(&settings.PlainPID, "", "plainProcess", "process id of the plain handler")
	requests.Int(&settings.InstancePID, "", "instanceProcess", "process id of the entry instance")
	requests.String(&settings.Service, "", "service", "name of the service")
	requests.String(&settings.Key, "", "key", "key of the workspace")
	requests.StringSlice(&files, "", "config", "file of the base configuration, then of each overlay (repeatable)")
	requests.Int(&settings.Rounds, "", "rounds", "number of rounds")
	requests.Int(&settings.Threads, "", "threads", "number of concurrent requests")
	requests.Duration(&settings.Duration, "", "for", "duration of one measurement")
	requests.Int(&settings.BodySize, "", "body", "size of a request body in bytes")
	p := flaggy.NewParser("perf")
	p.AttachSubcommand(forward, 1)
	p.AttachSubcommand(requests, 1)
	if err := p.ParseArgs(args); err != nil {
		return fmt.Errorf("parse flags: %w", err)
	}
	if forward.Used {
		return serve(listen, endpoints)
	}
	return measure(settings, files)
}

// serve runs the plain handler.
func serve(listen netip.AddrPort, endpoints []string) error {
	var addresses []netip.AddrPort
	for _, text := range endpoints {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("parse address of endpoint: %w", err)
		}
		addresses = append(addresses, address)
	}
	server := &http.Server{
		Addr: listen.String(), Handler: perf.NewForwarder(addresses), ReadHeaderTimeout: readHeaderTimeout,
	}
	if err := server.ListenAndServe(); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// measure applies the configuration, runs the measurements and prints the
// report.
func measure(settings perf.Settings, files []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if err := apply(ctx, settings.Instance, files); err != nil {
		return err
	}
	rounds, err := perf.Run(ctx, settings)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	fmt.Print(perf.Render(rounds))
	return nil
}

// apply merges the files and applies the result as the first configuration of
// the instance.
func apply(ctx context.Context, instance netip.AddrPort, files []string) error {
	var sources []inifmt.Source
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read configuration: %w", err)
		}
		sources = append(sources, inifmt.Source{File: file, Text: string(text)})
	}
	if len(sources) == 0 {
		return errNoConfig
	}
	merged, err := inifmt.Read(ctx, sources[0], sources[1:]...)
	if err != nil {
		return fmt.Errorf("merge configuration: %w", err)
	}
	c := client.New(client.Settings{Servers: []netip.AddrPort{instance}})
	defer c.Close()
	if _, err := c.ApplyConfig(ctx, wire.ConfigChange{Text: inifmt.Write(merged.Config)}); err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	return nil
}

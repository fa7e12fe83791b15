// Command perf compares an entry instance with a plain forwarding handler.
// The script scripts/perf starts what it needs.
//
// Usage:
//
//	perf forward --listen 127.0.0.1:7000 --endpoint 127.0.0.1:7101 --endpoint 127.0.0.1:7102
//	perf requests --plain 127.0.0.1:7000 --plainProcess 100 --instance 127.0.0.1:7001 \
//		--instanceProcess 101 --service fontCheck --key KEY \
//		--config base.ini --config overlay.ini
//
// The instance must not have a configuration yet.
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
	// readHeaderTimeout ends connections that send no request.
	readHeaderTimeout = 10 * time.Second
	// runLimit bounds a run, so that it ends by itself.
	runLimit = 5 * time.Minute
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
		s         = perf.Settings{Rounds: 7, Threads: 32, Duration: 2 * time.Second, BodySize: 1024}
	)
	forward := flaggy.NewSubcommand("forward")
	forward.Description = "plain forwarding handler"
	forward.NetipAddrPort(&listen, "", "listen", "address to listen on")
	forward.StringSlice(&endpoints, "", "endpoint", "address of an endpoint, several times")
	requests := flaggy.NewSubcommand("requests")
	requests.Description = "load in rounds that alternate, and the ratio"
	requests.NetipAddrPort(&s.Plain, "", "plain", "address of the plain handler")
	requests.NetipAddrPort(&s.Instance, "", "instance", "address of the entry instance")
	requests.Int(&s.PlainPID, "", "plainProcess", "process id of the plain handler")
	requests.Int(&s.InstancePID, "", "instanceProcess", "process id of the entry instance")
	requests.String(&s.Service, "", "service", "name of the service")
	requests.String(&s.Key, "", "key", "key of the workspace")
	requests.StringSlice(&files, "", "config", "base and overlays, each with this flag")
	requests.Int(&s.Rounds, "", "rounds", "number of rounds")
	requests.Int(&s.Threads, "", "threads", "requests on their way at a time")
	requests.Duration(&s.Duration, "", "for", "time of one measurement")
	requests.Int(&s.BodySize, "", "body", "size of a body in bytes")
	p := flaggy.NewParser("perf")
	p.AttachSubcommand(forward, 1)
	p.AttachSubcommand(requests, 1)
	if err := p.ParseArgs(args); err != nil {
		return fmt.Errorf("parse flags: %w", err)
	}
	if forward.Used {
		return serve(listen, endpoints)
	}
	return measure(s, files)
}

func serve(listen netip.AddrPort, endpoints []string) error {
	var addresses []netip.AddrPort
	for _, text := range endpoints {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("parse address of endpoint: %w", err)
		}
		addresses = append(addresses, a)
	}
	server := &http.Server{
		Addr: listen.String(), Handler: perf.NewForwarder(addresses), ReadHeaderTimeout: readHeaderTimeout,
	}
	if err := server.ListenAndServe(); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func measure(s perf.Settings, files []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	if err := apply(ctx, s.Instance, files); err != nil {
		return err
	}
	rounds, err := perf.Run(ctx, s)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	fmt.Print(perf.Render(rounds))
	return nil
}

// apply puts the first configuration in force.
func apply(ctx context.Context, instance netip.AddrPort, files []string) error {
	var sources []inifmt.Source
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return fmt.Errorf("read configuration: %w", err)
		}
		sources = append(sources, inifmt.Source{File: f, Text: string(text)})
	}
	if len(sources) == 0 {
		return errNoConfig
	}
	r, err := inifmt.Read(ctx, sources[0], sources[1:]...)
	if err != nil {
		return fmt.Errorf("merge configuration: %w", err)
	}
	c := client.New(client.Settings{Servers: []netip.AddrPort{instance}})
	defer c.Close()
	if _, err := c.ApplyConfig(ctx, wire.ConfigChange{Text: inifmt.Write(r.Config)}); err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	return nil
}

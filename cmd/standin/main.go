package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
)

type (
	// options are the flags of all subcommands.
	options struct {
		listen   netip.AddrPort
		platform netip.AddrPort
		lag      time.Duration
		delay    time.Duration
		drain    time.Duration

		domain, region, service string
		racks, perRack          int
		accelerators            int
		processors              int
		memory                  string
		count, slots            int
		maxConnections          int
	}

	// command is one subcommand.
	command struct {
		flags *flaggy.Subcommand
		run   func(ctx context.Context, o *options) error
	}
)

// shutdownTimeout limits the time in which a stopping process completes the
// requests in flight.
const shutdownTimeout = 30 * time.Second

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	o := &options{
		lag: 2 * time.Second, drain: 3 * time.Second,
		racks: 1, perRack: 8, memory: "256GiB", count: 1, slots: 8, maxConnections: 60,
	}
	commands := []command{platformCommand(o), workersCommand(o), endpointsCommand(o)}
	p := flaggy.NewParser("standin")
	p.Description = "simulation of the platform"
	p.DisableShowVersionWithVersion()
	for _, c := range commands {
		p.AttachSubcommand(c.flags, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return fmt.Errorf("parse flags: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, c := range commands {
		if c.flags.Used {
			return c.run(ctx, o)
		}
	}
	p.ShowHelp()
	return nil
}

func newCommand(o *options, name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.NetipAddrPort(&o.listen, "", "listen", "address of the control calls and, for platform, of its services")
	return s
}

func platformCommand(o *options) command {
	s := newCommand(o, "platform", "table service, object store and list of instances")
	s.Duration(&o.lag, "", "lag", "delay after which readers see a change of the list of instances")
	return command{s, runPlatform}
}

func workersCommand(o *options) command {
	s := newCommand(o, "workers", "many workers, one port each")
	s.NetipAddrPort(&o.platform, "", "platform", "address of the platform")
	s.Duration(&o.lag, "", "lag", "delay of usage reports")
	s.String(&o.domain, "", "domain", "failure domain")
	s.Int(&o.racks, "", "racks", "number of racks")
	s.Int(&o.perRack, "", "perRack", "number of workers in a rack")
	s.Int(&o.accelerators, "", "accelerators", "number of accelerators of a worker")
	s.Int(&o.processors, "", "processors", "number of processors of a worker")
	s.String(&o.memory, "", "memory", "memory of a worker, in MiB or GiB")
	return command{s, runWorkers}
}

func endpointsCommand(o *options) command {
	s := newCommand(o, "endpoints", "many endpoints, one port each")
	s.NetipAddrPort(&o.platform, "", "platform", "address of the platform")
	s.Duration(&o.delay, "", "delay", "time to answer a request")
	s.Duration(&o.drain, "", "drain", "time for which a stopping endpoint is listed as leaving")
	s.String(&o.service, "", "service", "name of the service")
	s.String(&o.domain, "", "domain", "failure domain")
	s.String(&o.region, "", "region", "region of the failure domain")
	s.Int(&o.count, "", "count", "number of endpoints")
	s.Int(&o.slots, "", "slots", "maximum number of concurrent requests of an endpoint")
	s.Int(&o.maxConnections, "", "connections", "maximum number of connections of an endpoint")
	return command{s, runEndpoints}
}

package main

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/pkg/errors"
)

type (
	// process is a set of servers that end together.
	process struct {
		list    plat.List
		servers []*fakes.Server
		members sync.WaitGroup
		// leave ends the registration of the members.
		leave   context.CancelFunc
		leaving context.Context
	}

	// member is a worker or an endpoint with a port of its own.
	member struct {
		at          netip.AddrPort
		connections int
		handler     http.Handler
		changed     <-chan struct{}
		instance    func() plat.Instance
	}
)

// dialLimit bounds the time to connect to the platform.
const dialLimit = time.Second

var errPorts = errors.New("not enough ports above the listening one")

func newProcess(o *options) *process {
	p := &process{list: plat.Instances(o.platform, plat.NewClient(dialLimit))}
	p.leaving, p.leave = context.WithCancel(context.Background())
	return p
}

// listen adds a server.
func (p *process) listen(at netip.AddrPort, connections int, h http.Handler) error {
	s, err := fakes.Listen(at, connections, h)
	if err != nil {
		return fmt.Errorf("start server: %w", err)
	}
	p.servers = append(p.servers, s)
	return nil
}

// join serves m and keeps it on the platform's list until the process stops.
func (p *process) join(m member) error {
	if err := p.listen(m.at, m.connections, m.handler); err != nil {
		return err
	}
	p.members.Go(func() { fakes.Register(p.leaving, p.list, m.changed, m.instance) })
	return nil
}

// wait blocks until ctx ends, takes the members off the list and then ends the
// servers after their requests in flight.
func (p *process) wait(ctx context.Context) error {
	<-ctx.Done()
	p.leave()
	p.members.Wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	results := make(chan error, len(p.servers))
	for _, s := range p.servers {
		go func() { results <- s.Close(ctx) }()
	}
	var first error
	for range p.servers {
		if err := <-results; err != nil && first == nil {
			first = fmt.Errorf("stop: %w", err)
		}
	}
	return first
}

// portAfter returns the address n ports above a.
func portAfter(a netip.AddrPort, n int) (netip.AddrPort, error) {
	port := int(a.Port()) + n
	if port > math.MaxUint16 {
		return netip.AddrPort{}, fmt.Errorf("port %d: %w", port, errPorts)
	}
	return netip.AddrPortFrom(a.Addr(), uint16(port)), nil
}

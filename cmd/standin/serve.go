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
	// serverGroup is the set of all servers of the process, which are stopped
	// together.
	serverGroup struct {
		list          plat.List
		servers       []*fakes.Server
		registrations sync.WaitGroup
		// deregister ends registrationCtx, and with it the registration of all
		// stand-ins in the platform's list of instances.
		deregister      context.CancelFunc
		registrationCtx context.Context
	}

	// standIn is a simulated worker or endpoint with a port of its own.
	standIn struct {
		address        netip.AddrPort
		maxConnections int
		handler        http.Handler
		// changed receives a value when the result of instance has changed. It
		// is nil if the result never changes.
		changed <-chan struct{}
		// instance returns the entry in the platform's list of instances.
		instance func() plat.Instance
	}
)

// dialTimeout limits the time to connect to the platform.
const dialTimeout = time.Second

var errPortRange = errors.New("not enough ports above the port of --listen")

func newServerGroup(o *options) *serverGroup {
	g := &serverGroup{list: plat.Instances(o.platform, plat.NewClient(dialTimeout))}
	g.registrationCtx, g.deregister = context.WithCancel(context.Background())
	return g
}

// listen starts a server for h. A maxConnections of 0 means no limit.
func (g *serverGroup) listen(address netip.AddrPort, maxConnections int, h http.Handler) error {
	s, err := fakes.Listen(address, maxConnections, h)
	if err != nil {
		return fmt.Errorf("start server: %w", err)
	}
	g.servers = append(g.servers, s)
	return nil
}

// add starts the server of s and keeps s in the platform's list of instances
// until the process stops.
func (g *serverGroup) add(s standIn) error {
	if err := g.listen(s.address, s.maxConnections, s.handler); err != nil {
		return err
	}
	g.registrations.Go(func() { fakes.Register(g.registrationCtx, g.list, s.changed, s.instance) })
	return nil
}

// wait blocks until ctx ends, then removes the stand-ins from the platform's
// list of instances, and then stops the servers once their requests in flight
// are complete.
func (g *serverGroup) wait(ctx context.Context) error {
	<-ctx.Done()
	g.deregister()
	g.registrations.Wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	results := make(chan error, len(g.servers))
	for _, s := range g.servers {
		go func() { results <- s.Close(ctx) }()
	}
	var firstErr error
	for range g.servers {
		if err := <-results; err != nil && firstErr == nil {
			firstErr = fmt.Errorf("stop server: %w", err)
		}
	}
	return firstErr
}

// addressAfter returns a with its port increased by n.
func addressAfter(a netip.AddrPort, n int) (netip.AddrPort, error) {
	port := int(a.Port()) + n
	if port > math.MaxUint16 {
		return netip.AddrPort{}, fmt.Errorf("port %d: %w", port, errPortRange)
	}
	return netip.AddrPortFrom(a.Addr(), uint16(port)), nil
}

package relay

import (
	"context"
	"fmt"
	"sync"
)

type (
	// gauge counts the callers that wait and the flights on their way.
	gauge struct {
		mu       sync.Mutex
		calls    int
		flights  int
		stopping bool
		// idle is closed when both counts are 0; nil if nobody waits.
		idle chan struct{}
	}
)

// Drain refuses new requests with NotRun and waits until no request is in
// flight. Callers that ask for a request which is in flight or remembered are
// still answered. The error tells how many requests were left when ctx ended.
func (r *Relay) Drain(ctx context.Context) error {
	r.busy.stop()
	if err := r.calls.Guards.Wait(ctx); err != nil {
		return fmt.Errorf("drain with %d requests in flight: %w", r.InFlight(), err)
	}
	return nil
}

// InFlight returns the number of requests on their way.
func (r *Relay) InFlight() int {
	r.busy.mu.Lock()
	defer r.busy.mu.Unlock()
	return r.busy.flights
}

func (g *gauge) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

func (g *gauge) wait(ctx context.Context) error {
	idle := g.whenIdle()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	// Both may have come at once; then nothing is in flight.
	select {
	case <-idle:
		return nil
	default:
		return fmt.Errorf("waiting for requests in flight: %w", ctx.Err())
	}
}

func (g *gauge) whenIdle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.signal()
	return idle
}

func (g *gauge) enterCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
}

func (g *gauge) leaveCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls--
	g.signal()
}

// enterFlight reports whether a new request may start.
func (g *gauge) enterFlight() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return false
	}
	g.flights++
	return true
}

func (g *gauge) leaveFlight() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flights--
	g.signal()
}

// signal tells the waiting threads when nothing is in flight.
func (g *gauge) signal() {
	if g.calls+g.flights == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

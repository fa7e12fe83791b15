package relay

import (
	"context"
	"fmt"
	"sync"
)

type (
	// inFlightCounter counts the calls of Do and the flights that have not
	// ended.
	inFlightCounter struct {
		mu       sync.Mutex
		calls    int
		flights  int
		stopping bool
		// idle is closed when both counts are 0. It is nil if no caller of
		// waitIdle is waiting.
		idle chan struct{}
	}
)

// Drain answers new requests with NotRun and waits until no request is in
// flight. Callers that submit a request which is in flight, or whose answer is
// retained, are still answered. If ctx ends first, the error contains the number
// of requests that are still in flight.
func (r *Relay) Drain(ctx context.Context) error {
	r.inFlight.stop()
	if err := r.calls.Guards.Wait(ctx); err != nil {
		return fmt.Errorf("drain with %d requests in flight: %w", r.InFlight(), err)
	}
	return nil
}

// InFlight returns the number of requests in flight.
func (r *Relay) InFlight() int {
	r.inFlight.mu.Lock()
	defer r.inFlight.mu.Unlock()
	return r.inFlight.flights
}

func (c *inFlightCounter) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

func (c *inFlightCounter) waitIdle(ctx context.Context) error {
	idle := c.idleChannel()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	// If both channels were ready, select chose one at random; an idle relay is
	// not an error.
	select {
	case <-idle:
		return nil
	default:
		return fmt.Errorf("waiting for requests in flight: %w", ctx.Err())
	}
}

// idleChannel returns a channel that is closed when no request is in flight.
func (c *inFlightCounter) idleChannel() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.signalIdle()
	return idle
}

func (c *inFlightCounter) beginCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
}

func (c *inFlightCounter) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.signalIdle()
}

// beginFlight counts a new flight. It reports false, and counts nothing, if the
// relay is stopping.
func (c *inFlightCounter) beginFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return false
	}
	c.flights++
	return true
}

func (c *inFlightCounter) endFlight() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flights--
	c.signalIdle()
}

// signalIdle closes the idle channel if both counts are 0. The caller must hold
// c.mu.
func (c *inFlightCounter) signalIdle() {
	if c.calls+c.flights == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

package fakes

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type (
	// FaultKind is the effect of a fault on a call.
	FaultKind string

	// Fault is a fault of a stand-in other than an Endpoint.
	Fault struct {
		Kind FaultKind
		// Delay is the delay of a Slow call, and the age of the state that Stale
		// reads return.
		Delay time.Duration
		// Next, if positive, limits the fault to that number of writes; a Stale
		// fault then affects reads until they have been made. Otherwise the fault
		// applies to all calls until it is cleared.
		Next int
	}

	// Faults is the set of active faults of a stand-in, at most one of each
	// kind. The zero value is empty.
	Faults struct {
		mu     sync.Mutex
		active []Fault
	}

	// callFault is the combined effect of the active faults on one call.
	callFault struct {
		down  bool
		lost  bool
		delay time.Duration
	}
)

// The kinds of fault.
const (
	// Down makes the call fail without an effect.
	Down FaultKind = "down"
	// Slow delays the effect and the answer of the call.
	Slow FaultKind = "slow"
	// Lost drops the answer of a write that has taken effect.
	Lost FaultKind = "lost"
	// Stale makes reads of the table service return the rows and the version as
	// they were some time ago. Waits for changes, transactions and their checks
	// use the current state.
	Stale FaultKind = "stale"
)

// ErrFault is wrapped by errors about invalid faults.
var ErrFault = errors.New("invalid fault")

// Check returns an error that wraps ErrFault if f is invalid.
func (f Fault) Check() error {
	switch {
	case f.Kind != Down && f.Kind != Slow && f.Kind != Lost && f.Kind != Stale:
		return fmt.Errorf("kind %q, allowed are %s, %s, %s and %s: %w", f.Kind, Down, Slow, Lost, Stale, ErrFault)
	case f.Delay < 0 || f.Next < 0:
		return fmt.Errorf("negative delay or count: %w", ErrFault)
	}
	return nil
}

// Set adds f, which replaces an active fault of the same kind.
func (fs *Faults) Set(f Fault) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.active = slices.DeleteFunc(fs.active, func(o Fault) bool { return o.Kind == f.Kind })
	fs.active = append(fs.active, f)
}

// Clear removes all faults.
func (fs *Faults) Clear() {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.active = nil
}

// Unset removes the fault of the given kind.
func (fs *Faults) Unset(kind FaultKind) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.active = slices.DeleteFunc(fs.active, func(o Fault) bool { return o.Kind == kind })
}

// Stale reports whether reads return an older state.
func (fs *Faults) Stale() bool { return fs.staleness() > 0 }

// staleness returns the age of the state that reads return, 0 if it is current.
func (fs *Faults) staleness() time.Duration {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for i := range fs.active {
		if fs.active[i].Kind == Stale {
			return fs.active[i].Delay
		}
	}
	return 0
}

// consume returns the effect of the faults on one call, and counts a write
// against limited faults.
func (fs *Faults) consume(write bool) callFault {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	var fault callFault
	for i := range fs.active {
		f := &fs.active[i]
		if f.Next > 0 && !write {
			continue
		}
		switch f.Kind {
		case Down:
			fault.down = true
		case Slow:
			fault.delay += f.Delay
		case Lost:
			fault.lost = write
		}
		if f.Next > 0 {
			// -1 marks a fault whose last write has been counted, since 0 means
			// that the fault is not limited.
			if f.Next--; f.Next == 0 {
				f.Next = -1
			}
		}
	}
	fs.active = slices.DeleteFunc(fs.active, func(f Fault) bool { return f.Next < 0 })
	return fault
}

// perform executes effect subject to fault. The effect takes place after the
// delay even if ctx ends earlier. The caller gets the error down if the service
// did not accept the call, and lost if no answer arrives.
func perform[T any](ctx context.Context, fault callFault, down, lost error, effect func() (T, error)) (T, error) {
	var zero T
	if fault.down {
		return zero, down
	}
	if fault.delay == 0 {
		v, err := effect()
		if fault.lost {
			return zero, lost
		}
		return v, err
	}
	done := make(chan func() (T, error), 1)
	time.AfterFunc(fault.delay, func() {
		v, err := effect()
		done <- func() (T, error) { return v, err }
	})
	select {
	case <-ctx.Done():
		return zero, fmt.Errorf("%w: %w", lost, ctx.Err())
	case result := <-done:
		if fault.lost {
			return zero, lost
		}
		return result()
	}
}

// wait blocks for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	}
}

package pipe

import (
	"context"
	"fmt"
	"time"
)

type (
	// Filter is one named step of a chain.
	Filter[T any] struct {
		Name string
		// Do performs the step on v. An error ends the run of the chain.
		Do func(ctx context.Context, v T) error
	}

	// Chain is a sequence of filters. It is safe for concurrent use if Observe
	// is not changed after the first call of Run.
	Chain[T any] struct {
		// Observe, if not nil, is called after each step with the time that the
		// step took and its error.
		Observe func(step string, took time.Duration, err error)

		name    string
		filters []Filter[T]
	}

	// StepError is the error of a run, with the chain and the step at which it
	// ended.
	StepError struct {
		Chain string
		Step  string
		Err   error
	}
)

// New returns a chain with the given name and filters.
func New[T any](name string, filters ...Filter[T]) *Chain[T] {
	return &Chain[T]{name: name, filters: filters}
}

// Run runs the filters on v in order. It returns nil if all of them succeed, and
// otherwise a *StepError with the error of the first one that fails. If ctx is
// done before a step, the run ends at that step with the error of ctx, and the
// step is not performed.
func (c *Chain[T]) Run(ctx context.Context, v T) error {
	for _, f := range c.filters {
		if err := ctx.Err(); err != nil {
			return &StepError{Chain: c.name, Step: f.Name, Err: err}
		}
		start := time.Now()
		err := f.Do(ctx, v)
		if c.Observe != nil {
			c.Observe(f.Name, time.Since(start), err)
		}
		if err != nil {
			return &StepError{Chain: c.name, Step: f.Name, Err: err}
		}
	}
	return nil
}

// Steps returns the names of the filters in order.
func (c *Chain[T]) Steps() []string {
	names := make([]string, 0, len(c.filters))
	for _, f := range c.filters {
		names = append(names, f.Name)
	}
	return names
}

// Error returns a message with the chain, the step and the cause.
func (e *StepError) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Chain, e.Step, e.Err)
}

// Unwrap returns the error of the filter or of the context.
func (e *StepError) Unwrap() error { return e.Err }

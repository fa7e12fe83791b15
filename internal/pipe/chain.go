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
		// Do performs the step on v. An error ends the chain.
		Do func(ctx context.Context, v T) error
	}

	// Chain is a sequence of filters. It is safe for concurrent use once
	// Observe is set.
	Chain[T any] struct {
		// Observe, if not nil, is called after each step.
		Observe func(step string, took time.Duration, err error)

		name    string
		filters []Filter[T]
	}

	// StepError tells at which step of which chain an error ended the run.
	StepError struct {
		Chain string
		Step  string
		Err   error
	}
)

// New returns a chain of the given name and filters.
func New[T any](name string, filters ...Filter[T]) *Chain[T] {
	return &Chain[T]{name: name, filters: filters}
}

// Run passes v through the filters in order. It returns nil when all of them
// did, and otherwise a *StepError with the error of the first that failed.
// A context that ends between two steps ends the run at the next step.
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

// Error returns the chain, the step and the cause.
func (e *StepError) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Chain, e.Step, e.Err)
}

// Unwrap returns the filter's error.
func (e *StepError) Unwrap() error { return e.Err }

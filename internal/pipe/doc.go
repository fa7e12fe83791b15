// Package pipe builds the paths of the system from filters.
//
// A filter takes one value, does one step and passes the value on. A chain
// runs its filters in order and ends at the first one that returns an error.
// The request path, the submit path, the placement path and the configuration
// path are chains, so that each step has a name in logs and metrics and can be
// tested alone.
//
// # Usage
//
//	c := pipe.New("submit",
//		pipe.Filter[*submission]{Name: "identify", Do: identify},
//		pipe.Filter[*submission]{Name: "validate", Do: validate},
//		pipe.Filter[*submission]{Name: "record", Do: record},
//	)
//	c.Observe = func(step string, took time.Duration, err error) { ... }
//	err := c.Run(ctx, s)
//
// The error names the chain and the step and wraps the filter's error.
package pipe

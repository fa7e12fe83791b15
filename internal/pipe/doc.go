// Package pipe runs a sequence of processing steps on one value.
//
// A filter performs one step. A chain runs its filters in order on the same value
// and stops at the first one that returns an error. The request path, the submit
// path, the placement path and the configuration path are chains, so that each
// step has a name in logs and metrics and can be tested in isolation.
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

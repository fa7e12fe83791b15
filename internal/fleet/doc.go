// Package fleet holds what a shard owner knows of its workers and finds places
// for gangs on them.
//
// # Usage
//
//	slots, ok := fleet.Fit(workers, spec.Shape, nil)
//
// Fit prefers the place that leaves the least free beside the gang, so that
// whole workers and racks stay free for large gangs. It never changes its
// arguments.
package fleet

// Package fleet describes the workers of a shard, as the shard owner knows them,
// tracks the workers on which tasks fail, and finds placements for gangs on them.
//
// # Usage
//
//	slots, ok := fleet.Fit(workers, spec.Shape, nil)
//
// Fit prefers the placement that leaves the least free capacity beside the gang,
// so that whole workers and racks remain free for large gangs. It never changes
// its arguments.
package fleet

// Package plan decides which waiting tasks start where, and which running ones
// make room for them.
//
// Decide takes the waiting units of all jobs and the pool, and returns starts
// and stops. It keeps what it decided in the pool: a start reserves its room,
// and a stop counts its room as leaving.
//
// # Order and reclaim
//
// Urgent jobs (priority 0) come first and may stop others. Among the others,
// those that can still be in time precede those that are late, then the
// priority and the deadline decide. A unit that fits nowhere is passed over, so
// that smaller ones behind it use the room.
//
// A workspace's guarantee is a number of accelerators for its urgent jobs. To
// make room for an urgent unit, the units on one rack that lose the least work
// are stopped: those of lower priority, and urgent ones of workspaces that use
// more than their guarantee.
//
// # Usage
//
//	d := plan.Decide(now, &plan.View{Pool: pool, Waiting: units, Placed: placed, Guarantees: g})
//	for _, s := range d.Stops { ... }
//	for _, s := range d.Starts { ... }
package plan

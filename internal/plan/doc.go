// Package plan decides which waiting units start on which workers, and which
// running ones are preempted for them.
//
// Decide takes the waiting units of all jobs and the pool, and returns starts
// and stops. It records its decisions in the pool: a start reserves capacity,
// and the capacity of a stopped unit is counted as stopping.
//
// # Order and preemption
//
// Units that can still meet their deadline precede those that cannot. Within
// each of the two groups, units of urgent jobs (priority 0) come first, and then
// priority and deadline decide; where run times are learned, units of a priority that
// are expected to miss their deadline come last of those that can still meet it. A unit that fits nowhere is skipped, so that
// smaller units behind it can use the free capacity.
//
// Only units of urgent jobs preempt others. The search takes the units on one
// rack that lose the least work, or units of all racks if no rack suffices. It
// may stop units of jobs that are not urgent. For a unit within the guarantee of
// its workspace, it may also stop urgent units of other workspaces that use more
// than their guarantee. A workspace's guarantee is a number of accelerators for
// its urgent jobs.
//
// Urgent gangs often come in quick succession. The accelerators that urgent units
// have used within the last four seconds and do not use now are kept free for the
// next ones: other units that were placed there would soon be preempted.
//
// # Usage
//
//	d := plan.Decide(now, &plan.View{Pool: pool, Waiting: units, Placements: placements, ...})
//	for _, s := range d.Stops { ... }
//	for _, s := range d.Starts { ... }
package plan

// Package bench measures scheduling policies in virtual time.
//
// A world has the shards of one user, small fake workers, and a queue of jobs
// that arrive, fail and are cancelled. It calls Policy.Decide as a shard owner
// does and carries the actions out after the delays that starts, checkpoints
// and stops have. Nothing depends on the clock of the machine: a run is a
// function of the workload, the policy and the seed.
//
// The guarantees are checked by code of this package that shares nothing with
// the packages under measurement, so that a fault there is not hidden by
// itself.
//
// # Usage
//
//	sample := bench.Run(bench.Workloads()[0], sched.Default(), 1)
//	fmt.Println(sample.Values["urgentWaitP99"])
//
// Report runs all workloads, policies and seeds and returns the figures with
// their medians and ranges.
package bench

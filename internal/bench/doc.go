// Package bench measures scheduling policies in a simulation with virtual time.
//
// A simulation has the shards of one cluster, simulated workers, and jobs that
// arrive, fail and are cancelled. It calls Policy.Decide as a shard owner does
// and applies the returned actions, with delays for starting, checkpointing and
// stopping a gang. The result depends only on the workload, the policy and the
// seed, and not on the clock of the machine.
//
// A claim is a guaranteed shape of a workspace, with the number of gangs of
// this shape that a failure domain must be able to run at the same time. The
// configuration assigns each guaranteed shape to such a domain, its home.
//
// The checks of the guarantees share no logic with the packages under
// measurement, so that a fault in those packages cannot hide its own effects.
//
// # Usage
//
//	sample := bench.Run(bench.Workloads()[0], sched.Default(), 1)
//	fmt.Println(sample.Values["urgentWaitP99"])
//
// RunAll runs all workloads, policies and seeds and returns a Report with the
// values, their medians and their ranges.
package bench

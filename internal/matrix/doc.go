// Package matrix tests every step of the system against every fault and checks
// the promises to its users against the logs of the stand-ins of package fakes.
//
// A cell of the matrix is a step together with one fault, the same fault twice,
// or two different faults. Every cell runs the same script of callers and
// operators on a small simulated site: several instances of the real code in
// one process, connected by function fields to each other and to the stand-ins
// for the store, the workers and the endpoints. All of these calls pass through a
// Network. It recognises the calls that perform the step, begins the fault at
// the first of them, and drops, holds, duplicates or delays calls while a fault
// is in effect.
//
// The checker reads only what the stand-ins and the callers logged: starts and
// stops of tasks, executions of requests, answers to callers and commits. It
// does not read the state of the code under test, and its bounds are those of
// the promises.
//
// # Promises
//
//   - P1: an accepted job with a guarantee starts within a bound, counted from
//     the end of faults and of the periods in which its home domain is out of
//     service.
//   - P2: no gang runs with only some of its members for longer than a bound.
//   - P3: no task starts in a domain later than a bound after the domain was
//     taken out of service.
//   - P4: an answer with the outcome done belongs to the caller's own request
//     and is complete.
//   - P5: a request or job that was only ever answered notRun has not run.
//   - P6: a non-idempotent request runs at most once.
//   - P7: no request reaches an endpoint later than a bound after the endpoint
//     began to leave.
//   - P8: a planned stop of an instance cuts no caller off.
//   - P9: an accepted version of the configuration is in force within a bound
//     at every instance that can be reached, and the version of an instance
//     never decreases.
//   - Jobs: an accepted job ends, and ends once.
//
// The bounds are constants of the checker.
//
// # Usage
//
// All code is in test files, so only the tests of this package can call it:
//
//	sim := NewSimulation(Setup{})
//	result := sim.Run(Cell{Step: "reserve", Faults: []string{"kill"}})
//	for _, b := range result.Breaches {
//		fmt.Println(b.Promise, b.Detail)
//	}
//
// Run must be called inside a bubble of testing/synctest. `make matrix` runs
// the whole matrix. It prints one line for each cell with a breach or with a
// fault that never took effect, and a last line with the counts.
package matrix

// Package matrix runs the steps of every path against every fault and checks
// the promises of the design page on the logs of the stand-ins.
//
// A cell is a step and one fault, the same fault twice, or two faults. Each
// cell runs the same script of callers and operators on a small site: several
// instances of the product's own code in one process, connected to stand-ins
// by function fields. All of these calls pass through a Net, which recognises
// the calls of the step, begins the fault at the first of them, and cuts off,
// holds, doubles or delays calls while a fault is in effect.
//
// The checker reads only what the stand-ins logged: starts and stops of
// tasks, executions of requests, answers to callers and commits. It does not
// read the state of the code under test. Its bounds come from the promises.
//
// # Usage
//
//	w := matrix.NewWorld(matrix.Setup{})
//	result := w.Run(matrix.Cell{Step: "reserve", Faults: []string{"kill"}})
//	for _, b := range result.Breaches {
//		fmt.Println(b.Promise, b.Detail)
//	}
//
// Run must be called inside a bubble of testing/synctest. The whole matrix is
// run by `make matrix`, which prints one line a cell that is not clean and a
// last line with the counts.
package matrix

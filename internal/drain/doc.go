// Package drain decides which runs leave a draining worker before the worker does.
//
// A worker that drains says for how long it stays at least. A run that is still there
// when the worker goes is lost, and its task can start elsewhere only after the
// worker's leases have ended, which takes seconds. A run that is stopped in time starts
// elsewhere as soon as its end is listed, from its checkpoint if it makes one.
//
// # Usage
//
//	if drain.Move(run, time.Until(leavesAt)) {
//		// Stop the run. Its task is then placed on another worker.
//	}
package drain

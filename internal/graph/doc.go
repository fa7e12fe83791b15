// Package graph models jobs as graphs of steps and tracks the progress of their
// tasks.
//
// A step is a number of identical tasks that become ready when all tasks of the
// steps it depends on are done. The tasks of a gang start and end together;
// other tasks are independent of each other. A timed job repeats its graph;
// each repetition is an occurrence.
//
// The package is a pure state machine: it determines which tasks are ready, how
// the end of a run changes the progress and in which phase a job is. It does no
// placement and no I/O.
//
// # Usage
//
//	p := graph.NewProgress(job)
//	p.Open(now)
//	for _, u := range p.Ready(100) {
//		u.SetBusy(true)
//	}
//	p.End(graph.TaskID{Job: job.ID, Step: 0, Index: 3}, run, graph.Done, saved)
//	switch p.Phase() {
//	case graph.Completed:
//	}
package graph

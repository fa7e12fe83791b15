// Package graph describes jobs of several steps and the progress of their
// tasks.
//
// A job is a graph of steps. A step is a number of equal tasks that become
// ready when all tasks of the steps before it are done. The tasks of a gang
// start and end together; other tasks are independent of each other. A timed
// job repeats its graph; each repetition is an occurrence.
//
// The package holds decisions only: what is ready, what an end of a run means
// and in which phase a job is. It knows neither workers nor messages.
//
// # Usage
//
//	p := graph.NewProgress(job)
//	for _, u := range p.Ready(now) {
//		u.SetBusy(true)
//	}
//	p.End(graph.TaskID{Job: job.ID, Step: 0, Index: 3}, run, graph.Done, saved)
//	switch p.Phase() {
//	case graph.Completed:
//	}
package graph

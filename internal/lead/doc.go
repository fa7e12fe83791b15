// Package lead implements the leader's scheduler. In each of its terms a
// Scheduler follows the accepted jobs and the platform's list of workers, places
// tasks on workers, starts and stops them, and stores the progress of the jobs.
//
// # Processing of a job
//
//	follow → apply → decide → commit → start → report → apply → commit → publish
//
// The followers of the two tables and the agents of the workers (package agent)
// send events to one bounded channel. A single goroutine receives the events,
// applies them to its state, makes the decisions (package plan), and passes
// orders to the agents, which call the workers in goroutines of their own.
// Another goroutine commits the changes to the store. The end of a run is
// acknowledged to its worker, and a final phase published, only after the commit
// that contains it. While the store is not reachable, a job whose end waits for
// its commit is published as running. Of the final phases, only cancelled is
// published at once.
//
// # Take-over by a new leader
//
// A placement is stored before its starts are sent, and a former leader can
// store nothing once the next term has begun. So the stored rows tell a new
// leader which runs may be under way, and on which workers. It takes these runs
// over: the first full report of a worker shows each of them as running, as
// ended, or as lost. Runs on an unreachable worker count as running until their
// leases have expired; all other tasks can be placed at once.
//
// In each term a job has 2^20 run numbers, which start above those of the epochs
// before, so they increase from each leader to the next.
//
// # Usage
//
//	s := lead.New(lead.Deps{Table: table, Feed: feed, Calls: calls, Queues: activeConfig, ...})
//	err := s.Run(ctx, term)
//	status, known := s.Status(id)
package lead

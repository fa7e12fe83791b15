// Package lead runs a term of the leader: it follows the accepted jobs and the
// platform's list of workers, decides what starts where, gives the orders, and
// stores what follows from the ends of runs.
//
// # The path of a job
//
//	follow → apply → decide → launch → order → report → apply → commit → show
//
// Followers and agents write to one bounded channel. A single goroutine takes
// the events, applies them to its state, decides (package plan), and hands
// orders to the agents, which call the workers in goroutines of their own.
// Another goroutine commits what has changed. Ends are acknowledged to a
// worker, and final phases shown, only after the commit that has them.
//
// # Take-over
//
// A new leader reads all rows and every worker that may run something. What
// runs is adopted: whole gangs and single tasks go on, incomplete gangs are
// stopped. Units of jobs that were accepted before are not started until each
// worker has answered under the new epoch, or the leases there have ended,
// since a worker that is out of reach may run them.
//
// Run numbers rise with the epoch, so no start has to be stored.
//
// # Usage
//
//	s := lead.New(lead.Deps{Table: table, Feed: feed, Calls: calls, Queues: keeper, ...})
//	err := s.Run(ctx, term)
//	status, known := s.Status(id)
package lead

// Package agent is the leader's client of a single worker: it sends the worker
// orders to start and stop runs, and reads which runs are there.
//
// An Agent tracks the worker's clock, the end of the leases that it has granted
// and the number up to which run ends are acknowledged. As long as runs are
// expected, its loop keeps one hold call open, which renews the leases and
// returns when a run ends. A worker without runs is not called, unless a start that
// it has not answered may still be on its way.
//
// # Leases
//
// The end of a lease is an instant of the worker's clock. A lease is granted for
// at most Limits.Lease, and ends at most Limits.Bound after the last renewal of
// the leader's own lease. A successor that cannot reach the worker therefore
// knows when all runs there have ended, whatever a former leader does. A
// worker's clock may run slow, and the agent's own clock stands still while its
// instance is suspended. Both make the agent wait longer, never shorter.
//
// # Orders without an answer
//
// A start is retried with the same run number, and a worker carries out each
// number once. If all tries remain unanswered, the run is stopped: a worker
// refuses a start that arrives after the stop of its run. The same is done if a
// later try is refused, since the worker may carry out an earlier try after the
// refusal. Until the stop is answered or the leases have expired, the run may
// exist.
//
// # Generations
//
// Starts belong to generations. A generation ends when its starts are given up: all
// leases of an unresponsive worker have expired, or the worker has restarted. A start
// whose generation has ended is not sent again, since each try would grant a new
// lease, and the fencing token rises if a try may still be on its way.
//
// # Incarnations
//
// A worker may restart under the same name. Each start is an incarnation of the
// worker. The fencing token rises with each incarnation, and the first report of
// an incarnation is partial: the runs of the former one are given up on the next
// report, which shows that the incarnation has seen the token. The list of
// workers may give another address for a worker. The same or a later incarnation
// answers there.
//
// # Usage
//
//	a := agent.New(agent.Deps{Calls: calls, Target: target, Epoch: epoch, Emit: emit, ...})
//	go a.Run(ctx)
//	a.Start(agent.Order{Task: id, Run: 3, Spec: spec})
package agent

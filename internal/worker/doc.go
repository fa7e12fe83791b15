// Package worker describes the calls to a worker and the rules by which a
// worker accepts them.
//
// Agent is the seam: a struct of functions that package plat fills with calls
// over the network and tests fill with a Machine in memory. Machine is the
// worker's side: it keeps reservations and tasks under leases and holds the
// guards that do not trust the caller.
//
// # Guards
//
// A message carries the epoch of the sender's shard lease. A worker refuses an
// epoch lower than the highest it has seen, and Fence raises that epoch.
//
// A start is accepted only with a recent proof that the failure domain is in
// service. Each report carries a tick, an instant of the worker's own clock.
// The owner reads the configuration after it has received a report and echoes
// the tick of that report in Start. The worker so knows, by its own clock
// alone, that the configuration was read after that instant. A paused owner or
// a delayed message echoes an old tick and is refused.
//
// A reservation expires by itself. The first lease of a started task ends when
// its reservation would have, and only Renew, which the owner sends for gangs
// whose members all run, extends it. A lost start therefore ends with all
// members released. Aborted attempts are remembered and a late start of one of
// them is refused.
//
// # Usage
//
//	m := worker.NewMachine(worker.Spec{ID: "w1", Domain: "ub1", Capacity: capacity})
//	agent := m.Agent()
//	report, err := agent.Fence(ctx, worker.Fence{Header: worker.Header{Epoch: 3}})
package worker

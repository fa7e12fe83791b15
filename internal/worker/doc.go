// Package worker defines the calls to a worker and the rules by which a worker
// accepts them.
//
// Agent is the interface to a worker: a struct of functions. Package plat
// implements them as calls over the network, and Simulator implements them in
// memory. Simulator keeps reservations and running attempts under leases and
// enforces the guards, which do not rely on the correctness of the caller.
//
// # Guards
//
// A message carries the epoch of the sender's lease on the shard. A worker
// refuses an epoch lower than the highest it has seen. Fence raises that epoch.
//
// A start is accepted only with a recent start permit, which proves that the
// failure domain was in service. Each report carries the uptime of the worker,
// which is the instant of the report on the worker's own clock. The owner of
// the shard reads the configuration after it has received a report and echoes
// the uptime of that report in Start. This uptime is the permit: it shows by
// the worker's clock alone that the configuration was read after that instant.
// The permit of a paused owner or of a delayed message has an old uptime and is
// refused.
//
// A reservation expires without a message. The first lease of a started attempt
// expires when its reservation would have, and only Renew and Heartbeat extend
// it. The owner extends only the leases of gangs whose members all run, so a gang
// of which one start was lost releases all its members. Ended attempts are
// remembered, and a late start of one of them is refused.
//
// # Usage
//
//	sim := worker.NewSimulator(worker.Spec{ID: "w1", Domain: "ub1", Capacity: capacity})
//	agent := sim.Agent()
//	report, err := agent.Fence(ctx, worker.Fence{Header: worker.Header{Epoch: 3}})
package worker

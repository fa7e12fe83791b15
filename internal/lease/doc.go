// Package lease gives one instance at a time the ownership of a shard.
//
// A shard has two rows. The lease row names the holder and the epoch and
// changes only when the holder changes. The heartbeat row is rewritten by the
// holder each Renewal. Another instance may take the lease when it has seen
// the same version of the heartbeat row for TTL of its own clock, and its
// transaction checks that version, so a renewal that arrives in time always
// wins and no two clocks are compared.
//
// Transactions of the holder check the version of the lease row, which ends
// the writes of a holder that has lost it.
//
// # Usage
//
//	k := lease.NewKeeper(table, "ub1", instance)
//	state, err := k.Step(ctx, time.Now(), rank)
//	if state.Held {
//		txn.Checks = append(txn.Checks, state.Check)
//	}
//
// While the store does not answer, a holder keeps believing that it holds the
// lease: nobody can take it without the store. If only this instance is cut
// off, the workers' refusal of its epoch tells it.
package lease

// Package lease implements the lease by which at most one instance at a time
// owns a shard.
//
// A shard has two rows in the store. The lease row contains the holder and the
// epoch and changes only when the holder changes or releases the lease. The
// holder rewrites the heartbeat row once every RenewInterval. Another instance
// may acquire the lease after it has read the same version of the heartbeat row
// for TTL by its own clock. Its transaction checks that version, so a renewal
// that arrives before it makes it fail, and clocks of different instances are
// never compared.
//
// The transactions of the holder check the version of the lease row, so the
// writes of a holder that has lost the lease fail.
//
// # Usage
//
//	m := lease.NewManager(table, "ub1", instance)
//	state, err := m.Step(ctx, time.Now(), rank)
//	if state.Held {
//		txn.Checks = append(txn.Checks, state.Check)
//	}
//
// While the store does not answer, the holder keeps the lease, because no
// instance can acquire it without the store. If only the holder is cut off from
// the store, it learns that it has lost the lease when workers refuse its epoch.
package lease

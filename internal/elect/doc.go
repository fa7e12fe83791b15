// Package elect elects the leader, the instance that gives orders to the
// workers.
//
// The lease row holds the leader and its epoch. The leader renews the lease; the
// other instances follow the row's table. If the row does not change within the
// lease timeout although the store answers, one of them acquires the lease with
// the next epoch. Instances with a higher latency to the store wait longer, so
// that the leader is near the store.
//
// Safety rests on epochs alone: workers refuse orders of a lower epoch, and the
// leader's transactions fail once its successor has written the sequence row.
// Clocks determine only how soon an unresponsive leader is replaced.
//
// The lease has a table of its own, which the platform keeps apart from the rows
// that callers write. Earlier versions of the program keep it in another row. Each
// acquisition checks and writes that row too, so that leaders of both versions have
// different epochs. Beside instances of an earlier version, one of those leads most
// of the time, since they see no renewals of their row.
//
// # Usage
//
//	e := elect.New(elect.Deps{Table: table, Feed: feed, Self: self, Lead: scheduler.Run, ...})
//	go e.Run(ctx)
//	leader := e.Leader()
package elect

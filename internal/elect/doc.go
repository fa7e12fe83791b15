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
// # Usage
//
//	e := elect.New(elect.Deps{Table: table, Feed: feed, Self: self, Lead: scheduler.Run, ...})
//	go e.Run(ctx)
//	leader := e.Leader()
package elect

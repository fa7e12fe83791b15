// Package elect chooses the leader, the instance that gives orders to the
// workers.
//
// The lease row names the leader and its epoch. The leader renews the row; the
// others follow its table, and when it has not changed for some time although
// the store answers, one of them writes the next epoch. Those far from the
// store wait longer, so that the leader is near the store.
//
// Safety rests on epochs alone. Workers refuse orders of a lower epoch, and the
// leader's transactions fail once the sequence row has been rewritten by its
// successor. Time decides only how soon a silent leader is replaced.
//
// # Usage
//
//	e := elect.New(elect.Deps{Table: table, Feed: feed, Self: self, Lead: scheduler.Run, Log: log})
//	go e.Run(ctx)
//	leader := e.Leader()
package elect

// Package pool tracks the free capacity of workers and selects workers for tasks.
//
// The free capacity of a worker is its capacity less the resources of tasks that
// run or may run there, and less those reserved for tasks that are about to
// start. Choose prefers the rack that stores the input data, and otherwise places
// a SameRack gang on one rack if one has enough free capacity. Workers already in
// use are filled before empty ones (best fit), so that whole workers stay free
// for the tasks that need them.
//
// # Usage
//
//	p := pool.New()
//	p.Put(worker)
//	chosen, near := p.Choose(pool.Request{Count: 5, TaskDemand: demand, SameRack: true, ...})
//	for _, w := range chosen {
//		w.Reserved = w.Reserved.Plus(demand)
//	}
package pool

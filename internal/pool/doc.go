// Package pool keeps the room of workers and chooses workers for tasks.
//
// A worker's room is what its capacity leaves beside what runs there or may
// run there, and beside what is reserved for tasks that are about to start.
// Choose packs tasks into the room: gangs on one rack where one has the room,
// near their data first, and on workers that are already in use before empty
// ones, so that whole workers stay free for the tasks that need them.
//
// # Usage
//
//	p := pool.New()
//	p.Put(worker)
//	chosen, near := p.Choose(pool.Request{Count: 5, Room: room, DataRack: "r1-3", SameRack: true})
//	for _, w := range chosen {
//		w.Reserved = w.Reserved.Plus(room)
//	}
package pool

// Package shard provides a hash map that is split into shards, each under its
// own lock, so that goroutines that access keys of different shards do not block
// each other.
//
// # Usage
//
//	m := shard.New[ident.Request, *flight](16)
//	f, loaded := m.LoadOrStore(id, func() *flight { return newFlight(id) })
//	m.Delete(id)
//
// The functions passed to LoadOrStore and Update run with the shard's lock held.
// They must not block and must not call methods of the map.
package shard

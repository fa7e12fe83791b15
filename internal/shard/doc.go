// Package shard provides a map that is split by key hash into parts, each
// under its own lock, so that threads which work on different keys do not wait
// for each other.
//
// # Usage
//
//	m := shard.New[ident.Request, *flight](16)
//	f, loaded := m.LoadOrStore(id, func() *flight { return newFlight(id) })
//	m.Delete(id)
//
// The functions passed to LoadOrStore and Update run under the part's lock and
// must not block or call the map again.
package shard

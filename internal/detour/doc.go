// Package detour keeps the table service reachable while the direct path from
// this instance to the service fails.
//
// The service may refuse or ignore single instances, or a link to it may be
// cut, while other instances are served. A Detour is a filter before the calls
// of the service that hedges them: each call is made directly and, if no answer
// has arrived after a multiple of the usual latency or if the last direct calls
// failed, also through a peer, which is another instance. The first answer of
// the service counts.
//
// Hedging can deliver two copies of a transaction to the service. All
// transactions that take this path have checks that only one of the copies can
// pass, and their callers treat a conflict as a possible effect of an earlier
// copy. After a conflict the other copy is still waited for, since it may be the
// one that passed.
//
// # Membership
//
// A Directory reads the table "instances", in which each instance keeps its
// address, region and processor limit. A peer forwards a call once, and only to the
// service. From the same rows follows the parent of an instance in the tree of its
// region, along which package tree distributes the operators' table.
//
// # Usage
//
//	directory := detour.NewDirectory(detour.DirectoryDeps{
//		Table: table, Feed: feed, Name: name, Address: address, Leader: leader, Log: log,
//	})
//	go directory.Run(ctx)
//	d := detour.New(detour.Deps{
//		Table: table, Feed: feed, Forward: calls, Log: log,
//		Peers: directory.Peers, PeerFailed: directory.Avoid,
//	})
//	table, feed = d.Table(), d.Feed()
package detour

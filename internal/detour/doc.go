// Package detour reaches the table service through another instance while this
// one cannot reach it itself.
//
// The service may refuse or ignore single instances, or a link to it may be
// cut, while other instances are served. A Detour is a filter before the calls
// of the service: it makes each call directly, and through another instance as
// well if no answer has come after a multiple of the usual time, or if the last
// direct calls failed. The first answer of the service counts.
//
// Two copies of a transaction may reach the service. All transactions that go
// this way have checks that only one of them can pass, and their callers take a
// conflict as a possible effect of an earlier copy. After a conflict the other
// copy is still waited for, since it may have been the one that passed.
//
// # Membership
//
// A Book reads the table "instances", in which each instance keeps its
// address. An instance passes on a call once, and only to the service.
//
// # Usage
//
//	book := detour.NewBook(detour.BookDeps{Table: table, Feed: feed, Name: name, Peer: address, Log: log})
//	go book.Run(ctx)
//	d := detour.New(detour.Deps{Table: table, Feed: feed, Via: calls, Others: book.Others, Log: log})
//	table, feed = d.Table(), d.Feed()
package detour

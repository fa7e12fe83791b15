// Package fakes provides in-memory stand-ins for the services of the platform:
// the table service, the object store, the list of instances, workers and
// endpoints.
//
// A stand-in is called directly, for example under testing/synctest without
// sockets, or over HTTP through the codecs of package plat. Faults are set at
// run time. Each stand-in logs its own events, so that a test can compare the
// behaviour of the system with them.
//
// # Faults
//
// A fault makes calls fail (Down), delays them (Slow), drops the answer after
// the call has taken effect (Lost) or makes reads return an older state
// (Stale). It applies to all calls until it is cleared, or only to the next N
// writes, in which case Down, Slow and Lost do not affect reads. A slow write
// whose caller gives up still takes effect when its delay has passed, as it
// would at a real service.
//
// # Usage
//
//	table := fakes.NewTable()
//	table.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 1})
//	_, err := table.Store().Commit(ctx, txn) // store.ErrUncertain, but written
//
//	srv := httptest.NewServer(fakes.Router(plat.TableRoutes(table.Store())...))
package fakes

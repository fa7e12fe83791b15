// Package site maintains the configuration that is in force at this instance.
//
// A change is accepted when the table service has committed it against the
// version that it was based on. Every instance reads the committed version each
// second, and its peers report the versions that they know. A version is put in
// force only if it is higher than the one before. It is offered to the peers
// first, so that an instance that restarts while the store is unavailable gets
// no lower version from them than it had before.
//
// # Usage
//
//	m := site.NewManager(site.Deps{Table: table, Offer: members.ExchangeNow, Log: log})
//	go m.Run(ctx)
//	c := m.Current()
//	accepted, err := m.Apply(ctx, c.Version, changed)
package site

// Package site keeps the configuration that is in force at this instance.
//
// A change is accepted when the table service has committed it against the
// version it was read at. Every instance reads the row each second and is told
// by its peers. A version is put in force only if it is higher than the one
// before, and is offered to the peers first, so that an instance that restarts
// without the store gets from them no lower version than it had.
//
// # Usage
//
//	k := site.NewKeeper(site.Deps{Table: table, Offer: members.Offer, Log: log})
//	go k.Run(ctx)
//	c := k.Current()
//	accepted, err := k.Apply(ctx, c.Version, changed)
package site

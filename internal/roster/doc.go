// Package roster caches the workers and endpoints in the list of instances that
// the platform provides.
//
// The list can be outdated, so its content is only a starting point: workers are
// asked for their state, and endpoints that leave announce it or refuse
// connections.
//
// # Usage
//
//	r := roster.New(roster.Deps{Read: readList, Update: relay.UpdateEndpoints})
//	go r.Run(ctx)
//	specs := r.Workers("ub1")
package roster

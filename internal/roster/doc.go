// Package roster keeps the workers and endpoints that the platform lists.
//
// The list lags behind the truth. What is read from it is a starting point:
// workers are asked, and endpoints that leave say so or refuse connections.
//
// # Usage
//
//	r := roster.New(roster.Deps{Read: readList, Update: relay.UpdateEndpoints})
//	go r.Run(ctx)
//	specs := r.Workers("ub1")
package roster

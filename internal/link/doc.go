// Package link measures and shares the network between the regions of a site.
//
// The link is slow, shared by all instances and billed by volume. A Counter
// counts the bytes on dialled connections whose other side is in another
// region, by kind of traffic and direction. It counts only the side that
// dials, so that the sum over all instances counts each byte once, without the
// overhead of TCP and IP.
//
// A Gate shares the link among requests: a token bucket for each direction lets
// bulk have a share of the rate, and everything else goes at once. Its decisions
// take the time as a value and wait for nothing themselves.
//
// # Usage
//
//	c := link.NewCounter(link.Deps{Self: "ulaanbaatar", RegionOf: regionOf, Log: log})
//	go c.Run(ctx)
//	client := plat.NewWrappedClient(time.Second, c.Wrap(link.Store))
//
//	g := link.NewGate(settings, time.Now())
//	a := g.Enter(link.Transfer{Size: size, Bulk: true, Deadline: deadline}, time.Now())
//	if a.Verdict == link.Wait { ... } // ask again after a.After
package link

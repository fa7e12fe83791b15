// Package link meters and rate-limits the network traffic between the regions
// of a site.
//
// The link is slow, shared by all instances and billed by volume. A Counter
// counts the bytes on dialled connections whose remote side is in another
// region, by kind of traffic and direction. Only the side that dials counts, so
// that the sum over all instances has each byte once. The overhead of TCP and IP
// is not included.
//
// A Gate shares the link among requests with one token bucket for each
// direction: bulk traffic is limited to a share of the rate, and all other
// traffic, called urgent, is sent at once. The decisions take the current time as
// an argument and never block.
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

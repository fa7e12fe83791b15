// Package plat implements the protocol of the platform, client and server: the
// table service, the object store, the list of instances, the workers and the
// endpoints. No other package depends on the protocol.
//
// The platform's own formats are not final. The protocol uses HTTP with JSON
// bodies in their place, and the stand-in platform of package fakes uses the
// server side of this package. Names are in camel case, durations are strings
// such as "1m30s" and instants are in RFC 3339.
//
// # Errors
//
// Whether a failed call may be repeated depends on whether it can have had an
// effect. The transport of NewClient counts the writes to each connection. If a
// call fails before its first write, its connection is sealed: all later writes to
// the connection fail, so that the call has had no effect and will have none. Table
// and Objects report that as store.ErrUnavailable, and Send as ErrNotSent. With any
// other client, a call counts as not sent only if it got no connection. The
// transport's automatic retries are disabled, because a repeated request could run
// twice.
//
// # Usage
//
//	c := plat.NewClient(time.Second)
//	table := plat.Table(platform, c)
//	row, err := table.Get(ctx, "config/current")
//
//	answer, err := plat.Send(ctx, c, endpoint, plat.Request{
//		Service: "proof", ID: "r1", Attempt: 1, Body: body, MaxAnswer: shape.MiB,
//	})
//	var refused *plat.RefusedError
//	switch {
//	case err == nil:
//		// The answer is complete and belongs to the request.
//	case errors.Is(err, plat.ErrNotSent), errors.As(err, &refused):
//		// The request has not run. It may be sent to another endpoint.
//	default:
//		// The request may have run.
//	}
package plat

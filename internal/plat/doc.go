// Package plat speaks the platform's protocol: the table service, the object
// store, the list of instances, workers and endpoints. No other package knows
// it.
//
// The platform's own formats are not settled. HTTP with JSON bodies takes their
// place, and the stand-ins of package fakes use the server side of the same
// definitions. Names are in camel case, durations are strings such as "1m30s"
// and instants are in RFC 3339.
//
// # Errors
//
// What a caller may do after a failed call depends on whether the call can have
// had an effect. The transport of NewClient counts the writes to each
// connection. A call that failed before the first write of its own is sealed:
// the connection accepts no later write, so the call has had no effect and will
// have none. Table and Objects report that as store.ErrUnavailable and Send as
// ErrNotSent. With any other client, a call counts as not sent only if it got
// no connection. The transport's transparent retries are switched off, because
// a repeated request could run twice.
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
//		// The answer is whole and belongs to the request.
//	case errors.Is(err, plat.ErrNotSent), errors.As(err, &refused):
//		// The request was not run; another endpoint may be tried.
//	default:
//		// The request may have run.
//	}
package plat

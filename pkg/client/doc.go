// Package client is a client of the HTTP interface of baobabquay for callers
// and operators.
//
// A Client has the addresses of one or more entry instances. Each call has one
// of three outcomes: done (the error is nil), notRun or unknown. The last two
// are returned as an *Error with reason, detail and retry-after. A call is
// notRun if none of its bytes was written to any connection, or if the server
// reported so. A call is unknown if bytes were written and no complete, valid
// response was received, or if the server reported so.
//
// A transient refusal is retried at the next address, with exponential back-off
// and jitter, within the deadline of the context and up to Settings.MaxTries
// attempts. An unknown result is retried only for idempotent calls: those that
// read, cancel a job or set the state of a failure domain, and submissions and
// requests, whose identifier lets the server recognise a repetition. A change
// of the configuration is never retried after an unknown result. If the result
// of an attempt of a modifying call is unknown, the refusal of a later attempt
// does not make the call notRun.
//
// # Usage
//
//	c := client.New(client.Settings{Servers: []netip.AddrPort{a, b}, Key: key})
//	job, err := c.Submit(ctx, wire.Submission{Shape: wire.Shape{Members: 4, Accelerators: 8}})
//	var failure *client.Error
//	if errors.As(err, &failure) && failure.Outcome == wire.NotRun {
//		// There is no such job and there will be none.
//	}
//	job, err = c.Wait(ctx, job.ID)
//
// Submit and Request generate a request identifier if the caller gives none.
// Error.RequestID holds it, so that the caller can repeat the call later.
package client

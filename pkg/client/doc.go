// Package client calls the HTTP interface of baobabquay for callers and
// operators.
//
// A Client knows the addresses of several entry instances. Each call has one
// of three outcomes: done (the error is nil), notRun or unknown. The last two
// come as an *Error with reason, detail and retry-after. A call is notRun if no
// byte of it was written to any connection, or if the server said so. A call
// whose answer was lost or cut after bytes were written is unknown.
//
// A refusal that can pass is tried again at the next address, with exponential
// back-off and jitter, within the deadline of the context and at most
// Settings.MaxTries times. An unknown result is tried again only where a second
// run has no further effect: calls that read, cancel a job or name the state of
// a failure domain, and submissions and requests, whose identifier lets the
// server find the first try. A change of the configuration is never repeated
// after an unknown result. Once a try of a call with an effect is unknown, a
// later refusal of another try does not make the call notRun.
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
// Submit and Request choose an identifier where the caller gives none. It is in
// Error.RequestID, so that the caller can repeat the call later.
package client

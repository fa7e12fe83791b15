// Package admit decides what happens to a submission that the store has refused:
// how long it may wait, when it is tried again and in which order, and after
// which time a refused caller is asked to come back.
//
// The package performs no I/O and holds no locks. A Backlog belongs to one
// instance; package accept calls it under a lock and makes the calls.
//
// # Usage
//
//	b := admit.New(admit.Limits{}, rand.Float64)
//	e := &admit.Entry{Priority: job.Priority, Until: admit.Until(now, wait, objective, deadline)}
//	if reason := b.Refused(now, admit.Refusing, e); reason != admit.Waits {
//		// Refuse the caller, which may come back after b.RetryAfter(now, id).
//	}
//	next, pause := b.Next(now) // the entry to try now, or the pause until then
package admit

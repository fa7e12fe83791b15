// Package quota keeps the guarantees of workspaces: which failure domain is
// the home of each guaranteed shape, and whether all shapes that are homed in
// a domain can still be claimed.
//
// The invariant is: if all lent capacity of a domain were reclaimed now, every
// unused guaranteed shape homed there would fit, together with the others, in
// the capacity in service. Work inside a guarantee holds its workers for good,
// so Book lets it take a place only where the invariant still holds.
//
// # Usage
//
//	next := quota.AssignHomes(c, workers)
//
//	book := quota.NewBook(workers, claims)
//	if i, ok := book.Match(job.Workspace, job.Spec.Shape); ok {
//		kept := book.Use(i, job.Spec.Shape, slots)
//	}
//
// AssignHomes returns a changed copy. A Book belongs to one decision and is
// not safe for concurrent use.
package quota

// Package quota accounts for the guarantees of workspaces: it assigns each
// guaranteed shape to a failure domain, its home, and checks whether all shapes
// with their home in a domain can still be claimed.
//
// The invariant is: if all lent capacity of a domain were reclaimed now, all
// unused guaranteed shapes with their home there would fit together in the
// capacity in service. Jobs inside a guarantee are not reclaimed for others, so
// Book.Use admits a placement only if the invariant still holds afterwards.
//
// # Usage
//
//	next := quota.AssignHomes(c, workers)
//
//	book := quota.NewBook(workers, claims)
//	if i, ok := book.Match(job.Workspace, job.Spec.Shape); ok {
//		ok := book.Use(i, job.Spec.Shape, slots)
//	}
//
// AssignHomes returns a changed copy. A Book belongs to one decision and is
// not safe for concurrent use.
package quota

// Package quota accounts for the guarantees of workspaces: it assigns each
// guaranteed shape to a failure domain, its home, and checks whether all shapes
// with their home in a domain can still be claimed.
//
// The invariant is: if all lent capacity of a domain were reclaimed now, all
// unused guaranteed shapes with their home there would fit together in the
// capacity in service. Jobs inside a guarantee are not reclaimed for others, so
// Reservations.Use admits a placement only if the invariant still holds
// afterwards.
//
// # Usage
//
//	next := quota.AssignHomes(c, workers)
//
//	reservations := quota.NewReservations(workers, claims)
//	if i, ok := reservations.Match(job.Workspace, job.Spec.Shape); ok {
//		ok := reservations.Use(i, job.Spec.Shape, slots)
//	}
//
// AssignHomes returns a changed copy. Reservations belong to one decision and
// are not safe for concurrent use.
package quota

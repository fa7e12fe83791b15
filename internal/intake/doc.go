// Package intake takes jobs from callers: it submits, reads, lists and cancels
// them, whatever front end the calls come through.
//
// A submission passes through the filters validate, recall, assign, bound,
// record and notify. It is accepted when its row is committed. A caller that
// submits again with the same request identifier gets the job that the first
// submission made.
//
// # Usage
//
//	in := intake.New(intake.Deps{Table: table, Config: site.Current, ...})
//	job, err := in.Submit(ctx, intake.Submission{Workspace: ws, Spec: spec})
//	var refusal *intake.Refusal
//	if errors.As(err, &refusal) && refusal.Outcome == intake.NotRun {
//		// Nothing was stored; refusal.RetryAfter tells when to try again.
//	}
//
// A workspace is part of each call, so that a caller sees no job of another
// workspace; a job of another one is ErrNotFound like one that never existed.
package intake

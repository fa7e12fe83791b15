// Package intake submits, reads, lists and cancels the jobs of callers. It is
// independent of the front end through which the calls come.
//
// A submission passes through the filters validate, recall, assign, bound,
// record and notify. It is accepted when its row is committed. A caller that
// submits again with the same request identifier gets the job of the first
// submission.
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
// Each call names its workspace and has access to the jobs of that workspace
// only. A job of another workspace gives ErrNotFound, as a job that never
// existed does.
package intake

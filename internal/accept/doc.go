// Package accept takes what callers send about jobs: submissions, cancels and
// questions about the state of jobs and queues.
//
// A submission runs through the chain
//
//	identify → route → validate → admit → record
//
// and its answer says what is true of the job: Accepted once it is stored,
// Refused only if it is certainly not stored and never will be, Unknown
// otherwise.
//
// Each instance answers questions: from the leader if it can be reached, else
// from the stored rows, which tell what was accepted and what has ended.
//
// # Usage
//
//	d := accept.New(accept.Deps{Queues: keeper, Ledger: ledger, Leader: leader, Log: log})
//	answer := d.Submit(ctx, accept.Call{Host: host, Path: path, Key: key}, job)
package accept

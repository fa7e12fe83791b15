// Package accept handles the calls of callers about jobs: submissions,
// cancellations, and queries for the state of a job or a queue.
//
// A submission passes through the filters
//
//	identify → validate → admit → record
//
// and its outcome is Accepted once the job is stored, Refused only if the job
// is not stored and never will be, and Unknown if it may be stored. With
// Deps.SubmitWait, a submission that the store refuses waits and is tried again, as
// package admit decides.
//
// Each instance answers queries. The phase of a job comes from the leader if it
// can be reached, otherwise from the stored rows, which show the jobs that were
// accepted and those that have ended. The length of a queue comes from the leader
// only.
//
// # Usage
//
//	s := accept.New(accept.Deps{Queues: activeConfig, Ledger: ledger, Leader: leader, Log: log})
//	answer := s.Submit(ctx, accept.Call{Host: host, Path: path, Key: key}, job)
package accept

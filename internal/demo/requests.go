package demo

import (
	"fmt"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

// executionsByRequest returns the starts of executions of each request.
func executionsByRequest(s Site) map[string][]EndpointEvent {
	all := make(map[string][]EndpointEvent)
	for _, e := range s.EndpointEvents {
		if e.Kind == kindStarted {
			all[e.Request] = append(all[e.Request], e)
		}
	}
	return all
}

// checkAnswers requires for each request its own answer or a refusal. The
// outcome of a non-idempotent request may remain unknown only if a call broke
// at an instance that was killed.
func checkAnswers(r Record) (string, []string) {
	var breaches []string
	n := 0
	for _, s := range r.Sites {
		n += len(s.Requests)
		for _, q := range s.Requests {
			if text := answerBreach(q, r.Faults); text != "" {
				breaches = append(breaches, q.ID+": "+text)
			}
		}
	}
	return fmt.Sprintf("%d requests", n), breaches
}

// answerBreach describes what is wrong with the outcome of a request. It is
// empty if nothing is.
func answerBreach(q Request, faults []Fault) string {
	switch lastOutcome(q.Calls) {
	case wire.Done:
		if !q.AnswerMatches {
			return "the answer does not match the request"
		}
	case wire.NotRun:
	case wire.Unknown:
		if !q.NonIdempotent {
			return "idempotent, but no answer after all calls"
		}
		if !brokeAtKill(q.Calls, faults) {
			return "the outcome is unknown, but no call broke at an instance that was killed"
		}
	default:
		return fmt.Sprintf("response without a valid outcome: %q", lastOutcome(q.Calls))
	}
	return ""
}

// brokeAtKill reports whether a call broke at an instance that was killed, and not
// more than clockTolerance before the kill.
func brokeAtKill(calls []Call, faults []Fault) bool {
	for _, c := range calls {
		for _, f := range faults {
			if c.Broken && f.Kind == Killed && f.Instance == c.Instance && !c.Received.Before(f.At.Add(-clockTolerance)) {
				return true
			}
		}
	}
	return false
}

// checkRefusals requires that a request whose calls were all refused was
// executed nowhere, and that no execution began during a refused call. After a
// call with an unknown outcome a request is not checked any more, since that
// call may still be on its way and may be executed later.
func checkRefusals(r Record) (string, []string) {
	var breaches []string
	refused := 0
	for _, s := range r.Sites {
		executions := executionsByRequest(s)
		for _, q := range s.Requests {
			uncertain := false
			for _, c := range q.Calls {
				if c.Outcome == wire.NotRun {
					refused++
				}
				if c.Outcome == wire.NotRun && !uncertain && anyDuring(executions[q.ID], c) {
					breaches = append(breaches, fmt.Sprintf("%s was refused by %s (%s), but ran", q.ID, c.Instance, c.Reason))
				}
				uncertain = uncertain || c.Outcome == wire.Unknown
			}
			if !uncertain && lastOutcome(q.Calls) == wire.NotRun && len(executions[q.ID]) > 0 {
				breaches = append(breaches, q.ID+" was refused, but ran")
			}
		}
	}
	return fmt.Sprintf("%d refusals", refused), breaches
}

// anyDuring reports whether one of the executions began during the call.
func anyDuring(executions []EndpointEvent, c Call) bool {
	for _, e := range executions {
		if !e.At.Before(c.Sent) && !e.At.After(c.Received) {
			return true
		}
	}
	return false
}

// checkAtMostOnce requires that, by the logs of the endpoints, no
// non-idempotent request was executed more than once. An answer without an
// execution is also a breach, since it cannot be the answer to the request.
func checkAtMostOnce(r Record) (string, []string) {
	var breaches []string
	n := 0
	for _, s := range r.Sites {
		executions := executionsByRequest(s)
		for _, q := range s.Requests {
			if !q.NonIdempotent {
				continue
			}
			n++
			count := len(executions[q.ID])
			if count > 1 {
				breaches = append(breaches, fmt.Sprintf("%s ran %d times", q.ID, count))
			}
			if count == 0 && lastOutcome(q.Calls) == wire.Done {
				breaches = append(breaches, q.ID+" was answered, but not executed")
			}
		}
	}
	return fmt.Sprintf("%d requests", n), breaches
}

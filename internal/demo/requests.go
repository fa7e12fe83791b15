package demo

import (
	"fmt"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

// executions returns the starts of each request.
func executions(s Site) map[string][]Execution {
	all := make(map[string][]Execution)
	for _, e := range s.Executions {
		if e.Kind == kindStarted {
			all[e.Request] = append(all[e.Request], e)
		}
	}
	return all
}

// checkAnswers requires for each request its own answer or a refusal. The
// outcome of a non-idempotent request may remain unknown only if an instance
// was killed that had taken it.
func checkAnswers(r Record) (string, []string) {
	var broken []string
	n := 0
	for _, s := range r.Sites {
		n += len(s.Requests)
		for _, q := range s.Requests {
			if text := badAnswer(q, r.Faults); text != "" {
				broken = append(broken, q.ID+": "+text)
			}
		}
	}
	return fmt.Sprintf("%d requests", n), broken
}

func badAnswer(q Request, faults []Fault) string {
	switch outcome(q.Calls) {
	case wire.Done:
		if !q.Own {
			return "the answer is not the one to this request"
		}
	case wire.NotRun:
	case wire.Unknown:
		if !q.NonIdempotent {
			return "idempotent, but no answer after all calls"
		}
		if !metKill(q.Calls, faults) {
			return "the outcome is unknown, and no instance was killed that had taken it"
		}
	default:
		return fmt.Sprintf("a response without an outcome: %q", outcome(q.Calls))
	}
	return ""
}

// metKill reports whether a call broke at an instance that was killed.
func metKill(calls []Call, faults []Fault) bool {
	for _, c := range calls {
		for _, f := range faults {
			if c.Broken && f.Kind == Killed && f.Instance == c.Instance && !c.Received.Before(f.At.Add(-clockSlack)) {
				return true
			}
		}
	}
	return false
}

// checkRefusals holds P5: a request whose calls were all refused was executed
// nowhere, and no execution began during a refused call unless an earlier call
// of the same request may still have been on its way.
func checkRefusals(r Record) (string, []string) {
	var broken []string
	refused := 0
	for _, s := range r.Sites {
		ran := executions(s)
		for _, q := range s.Requests {
			lost := false
			for _, c := range q.Calls {
				if c.Outcome == wire.NotRun {
					refused++
				}
				if c.Outcome == wire.NotRun && !lost && ranDuring(ran[q.ID], c) {
					broken = append(broken, fmt.Sprintf("%s was refused by %s (%s), but ran", q.ID, c.Instance, c.Reason))
				}
				lost = lost || c.Outcome == wire.Unknown
			}
			if !lost && outcome(q.Calls) == wire.NotRun && len(ran[q.ID]) > 0 {
				broken = append(broken, q.ID+" was refused, but ran")
			}
		}
	}
	return fmt.Sprintf("%d refusals", refused), broken
}

func ranDuring(all []Execution, c Call) bool {
	for _, e := range all {
		if !e.At.Before(c.Sent) && !e.At.After(c.Received) {
			return true
		}
	}
	return false
}

// checkOnce holds P6 against the logs of the endpoints. An answer without an
// execution breaks P4.
func checkOnce(r Record) (string, []string) {
	var broken []string
	n := 0
	for _, s := range r.Sites {
		ran := executions(s)
		for _, q := range s.Requests {
			if !q.NonIdempotent {
				continue
			}
			n++
			times := len(ran[q.ID])
			if times > 1 {
				broken = append(broken, fmt.Sprintf("%s ran %d times", q.ID, times))
			}
			if times == 0 && outcome(q.Calls) == wire.Done {
				broken = append(broken, q.ID+" was answered, but ran nowhere")
			}
		}
	}
	return fmt.Sprintf("%d requests", n), broken
}

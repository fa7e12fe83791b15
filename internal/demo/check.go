package demo

import (
	"fmt"
	"slices"
	"time"
)

type (
	// Finding is the result of one check.
	Finding struct {
		Invariant string
		// Checked tells how many items the check covered.
		Checked string
		// Violations has a line for each case that violates the invariant.
		Violations []string
	}

	// check verifies one invariant on a record.
	check struct {
		invariant string
		run       func(r Record) (checked string, violations []string)
	}
)

// startGrace is the time for which tasks may still start in a failure domain
// after it was taken out of service.
const startGrace = 3 * time.Second

var checks = []check{
	{"every accepted job ended exactly once", checkJobsEnd},
	{"every job result was read by its workspace", checkResults},
	{"no gang ran with only some of its members", checkGangs},
	{"no task started in a domain out of service", checkOutages},
	{"every request got its own answer or a refusal", checkAnswers},
	{"no refused request was executed", checkRefusals},
	{"non-idempotent requests ran at most once", checkAtMostOnce},
	{"planned stops cut off no calls", checkStops},
	{"config versions converged and never decreased", checkVersions},
}

// Check verifies all invariants on a record.
func Check(r Record) []Finding {
	var all []Finding
	for _, c := range checks {
		checked, violations := c.run(r)
		all = append(all, Finding{Invariant: c.invariant, Checked: checked, Violations: violations})
	}
	return all
}

// IsKept reports whether no invariant was violated.
func IsKept(all []Finding) bool {
	return !slices.ContainsFunc(all, func(f Finding) bool { return len(f.Violations) > 0 })
}

// checkStops requires of each instance that was stopped that it exited with
// code 0, that it logged the end of its planned stop with nothing cut off, and
// that each call to it got a whole response.
func checkStops(r Record) (string, []string) {
	var violations []string
	stops, calls := 0, 0
	for _, f := range r.Faults {
		if f.Kind != Stopped {
			continue
		}
		stops++
		if f.ExitCode != 0 {
			violations = append(violations, fmt.Sprintf("%s ended with exit code %d", f.Instance, f.ExitCode))
		}
		for _, s := range r.Sites {
			n, cutOff := cutOffCalls(s, f.Instance)
			calls += n
			violations = append(violations, cutOff...)
			violations = append(violations, logEndViolations(s, f.Instance)...)
		}
	}
	return fmt.Sprintf("%d stops, %d calls", stops, calls), violations
}

// eventEnded is the number of the event instanceEnded, the last one that an
// instance logs in a planned stop.
const eventEnded = 5003

func logEndViolations(s Site, instance string) []string {
	for _, e := range s.LogEnds {
		if e.Instance == instance && (e.Event != eventEnded || e.CutOff != 0) {
			return []string{fmt.Sprintf("the log of %s ends with event %d and cutOff %d", instance, e.Event, e.CutOff)}
		}
	}
	return nil
}

// cutOffCalls returns the number of calls to an instance and a violation for
// each of them that got no whole response.
func cutOffCalls(s Site, instance string) (int, []string) {
	n := 0
	var violations []string
	scan := func(id string, calls []Call) {
		for _, c := range calls {
			if c.Instance != instance {
				continue
			}
			n++
			if c.Broken {
				violations = append(violations, fmt.Sprintf("a call for %s to %s was cut off", id, instance))
			}
		}
	}
	for _, r := range s.Requests {
		scan(r.ID, r.Calls)
	}
	for _, j := range s.Jobs {
		scan(j.ID, j.Calls)
	}
	return n, violations
}

// checkVersions requires that the configuration version in force at each
// instance never decreased, and that all instances of a site that should be
// running had the same one at the end.
func checkVersions(r Record) (string, []string) {
	var violations []string
	reads := 0
	for _, s := range r.Sites {
		reads += len(s.Versions)
		last := make(map[string]int64)
		for _, v := range s.Versions {
			if v.Version < last[v.Instance] {
				violations = append(violations, fmt.Sprintf("%s went from version %d to %d", v.Instance, last[v.Instance], v.Version))
			}
			last[v.Instance] = v.Version
		}
		if !isConverged(s.FinalVersions) || len(s.FinalVersions) == 0 {
			violations = append(violations, fmt.Sprintf("%s ended with different or unread versions %v", s.Name, formatVersions(s.FinalVersions)))
		}
		for _, v := range s.FinalVersions {
			if v.Version >= 0 && v.Version < last[v.Instance] {
				violations = append(violations, fmt.Sprintf("%s went from version %d to %d", v.Instance, last[v.Instance], v.Version))
			}
		}
	}
	return fmt.Sprintf("%d reads", reads), violations
}

func formatVersions(all []VersionSample) []string {
	var texts []string
	for _, v := range all {
		texts = append(texts, fmt.Sprintf("%s:%d", v.Instance, v.Version))
	}
	return texts
}

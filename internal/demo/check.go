package demo

import (
	"fmt"
	"slices"
	"time"
)

type (
	// Finding is the result of one check.
	Finding struct {
		Promise string
		// Checked tells how many items the check covered.
		Checked string
		// Breaches has a line for each case that breaks the promise.
		Breaches []string
	}

	// check verifies one promise on a record.
	check struct {
		promise string
		run     func(r Record) (checked string, breaches []string)
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

// Check verifies all promises on a record.
func Check(r Record) []Finding {
	var all []Finding
	for _, c := range checks {
		checked, breaches := c.run(r)
		all = append(all, Finding{Promise: c.promise, Checked: checked, Breaches: breaches})
	}
	return all
}

// IsKept reports whether no promise was broken.
func IsKept(all []Finding) bool {
	return !slices.ContainsFunc(all, func(f Finding) bool { return len(f.Breaches) > 0 })
}

// checkStops requires of each instance that was stopped that it exited with
// code 0, that it logged the end of its planned stop with nothing cut off, and
// that each call to it got a whole response.
func checkStops(r Record) (string, []string) {
	var breaches []string
	stops, calls := 0, 0
	for _, f := range r.Faults {
		if f.Kind != Stopped {
			continue
		}
		stops++
		if f.ExitCode != 0 {
			breaches = append(breaches, fmt.Sprintf("%s ended with exit code %d", f.Instance, f.ExitCode))
		}
		for _, s := range r.Sites {
			n, cutOff := cutOffCalls(s, f.Instance)
			calls += n
			breaches = append(breaches, cutOff...)
			breaches = append(breaches, logEndBreaches(s, f.Instance)...)
		}
	}
	return fmt.Sprintf("%d stops, %d calls", stops, calls), breaches
}

// eventEnded is the number of the event instanceEnded, the last one that an
// instance logs in a planned stop.
const eventEnded = 5003

func logEndBreaches(s Site, instance string) []string {
	for _, e := range s.LogEnds {
		if e.Instance == instance && (e.Event != eventEnded || e.CutOff != 0) {
			return []string{fmt.Sprintf("the log of %s ends with event %d and cutOff %d", instance, e.Event, e.CutOff)}
		}
	}
	return nil
}

// cutOffCalls returns the number of calls to an instance and a breach for
// each of them that got no whole response.
func cutOffCalls(s Site, instance string) (int, []string) {
	n := 0
	var breaches []string
	scan := func(id string, calls []Call) {
		for _, c := range calls {
			if c.Instance != instance {
				continue
			}
			n++
			if c.Broken {
				breaches = append(breaches, fmt.Sprintf("a call for %s to %s was cut off", id, instance))
			}
		}
	}
	for _, r := range s.Requests {
		scan(r.ID, r.Calls)
	}
	for _, j := range s.Jobs {
		scan(j.ID, j.Calls)
	}
	return n, breaches
}

// checkVersions requires that the configuration version in force at each
// instance never decreased, and that all instances of a site that should be
// running had the same one at the end.
func checkVersions(r Record) (string, []string) {
	var breaches []string
	reads := 0
	for _, s := range r.Sites {
		reads += len(s.Versions)
		last := make(map[string]int64)
		for _, v := range s.Versions {
			if v.Version < last[v.Instance] {
				breaches = append(breaches, fmt.Sprintf("%s went from version %d to %d", v.Instance, last[v.Instance], v.Version))
			}
			last[v.Instance] = v.Version
		}
		if !isConverged(s.FinalVersions) || len(s.FinalVersions) == 0 {
			breaches = append(breaches, fmt.Sprintf("%s ended with different or unread versions %v", s.Name, formatVersions(s.FinalVersions)))
		}
		for _, v := range s.FinalVersions {
			if v.Version >= 0 && v.Version < last[v.Instance] {
				breaches = append(breaches, fmt.Sprintf("%s went from version %d to %d", v.Instance, last[v.Instance], v.Version))
			}
		}
	}
	return fmt.Sprintf("%d reads", reads), breaches
}

func formatVersions(all []VersionSample) []string {
	var texts []string
	for _, v := range all {
		texts = append(texts, fmt.Sprintf("%s:%d", v.Instance, v.Version))
	}
	return texts
}

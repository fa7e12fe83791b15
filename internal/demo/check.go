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
		// Size is what the check looked at.
		Size string
		// Broken has a line for each case in which the promise was broken.
		Broken []string
	}

	// check compares one promise with a record.
	check struct {
		promise string
		do      func(r Record) (size string, broken []string)
	}
)

// startGrace is the time after which no task may start in a failure domain
// that was taken out of service (P3).
const startGrace = 3 * time.Second

var checks = []check{
	{"every accepted job ended exactly once", checkJobsEnd},
	{"every result was read whole by its owner", checkResults},
	{"no gang ran in part", checkGangs},
	{"no start in a domain out of service", checkOutages},
	{"every request got its own answer or a refusal", checkAnswers},
	{"every refusal is true", checkRefusals},
	{"non-idempotent requests ran at most once", checkOnce},
	{"the planned stop cut nothing off", checkStops},
	{"one configuration version, never lower", checkVersions},
}

// Check compares all promises with what was seen.
func Check(r Record) []Finding {
	var all []Finding
	for _, c := range checks {
		size, broken := c.do(r)
		all = append(all, Finding{Promise: c.promise, Size: size, Broken: broken})
	}
	return all
}

// IsKept reports whether no promise was broken.
func IsKept(all []Finding) bool {
	return !slices.ContainsFunc(all, func(f Finding) bool { return len(f.Broken) > 0 })
}

// checkStops holds the end of the log of each stopped instance, its exit code
// and the calls that it had taken against P8.
func checkStops(r Record) (string, []string) {
	var broken []string
	stops, calls := 0, 0
	for _, f := range r.Faults {
		if f.Kind != Stopped {
			continue
		}
		stops++
		if f.ExitCode != 0 {
			broken = append(broken, fmt.Sprintf("%s ended with exit code %d", f.Instance, f.ExitCode))
		}
		for _, s := range r.Sites {
			n, cut := cutCalls(s, f.Instance)
			calls += n
			broken = append(broken, cut...)
			broken = append(broken, cutLog(s, f.Instance)...)
		}
	}
	return fmt.Sprintf("%d stops, %d calls", stops, calls), broken
}

// eventEnded is the number of the event that an instance logs last.
const eventEnded = 5003

func cutLog(s Site, instance string) []string {
	for _, e := range s.Stops {
		if e.Instance == instance && (e.Event != eventEnded || e.CutOff != 0) {
			return []string{fmt.Sprintf("the log of %s ends with event %d and cutOff %d", instance, e.Event, e.CutOff)}
		}
	}
	return nil
}

// cutCalls returns the number of calls to an instance and those whose
// connection broke.
func cutCalls(s Site, instance string) (int, []string) {
	n := 0
	var broken []string
	look := func(id string, calls []Call) {
		for _, c := range calls {
			if c.Instance != instance {
				continue
			}
			n++
			if c.Broken {
				broken = append(broken, fmt.Sprintf("a call for %s to %s was cut off", id, instance))
			}
		}
	}
	for _, r := range s.Requests {
		look(r.ID, r.Calls)
	}
	for _, j := range s.Jobs {
		look(j.ID, j.Calls)
	}
	return n, broken
}

// checkVersions compares the versions in force at the end, and those of each
// instance in the order of time.
func checkVersions(r Record) (string, []string) {
	var broken []string
	reads := 0
	for _, s := range r.Sites {
		reads += len(s.Versions)
		last := make(map[string]int64)
		for _, v := range s.Versions {
			if v.Version < last[v.Instance] {
				broken = append(broken, fmt.Sprintf("%s went from version %d to %d", v.Instance, last[v.Instance], v.Version))
			}
			last[v.Instance] = v.Version
		}
		if !isSame(s.Final) || len(s.Final) == 0 {
			broken = append(broken, fmt.Sprintf("%s ended with %v", s.Name, versionsOf(s.Final)))
		}
		for _, v := range s.Final {
			if v.Version >= 0 && v.Version < last[v.Instance] {
				broken = append(broken, fmt.Sprintf("%s went from version %d to %d", v.Instance, last[v.Instance], v.Version))
			}
		}
	}
	return fmt.Sprintf("%d reads", reads), broken
}

func versionsOf(all []Version) []string {
	var texts []string
	for _, v := range all {
		texts = append(texts, fmt.Sprintf("%s:%d", v.Instance, v.Version))
	}
	return texts
}

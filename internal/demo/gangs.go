package demo

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

type (
	// attemptKey identifies one attempt to run a job.
	attemptKey struct {
		workspace, job string
		attempt        int
	}

	// gang holds what the workers logged about one attempt, ordered by time.
	gang struct {
		key    attemptKey
		events []TaskEvent
	}

	// jobRow is the part of a job's row in the table service that is checked.
	jobRow struct {
		State string `json:"state"`
	}
)

const (
	stateDone      = "done"
	stateFailed    = "failed"
	stateCancelled = "cancelled"

	prefixJob = "job/"

	// partialLimit bounds the time for which only some members of a gang run,
	// at its start and end, if all messages arrive: the calls of one start are
	// sent concurrently.
	partialLimit = time.Second
	// partialLimitAfterKill is the bound for a gang that ran when an instance,
	// possibly its owner, was killed: the leases of its members expire
	// together.
	partialLimitAfterKill = 12 * time.Second
	// clockTolerance bounds the difference between the times that the script
	// and the program record for one event.
	clockTolerance = time.Second
)

func isEnded(state string) bool {
	return state == stateDone || state == stateFailed || state == stateCancelled
}

// checkJobsEnd requires of each accepted job that the log of the table service
// has exactly one commit of a final state and none after it. A site must not
// store more jobs than were submitted, since a repeated submission must not
// create a second job. A job that was never accepted is also a breach.
func checkJobsEnd(r Record) (string, []string) {
	var breaches []string
	n := 0
	for _, s := range r.Sites {
		states := jobStates(s.Commits)
		if len(states) > len(s.Jobs) {
			breaches = append(breaches, fmt.Sprintf("%s stored %d jobs, %d were submitted", s.Name, len(states), len(s.Jobs)))
		}
		for _, j := range s.Jobs {
			if !j.Accepted {
				breaches = append(breaches, j.ID+" was never accepted")
				continue
			}
			n++
			if text := stateBreach(states[prefixJob+j.Workspace+"/"+j.LastRead.ID]); text != "" {
				breaches = append(breaches, j.ID+" "+text)
			}
		}
	}
	return fmt.Sprintf("%d jobs", n), breaches
}

// jobStates returns the states of each job row in the order of the commits.
func jobStates(all []Commit) map[string][]string {
	states := make(map[string][]string)
	for _, c := range all {
		if !strings.HasPrefix(c.Key, prefixJob) {
			continue
		}
		state := "deleted"
		if !c.Deleted {
			var v jobRow
			if err := json.Unmarshal(c.Value, &v); err != nil {
				v.State = "unreadable"
			}
			state = v.State
		}
		states[c.Key] = append(states[c.Key], state)
	}
	return states
}

// stateBreach describes what is wrong with the states of a job. It is empty
// if the job ended exactly once and did not change afterwards.
func stateBreach(states []string) string {
	ends := 0
	for _, s := range states {
		if isEnded(s) {
			ends++
		}
	}
	switch {
	case ends != 1:
		return fmt.Sprintf("ended %d times: %s", ends, strings.Join(states, " "))
	case !isEnded(states[len(states)-1]):
		return "changed after its end: " + strings.Join(states, " ")
	}
	return ""
}

// checkResults requires that each workspace has read the result of its job.
func checkResults(r Record) (string, []string) {
	var breaches []string
	n := 0
	for _, s := range r.Sites {
		for _, j := range s.Jobs {
			n++
			if !j.ResultMatches {
				breaches = append(breaches, fmt.Sprintf("%s: expected result not read, last state %q (%s)", j.ID, j.LastRead.State, j.LastRead.Reason))
			}
		}
	}
	return fmt.Sprintf("%d results", n), breaches
}

// gangs returns the attempts of which at least one member started, ordered by
// key.
func gangs(all []TaskEvent) []gang {
	byKey := make(map[attemptKey][]TaskEvent)
	started := make(map[attemptKey]bool)
	for _, t := range all {
		k := attemptKey{t.Workspace, t.Job, t.Attempt}
		byKey[k] = append(byKey[k], t)
		started[k] = started[k] || t.Kind == kindStarted
	}
	var list []gang
	for k, events := range byKey {
		if !started[k] {
			continue
		}
		slices.SortStableFunc(events, func(a, b TaskEvent) int { return a.At.Compare(b.At) })
		list = append(list, gang{k, events})
	}
	slices.SortFunc(list, func(a, b gang) int {
		return cmp.Or(cmp.Compare(a.key.workspace, b.key.workspace), cmp.Compare(a.key.job, b.key.job),
			cmp.Compare(a.key.attempt, b.key.attempt))
	})
	return list
}

// partialTime returns for how long some but not all members ran. A member
// whose end was not logged counts as running until end.
func (g gang) partialTime(members int, end time.Time) time.Duration {
	var total time.Duration
	running := 0
	for i, t := range g.events {
		if running > 0 && running < members {
			total += t.At.Sub(g.events[i-1].At)
		}
		running += g.memberDelta(t)
	}
	if last := g.events[len(g.events)-1].At; running > 0 && running < members && end.After(last) {
		total += end.Sub(last)
	}
	return total
}

// memberDelta returns the change in the number of running members by one
// event. The end of a reservation that was not started changes nothing.
func (g gang) memberDelta(t TaskEvent) int {
	switch {
	case t.Kind == kindStarted:
		return t.Members
	case t.Kind != kindReserved && g.startedOn(t.Worker):
		return -t.Members
	}
	return 0
}

func (g gang) startedOn(worker string) bool {
	return slices.ContainsFunc(g.events, func(t TaskEvent) bool { return t.Worker == worker && t.Kind == kindStarted })
}

// checkGangs requires that, by the logs of the workers, the members of a gang
// start and end together and that no more of them run than the job asked for.
func checkGangs(r Record) (string, []string) {
	var breaches []string
	n := 0
	longest := time.Duration(0)
	for _, s := range r.Sites {
		members := make(map[string]int)
		for _, j := range s.Jobs {
			members[j.Workspace+"/"+j.LastRead.ID] = j.Members
		}
		for _, g := range gangs(s.TaskEvents) {
			n++
			want := members[g.key.workspace+"/"+g.key.job]
			partial := g.partialTime(want, r.Ended)
			longest = max(longest, partial)
			if limit := partialLimitOf(g, r.Faults); partial > limit {
				breaches = append(breaches, fmt.Sprintf("%s/%s attempt %d ran with only some members for %v, limit %v",
					g.key.workspace, g.key.job, g.key.attempt, round(partial), limit))
			}
			if peak := g.peakMembers(); peak > want {
				breaches = append(breaches, fmt.Sprintf("%s/%s attempt %d ran with %d members, %d wanted",
					g.key.workspace, g.key.job, g.key.attempt, peak, want))
			}
		}
	}
	return fmt.Sprintf("%d gangs, longest partial run %v", n, round(longest)), breaches
}

// peakMembers returns the highest number of members that ran at the same time.
func (g gang) peakMembers() int {
	running, peak := 0, 0
	for _, t := range g.events {
		running += g.memberDelta(t)
		peak = max(peak, running)
	}
	return peak
}

// partialLimitOf returns partialLimitAfterKill for a gang that existed when an
// instance was killed, and partialLimit for any other.
func partialLimitOf(g gang, faults []Fault) time.Duration {
	first, last := g.events[0].At, g.events[len(g.events)-1].At
	for _, f := range faults {
		if f.Kind == Killed && !f.At.Before(first.Add(-clockTolerance)) && !f.At.After(last.Add(clockTolerance)) {
			return partialLimitAfterKill
		}
	}
	return partialLimit
}

// checkOutages requires that, by the logs of the workers, no task started in a
// failure domain while it was out of service, except within startGrace.
func checkOutages(r Record) (string, []string) {
	var breaches []string
	n := 0
	for _, s := range r.Sites {
		for _, o := range s.Outages {
			n++
			if o.Error != "" || o.BackAt.IsZero() {
				breaches = append(breaches, fmt.Sprintf("%s was not taken out of service and brought back: %s", o.Domain, o.Error))
				continue
			}
			for _, t := range s.TaskEvents {
				if t.Kind == kindStarted && t.Domain == o.Domain && t.At.After(o.OutAt.Add(startGrace)) && t.At.Before(o.BackAt) {
					breaches = append(breaches, fmt.Sprintf("%s/%s started on %s %v after %s was taken out of service",
						t.Workspace, t.Job, t.Worker, round(t.At.Sub(o.OutAt)), o.Domain))
				}
			}
		}
	}
	return fmt.Sprintf("%d outages", n), breaches
}

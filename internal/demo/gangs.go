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
	// gangKey names one attempt to run a job.
	gangKey struct {
		workspace, job string
		attempt        int
	}

	// gang is what the workers logged of one attempt.
	gang struct {
		key   gangKey
		tasks []Task
	}

	// row is the part of a job row that is compared.
	row struct {
		State string `json:"state"`
	}
)

const (
	stateDone      = "done"
	stateFailed    = "failed"
	stateCancelled = "cancelled"

	prefixJob = "job/"

	// partLimit bounds the time between the first and the last start or end of
	// a gang whose messages all arrive: the calls of one start are sent at once.
	partLimit = time.Second
	// leaseLimit bounds it for a gang whose owner was killed in the meantime:
	// the leases of its members end together (design page, 8.2).
	leaseLimit = 12 * time.Second
	// clockSlack is the difference between the instants that the script and
	// the program note for one event.
	clockSlack = time.Second
)

func isEnded(state string) bool {
	return state == stateDone || state == stateFailed || state == stateCancelled
}

// checkJobsEnd reads from the log of the table service how often each job that
// was accepted came to a final state, whether it changed after that, and
// whether a repeated submission stored a second job.
func checkJobsEnd(r Record) (string, []string) {
	var broken []string
	n := 0
	for _, s := range r.Sites {
		states := jobStates(s.Commits)
		if len(states) > len(s.Jobs) {
			broken = append(broken, fmt.Sprintf("%s stored %d jobs, %d were submitted", s.Name, len(states), len(s.Jobs)))
		}
		for _, j := range s.Jobs {
			if !j.Accepted {
				broken = append(broken, j.ID+" was never accepted")
				continue
			}
			n++
			if text := badLife(states[prefixJob+j.Workspace+"/"+j.Last.ID]); text != "" {
				broken = append(broken, j.ID+" "+text)
			}
		}
	}
	return fmt.Sprintf("%d jobs", n), broken
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
			var v row
			if err := json.Unmarshal(c.Value, &v); err != nil {
				v.State = "unreadable"
			}
			state = v.State
		}
		states[c.Key] = append(states[c.Key], state)
	}
	return states
}

func badLife(states []string) string {
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
	var broken []string
	n := 0
	for _, s := range r.Sites {
		for _, j := range s.Jobs {
			n++
			if !j.Whole {
				broken = append(broken, fmt.Sprintf("%s was last read as %q (%s)", j.ID, j.Last.State, j.Last.Reason))
			}
		}
	}
	return fmt.Sprintf("%d results", n), broken
}

// gangs returns the attempts of which at least one member started.
func gangs(all []Task) []gang {
	byKey := make(map[gangKey][]Task)
	started := make(map[gangKey]bool)
	for _, t := range all {
		k := gangKey{t.Workspace, t.Job, t.Attempt}
		byKey[k] = append(byKey[k], t)
		started[k] = started[k] || t.Kind == kindStarted
	}
	var list []gang
	for k, tasks := range byKey {
		if !started[k] {
			continue
		}
		slices.SortStableFunc(tasks, func(a, b Task) int { return a.At.Compare(b.At) })
		list = append(list, gang{k, tasks})
	}
	slices.SortFunc(list, func(a, b gang) int {
		return cmp.Or(cmp.Compare(a.key.workspace, b.key.workspace), cmp.Compare(a.key.job, b.key.job),
			cmp.Compare(a.key.attempt, b.key.attempt))
	})
	return list
}

// partial returns for how long some but not all members ran. A member that
// never ended ran until end.
func (g gang) partial(members int, end time.Time) time.Duration {
	var total time.Duration
	running := 0
	for i, t := range g.tasks {
		if running > 0 && running < members {
			total += t.At.Sub(g.tasks[i-1].At)
		}
		running += g.change(t)
	}
	if last := g.tasks[len(g.tasks)-1].At; running > 0 && running < members && end.After(last) {
		total += end.Sub(last)
	}
	return total
}

// change is that of the number of running members by one line. The end of a
// reservation that was not started changes nothing.
func (g gang) change(t Task) int {
	switch {
	case t.Kind == kindStarted:
		return t.Members
	case t.Kind != kindReserved && g.startedOn(t.Worker):
		return -t.Members
	}
	return 0
}

func (g gang) startedOn(worker string) bool {
	return slices.ContainsFunc(g.tasks, func(t Task) bool { return t.Worker == worker && t.Kind == kindStarted })
}

// checkGangs holds P2 against the logs of the workers.
func checkGangs(r Record) (string, []string) {
	var broken []string
	n := 0
	longest := time.Duration(0)
	for _, s := range r.Sites {
		members := make(map[string]int)
		for _, j := range s.Jobs {
			members[j.Workspace+"/"+j.Last.ID] = j.Members
		}
		for _, g := range gangs(s.Tasks) {
			n++
			want := members[g.key.workspace+"/"+g.key.job]
			part := g.partial(want, r.Ended)
			longest = max(longest, part)
			if limit := partBound(g, r.Faults); part > limit {
				broken = append(broken, fmt.Sprintf("%s/%s attempt %d ran in part for %v, bound %v",
					g.key.workspace, g.key.job, g.key.attempt, round(part), limit))
			}
			if over := g.most(); over > want {
				broken = append(broken, fmt.Sprintf("%s/%s attempt %d ran with %d members, %d wanted",
					g.key.workspace, g.key.job, g.key.attempt, over, want))
			}
		}
	}
	return fmt.Sprintf("%d gangs, longest start or end %v", n, round(longest)), broken
}

// most returns the highest number of members that ran together.
func (g gang) most() int {
	running, most := 0, 0
	for _, t := range g.tasks {
		running += g.change(t)
		most = max(most, running)
	}
	return most
}

// partBound is leaseLimit for a gang that existed when an instance was killed.
func partBound(g gang, faults []Fault) time.Duration {
	first, last := g.tasks[0].At, g.tasks[len(g.tasks)-1].At
	for _, f := range faults {
		if f.Kind == Killed && !f.At.Before(first.Add(-clockSlack)) && !f.At.After(last.Add(clockSlack)) {
			return leaseLimit
		}
	}
	return partLimit
}

// checkOutages holds P3 against the logs of the workers.
func checkOutages(r Record) (string, []string) {
	var broken []string
	n := 0
	for _, s := range r.Sites {
		for _, o := range s.Outages {
			n++
			if o.Error != "" || o.Back.IsZero() {
				broken = append(broken, fmt.Sprintf("%s was not taken out and brought back: %s", o.Domain, o.Error))
				continue
			}
			for _, t := range s.Tasks {
				if t.Kind == kindStarted && t.Domain == o.Domain && t.At.After(o.Out.Add(startGrace)) && t.At.Before(o.Back) {
					broken = append(broken, fmt.Sprintf("%s/%s started on %s %v after %s was taken out",
						t.Workspace, t.Job, t.Worker, round(t.At.Sub(o.Out)), o.Domain))
				}
			}
		}
	}
	return fmt.Sprintf("%d outages", n), broken
}

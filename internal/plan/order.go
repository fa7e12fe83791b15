package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
)

// Under overload, the order in which waiting units are placed decides which of
// them meet their deadlines.

// Order sorts units by the order in which they are to be placed: those that can
// still meet their deadline first, then urgent ones, then by priority and by
// deadline.
func Order(now time.Time, units []graph.Unit) {
	type rank struct {
		urgent, late bool
		deadline     time.Time
	}
	ranks := make(map[stepKey]rank, len(units))
	rankOf := func(u graph.Unit) rank {
		key := stepKey{job: u.Progress.Job.ID, occurrence: u.Occurrence}
		found, ok := ranks[key]
		if !ok {
			j := u.Progress.Job
			found = rank{urgent: Urgent(j), deadline: j.Deadline(u.Occurrence)}
			found.late = now.Add(u.Spec().Estimate).After(found.deadline)
			ranks[key] = found
		}
		return found
	}
	slices.SortStableFunc(units, func(a, b graph.Unit) int {
		rankA, rankB := rankOf(a), rankOf(b)
		switch {
		case rankA.late != rankB.late:
			return precedence(rankB.late)
		case rankA.urgent != rankB.urgent:
			return precedence(rankA.urgent)
		}
		return cmp.Or(
			cmp.Compare(a.Progress.Job.Priority, b.Progress.Job.Priority),
			rankA.deadline.Compare(rankB.deadline),
			cmp.Compare(a.Progress.Job.ID, b.Progress.Job.ID),
			cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step),
		)
	})
}

// precedence returns -1 if the first of two units precedes the second, else 1.
func precedence(first bool) int {
	if first {
		return -1
	}
	return 1
}

package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
)

// This file answers arrivals that are more than the workers can take: which of
// the waiting units come first.

// Order sorts units by what should start first.
func Order(now time.Time, units []graph.Unit) {
	type rank struct {
		urgent, late bool
		deadline     time.Time
	}
	ranks := make(map[fullKey]rank, len(units))
	of := func(u graph.Unit) rank {
		key := fullKey{job: u.Progress.Job.ID, occurrence: u.Occurrence}
		k, ok := ranks[key]
		if !ok {
			j := u.Progress.Job
			k = rank{urgent: Urgent(j), deadline: j.Deadline(u.Occurrence)}
			k.late = now.Add(u.Spec().Estimate).After(k.deadline)
			ranks[key] = k
		}
		return k
	}
	slices.SortStableFunc(units, func(a, b graph.Unit) int {
		ka, kb := of(a), of(b)
		switch {
		case ka.late != kb.late:
			return order(kb.late)
		case ka.urgent != kb.urgent:
			return order(ka.urgent)
		}
		return cmp.Or(
			cmp.Compare(a.Progress.Job.Priority, b.Progress.Job.Priority),
			ka.deadline.Compare(kb.deadline),
			cmp.Compare(a.Progress.Job.ID, b.Progress.Job.ID),
			cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step),
		)
	})
}

// order returns -1 if the first of two comes first, else 1.
func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

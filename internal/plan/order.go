package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
)

// Under overload, the order in which waiting units are placed decides which of
// them meet their deadlines.

// rankedUnit is a unit with the properties that decide its place in the order.
type rankedUnit struct {
	graph.Unit
	urgent, late bool
	// doubtful units can meet their deadline by their declared run time only, not by
	// the expected one.
	doubtful bool
	deadline time.Time
}

// Order sorts the waiting units by the order in which they are to be placed: those
// that can still meet their deadline by their declared run time first, then urgent
// ones, then by priority, by whether they are expected to meet it, and by deadline.
func Order(now time.Time, v *View) {
	units := v.Waiting
	list := make([]rankedUnit, len(units))
	for i, u := range units {
		// The units of a step, which share their rank, are adjacent.
		if i > 0 && stepKeyOf(u) == stepKeyOf(units[i-1]) {
			list[i] = list[i-1]
			list[i].Unit = u
			continue
		}
		j := u.Progress.Job
		deadline := v.deadline(u)
		late := now.Add(u.Spec().Estimate).After(deadline)
		list[i] = rankedUnit{
			Unit: u, urgent: Urgent(j), late: late, deadline: deadline,
			doubtful: !late && now.Add(v.runTime(u)).After(deadline),
		}
	}
	slices.SortStableFunc(list, func(a, b rankedUnit) int { return a.compare(&b) })
	for i := range list {
		units[i] = list[i].Unit
	}
}

// compare returns a negative number if u is to be placed before o, and a positive
// one if it is to be placed after it.
func (u *rankedUnit) compare(o *rankedUnit) int {
	switch {
	case u.late != o.late:
		return precedence(o.late)
	case u.urgent != o.urgent:
		return precedence(u.urgent)
	}
	a, b := u.Progress.Job, o.Progress.Job
	if a.Priority == b.Priority && u.doubtful != o.doubtful {
		return precedence(o.doubtful)
	}
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		u.deadline.Compare(o.deadline),
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(u.Occurrence, o.Occurrence),
		cmp.Compare(u.Step, o.Step),
	)
}

// precedence returns -1 if the first of two units precedes the second, else 1.
func precedence(first bool) int {
	if first {
		return -1
	}
	return 1
}

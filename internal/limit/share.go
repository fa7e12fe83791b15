package limit

import (
	"github.com/baobabquay/baobabquay/internal/jobs"
)

// admit gives free places to waiting requests.
func (q *Queue) admit() {
	for q.admitted < q.capacity && q.waiting > 0 {
		t := q.next()
		class := t.firstClass()
		w := q.take(t, class, 0)
		q.admitted++
		q.turn++
		t.admitted++
		t.lastTurn = q.turn
		w.ready <- nil
	}
}

// next returns the waiting tenant with the fewest admitted requests for its
// weight. Among equal ones it returns the one that was served least recently.
func (q *Queue) next() *tenant {
	var best *tenant
	for _, t := range q.tenants {
		if t.waiting > 0 && (best == nil || t.before(best)) {
			best = t
		}
	}
	return best
}

func (t *tenant) before(o *tenant) bool {
	a, b := float64(t.admitted)*o.weight, float64(o.admitted)*t.weight
	switch {
	case a != b:
		return a < b
	case t.lastTurn != o.lastTurn:
		return t.lastTurn < o.lastTurn
	}
	return t.workspace < o.workspace
}

// firstClass returns the most urgent class that has a waiter.
func (t *tenant) firstClass() int {
	for c := range t.classes {
		if len(t.classes[c]) > 0 {
			return c
		}
	}
	return int(jobs.Background)
}

// lastClass returns the least urgent class that has a waiter.
func (t *tenant) lastClass() int {
	for c := classCount - 1; c >= 0; c-- {
		if len(t.classes[c]) > 0 {
			return c
		}
	}
	return 0
}

// shed refuses the newest waiter of the least urgent class among the tenants
// that use more than their share of the queue. There is at least one such
// tenant, because more requests wait than the shares add up to.
func (q *Queue) shed() {
	t := q.victim()
	class := t.lastClass()
	w := q.take(t, class, len(t.classes[class])-1)
	q.drop(t)
	w.ready <- ErrShed
}

func (q *Queue) victim() *tenant {
	total := 0.0
	for _, t := range q.tenants {
		if t.waiting > 0 {
			total += t.weight
		}
	}
	var worst *tenant
	for _, t := range q.tenants {
		share := float64(q.settings.Bound) * t.weight / total
		if float64(t.waiting) <= share {
			continue
		}
		if worst == nil || t.shedBefore(worst) {
			worst = t
		}
	}
	return worst
}

// shedBefore reports whether t loses a request before o does.
func (t *tenant) shedBefore(o *tenant) bool {
	if a, b := t.lastClass(), o.lastClass(); a != b {
		return a > b
	}
	a, b := float64(t.waiting)*o.weight, float64(o.waiting)*t.weight
	if a != b {
		return a > b
	}
	return t.workspace < o.workspace
}

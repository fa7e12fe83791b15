package limit

import (
	"github.com/baobabquay/baobabquay/internal/jobs"
)

// admit admits waiting requests while there is free capacity.
func (q *Queue) admit() {
	for q.admitted < q.capacity && q.waiting > 0 {
		wq := q.nextToAdmit()
		class := wq.mostUrgentClass()
		w := q.removeAt(wq, class, 0)
		q.admitted++
		q.admissions++
		wq.admitted++
		wq.lastAdmission = q.admissions
		w.decision <- nil
	}
}

// nextToAdmit returns the workspace with waiting requests that comes first in
// the order of admitBefore.
func (q *Queue) nextToAdmit() *workspaceQueue {
	var best *workspaceQueue
	for _, wq := range q.workspaces {
		if wq.waiting > 0 && (best == nil || wq.admitBefore(best)) {
			best = wq
		}
	}
	return best
}

// admitBefore reports whether the next request of wq is admitted before one of
// other. The workspace with fewer admitted requests relative to its weight
// comes first, then the one whose last admission is longer ago.
func (wq *workspaceQueue) admitBefore(other *workspaceQueue) bool {
	a, b := float64(wq.admitted)*other.weight, float64(other.admitted)*wq.weight
	switch {
	case a != b:
		return a < b
	case wq.lastAdmission != other.lastAdmission:
		return wq.lastAdmission < other.lastAdmission
	}
	return wq.workspace < other.workspace
}

// mostUrgentClass returns the most urgent class that has a waiter.
func (wq *workspaceQueue) mostUrgentClass() int {
	for c := range wq.classes {
		if len(wq.classes[c]) > 0 {
			return c
		}
	}
	return int(jobs.Background)
}

// leastUrgentClass returns the least urgent class that has a waiter.
func (wq *workspaceQueue) leastUrgentClass() int {
	for c := classCount - 1; c >= 0; c-- {
		if len(wq.classes[c]) > 0 {
			return c
		}
	}
	return 0
}

// shed sheds the newest waiter of the least urgent class among the workspaces
// whose waiting requests exceed their share of the bound. There is at least one
// such workspace, because more requests wait than the shares add up to.
func (q *Queue) shed() {
	wq := q.nextToShed()
	class := wq.leastUrgentClass()
	w := q.removeAt(wq, class, len(wq.classes[class])-1)
	q.dropIfEmpty(wq)
	w.decision <- ErrShed
}

// nextToShed returns the workspace that exceeds its share of the queue and
// comes first in the order of shedBefore.
func (q *Queue) nextToShed() *workspaceQueue {
	total := 0.0
	for _, wq := range q.workspaces {
		if wq.waiting > 0 {
			total += wq.weight
		}
	}
	var worst *workspaceQueue
	for _, wq := range q.workspaces {
		share := float64(q.settings.Bound) * wq.weight / total
		if float64(wq.waiting) <= share {
			continue
		}
		if worst == nil || wq.shedBefore(worst) {
			worst = wq
		}
	}
	return worst
}

// shedBefore reports whether a request of wq is shed before one of other. The
// workspace with the less urgent waiter comes first, then the one with more
// waiting requests relative to its weight.
func (wq *workspaceQueue) shedBefore(other *workspaceQueue) bool {
	if a, b := wq.leastUrgentClass(), other.leastUrgentClass(); a != b {
		return a > b
	}
	a, b := float64(wq.waiting)*other.weight, float64(other.waiting)*wq.weight
	if a != b {
		return a > b
	}
	return wq.workspace < other.workspace
}

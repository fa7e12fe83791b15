package sched

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/jobs"
)

const (
	// A large gang is overdue once it has waited for minOverdueWait and for
	// overdueRunTimeFactor times its remaining run time. Lower values reclaim
	// more small jobs that would soon have ended anyway.
	minOverdueWait       = time.Minute
	overdueRunTimeFactor = 1.0
	// largeGangAccelerators is the number of accelerators from which a gang is
	// large. It needs a whole worker, and small jobs rarely leave a whole
	// worker free.
	largeGangAccelerators = 8
	// maxOverdueLoss is the unsaved progress up to which a gang can be
	// reclaimed for an overdue one. Jobs that cannot checkpoint are therefore
	// not reclaimed once they have run for longer.
	maxOverdueLoss = 2 * time.Minute
	// urgentReclaimWait is the wait after which urgent jobs reclaim lent gangs
	// of normal class as well. Urgent jobs have to start within 8 s, so 6 s
	// remain to stop the gangs and to start the job.
	urgentReclaimWait = 2 * time.Second
	// minMoveWait is the wait after which a job may move to a domain with enough
	// free capacity.
	minMoveWait = 10 * time.Second
	// maxMoves bounds the moves of one decision, because the summaries of the
	// peers do not yet include them.
	maxMoves = 2
)

// reclaimableFor returns a filter for the lent gangs that can be reclaimed for
// a waiting job outside guarantees, or nil if the job must wait. Urgent jobs
// reclaim background gangs, and after urgentReclaimWait normal gangs as well.
// An overdue large gang reclaims smaller gangs of its class or below that were
// submitted later, so that they cannot delay it for long, whatever run times
// they declared. Of two jobs at most one can reclaim the other, and an overdue
// gang precedes the jobs that it reclaims in the queue, so two jobs cannot
// reclaim each other's workers in turn.
func (p *plan) reclaimableFor(j *jobs.Job) func(*lentGang) bool {
	if j.Spec.Class == jobs.Urgent {
		return func(l *lentGang) bool {
			class := l.gang.Job.Spec.Class
			return class == jobs.Background || (class == jobs.Normal && p.now.Sub(j.Submitted) >= urgentReclaimWait)
		}
	}
	if !p.isOverdue(j) || p.reclaimSearches == maxReclaimSearches {
		return nil
	}
	p.reclaimSearches++
	size := j.Spec.Shape.Total().Accelerators
	return func(l *lentGang) bool {
		g := &l.gang.Job
		return l.gang.Progress-l.gang.Saved <= maxOverdueLoss &&
			g.Spec.Class >= j.Spec.Class && g.Spec.Shape.Total().Accelerators < size &&
			compareSubmission(j, g) < 0
	}
}

// isOverdue reports whether j is a large gang that has waited for so long that
// the smaller jobs that overtook it are reclaimed.
func (p *plan) isOverdue(j *jobs.Job) bool {
	if j.Spec.Class == jobs.Urgent || j.Spec.Shape.Total().Accelerators < largeGangAccelerators {
		return false
	}
	runTimeWait := time.Duration(overdueRunTimeFactor * float64(p.remainingRunTime(j, j.Saved)))
	return p.now.Sub(j.Submitted) >= max(minOverdueWait, runTimeWait)
}

// waitOrMove moves a job that has waited for minMoveWait to a domain with enough
// free capacity, and otherwise leaves it waiting for the given reason.
func (p *plan) waitOrMove(j jobs.Job, reason string) {
	if p.now.Sub(j.Submitted) >= minMoveWait && p.countMoves() < maxMoves {
		if to, ok := leastLoadedPeerWithCapacity(p.peers, j); ok {
			p.add(Action{Kind: Move, Job: j, To: to, Reason: "the domain has room"})
			return
		}
	}
	p.wait(j, reason)
}

// countMoves returns the number of moves decided so far.
func (p *plan) countMoves() int {
	n := 0
	for _, a := range p.actions {
		if a.Kind == Move {
			n++
		}
	}
	return n
}

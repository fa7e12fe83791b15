package sched

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/jobs"
)

const (
	// minPatience and patienceShare, a share of the gang's own run time, are
	// the wait after which a large gang is due. A gang that is due sooner
	// stops more small jobs that would have ended by themselves.
	minPatience   = time.Minute
	patienceShare = 1.0
	// largeGang is the number of accelerators from which a gang is large: it
	// needs a whole worker, which small jobs rarely leave free by chance.
	largeGang = 8
	// dueLoss is the unsaved work up to which a gang is stopped for a due one.
	// Jobs that cannot checkpoint are so left alone once they have run for long.
	dueLoss = 2 * time.Minute
	// urgentPatience is the wait after which urgent work takes normal lent
	// work as well. It leaves 6 s of the 8 s to stop that work and to start.
	urgentPatience = 2 * time.Second
	// moveAfter is the wait after which a job may move to a domain with room.
	moveAfter = 10 * time.Second
	// movesAtOnce bounds the moves of one decision, because the summary of
	// the peer is older than the moves.
	movesAtOnce = 2
)

// gives returns which lent gangs must leave for a waiting job outside
// guarantees, or nil if it must wait. Urgent work takes background work, and
// normal work when no background work can make room. A
// large gang that is due takes its place back from smaller jobs of its class
// or below that were submitted later. It is so never delayed by them for long,
// whatever run times they declared. Of two jobs at most one can take from the
// other, and a due gang comes before the jobs it takes from in the queue, so
// that a place does not change hands for ever.
func (p *plan) gives(j *jobs.Job) func(*lent) bool {
	if j.Spec.Class == jobs.Urgent {
		return func(l *lent) bool {
			class := l.gang.Job.Spec.Class
			return class == jobs.Background || (class == jobs.Normal && p.now.Sub(j.Submitted) >= urgentPatience)
		}
	}
	if !p.due(j) || p.searched == searches {
		return nil
	}
	p.searched++
	size := j.Spec.Shape.Total().Accelerators
	return func(l *lent) bool {
		g := &l.gang.Job
		return l.gang.Progress-l.gang.Saved <= dueLoss && g.Spec.Class >= j.Spec.Class && g.Spec.Shape.Total().Accelerators < size && compareAge(j, g) < 0
	}
}

// due reports whether a large gang has waited for so long that jobs which
// overtook it must give its place back.
func (p *plan) due(j *jobs.Job) bool {
	if j.Spec.Class == jobs.Urgent || j.Spec.Shape.Total().Accelerators < largeGang {
		return false
	}
	patience := time.Duration(patienceShare * float64(p.remaining(j, j.Saved)))
	return p.now.Sub(j.Submitted) >= max(minPatience, patience)
}

// stay leaves a job waiting, or moves it to a domain that has room for it.
func (p *plan) stay(j jobs.Job, reason string) {
	if p.now.Sub(j.Submitted) >= moveAfter && p.moves() < movesAtOnce {
		if to, ok := roomy(p.peers, j); ok {
			p.add(Action{Kind: Move, Job: j, To: to, Reason: "the domain has room"})
			return
		}
	}
	p.wait(j, reason)
}

func (p *plan) moves() int {
	n := 0
	for _, a := range p.actions {
		if a.Kind == Move {
			n++
		}
	}
	return n
}

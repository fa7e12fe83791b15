package sched

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/jobs"
)

const (
	// minPatience is the shortest wait after which a job takes its place back
	// from gangs that overtook it. Shorter waits would stop gangs that are
	// about to end.
	minPatience = 30 * time.Second
	// patienceShare is the share of its own run time that a job waits first.
	patienceShare = 0.5
	// moveAfter is the wait after which a job may move to a domain with room.
	moveAfter = 10 * time.Second
	// movesAtOnce bounds the moves of one decision, because the summary of
	// the peer is older than the moves.
	movesAtOnce = 2
)

// gives returns which lent gangs must leave for a waiting job outside
// guarantees, or nil if it must wait. Urgent work takes background work. Any
// job whose patience is over takes back what later jobs of its class or below
// took: it is so never delayed by them for long, whatever run times they
// declared, and because the order of submission is total, two jobs cannot take
// from each other in turn.
func (p *plan) gives(j jobs.Job) func(*lent) bool {
	impatient := p.now.Sub(j.Submitted) >= p.patience(j)
	if j.Spec.Class != jobs.Urgent && !impatient {
		return nil
	}
	return func(l *lent) bool {
		g := &l.gang.Job
		if j.Spec.Class == jobs.Urgent && g.Spec.Class == jobs.Background {
			return true
		}
		return impatient && g.Spec.Class >= j.Spec.Class && compareAge(&j, g) < 0
	}
}

func (p *plan) patience(j jobs.Job) time.Duration {
	return max(minPatience, time.Duration(patienceShare*float64(p.remaining(j, j.Saved))))
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

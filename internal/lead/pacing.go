package lead

import "time"

// pacer determines when the next scheduling decision is due.
type pacer struct {
	// changed reports whether anything that decisions depend on has changed
	// since the last decision.
	changed bool
	// lastDecision is the start of the last decision. nextDecision is the
	// earliest start of the next one.
	lastDecision   time.Time
	nextDecision   time.Time
	lastStallCheck time.Time // start of the last search for stalled tasks
}

const (
	// maxDecisionInterval is the longest time between two decisions while there
	// are jobs. Some decisions depend on time alone: a unit stops waiting for
	// capacity near its data, a quarantine ends, or a task counts as stalled.
	maxDecisionInterval = 250 * time.Millisecond
	// decisionPauseFactor times the duration of a decision is the least pause
	// before the next one. With hundreds of units waiting in a full site a
	// decision takes tens of milliseconds, and without the pause reports and
	// lease renewals would be late.
	decisionPauseFactor = 2
	// stallCheckInterval is the time between two searches for stalled tasks.
	stallCheckInterval = 100 * time.Millisecond
	// leavingCheckInterval is the time between two searches for runs that would be lost
	// with a draining worker.
	leavingCheckInterval = 100 * time.Millisecond
)

// due reports whether to make a decision: the pause after the last one is over,
// and something has changed or maxDecisionInterval has passed.
func (p *pacer) due(now time.Time) bool {
	return !now.Before(p.nextDecision) && (p.changed || now.Sub(p.lastDecision) >= maxDecisionInterval)
}

// done records the start and the end of a decision.
func (p *pacer) done(began, ended time.Time) {
	p.lastDecision, p.nextDecision = began, ended.Add(decisionPauseFactor*ended.Sub(began))
}

// nextWake returns how long the loop may wait without an event.
func (t *term) nextWake(now time.Time) time.Duration {
	const idle = time.Second
	wait := idle
	if len(t.placements) > 0 || len(t.jobs) > 0 {
		wait = maxDecisionInterval
	}
	if !t.dirtySince.IsZero() && !t.inFlight {
		wait = min(wait, max(t.commitDue().Sub(now), time.Millisecond))
	}
	if t.startsLimited {
		wait = min(wait, startRetryInterval)
	}
	if len(t.leaving) > 0 {
		wait = min(wait, leavingCheckInterval)
	}
	if t.pacer.changed {
		wait = min(wait, max(t.pacer.nextDecision.Sub(now), time.Millisecond))
	}
	for _, j := range t.jobs {
		if !j.nextDue.IsZero() {
			wait = min(wait, max(time.Until(j.nextDue), time.Millisecond))
		}
	}
	return wait
}

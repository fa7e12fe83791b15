package plan

import "time"

// When urgent gangs come in quick succession, the units that lose the least work are those
// that have just been placed, often on the capacity that an earlier preemption freed.

const (
	// youngAge is the age under which a run is stopped only if there is no other choice.
	// Until then most of its time went into its placement and start, which the stop
	// makes useless.
	youngAge = 100 * time.Millisecond
	// restartTime is the time from the end of a stopped run to the start of its next
	// one at the earliest: a decision, the store's answer and the order to the worker.
	restartTime = 100 * time.Millisecond
	// stopStartTime is the time from the decision to stop a run to the start of another
	// one in its place. What ends by itself sooner is not worth a stop.
	stopStartTime = 300 * time.Millisecond
	// lastResortCost is added to the cost of units that are stopped only if there is no
	// other choice. It exceeds the work that can be lost otherwise, in core-seconds.
	lastResortCost = 1e9
	// youngCost is added instead for runs under youngAge, so that they are the very last
	// choice.
	youngCost = 1e13
)

// PreemptionCost returns the work in core-seconds that is lost when p is stopped, with
// that of all members of a gang and the time of a restart. Units that are stopped only
// if there is no other choice cost more: lastResortCost if they are expected to end
// sooner than their capacity could be used after a stop, youngCost if they run for less
// than youngAge.
func PreemptionCost(now time.Time, v *View, p *Placement) float64 {
	cost := LostWork(now, v, p)
	if p.Since.IsZero() {
		// No run is lost, and the capacity is free at once.
		return cost
	}
	cost += restartTime.Seconds() * weight(p.Unit.Spec().Demand) * float64(len(p.Unit.Members))
	ran := now.Sub(p.Since)
	// A run that has exceeded its expected time may go on for long.
	remaining := v.runTime(p.Unit) - ran
	switch {
	case ran < youngAge:
		cost += youngCost
	case remaining > 0 && remaining <= stopStartTime:
		cost += lastResortCost
	}
	return cost
}

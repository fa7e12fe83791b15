package drain

import "time"

// Load pattern: many workers are taken away at short notice, about two seconds, while
// most of them run tasks.

// Run is a run on a draining worker. The times of a gang are those of its slowest
// member.
type Run struct {
	// Elapsed is the time for which the run has been at work.
	Elapsed time.Duration
	// Expected is the expected time of the whole run.
	Expected time.Duration
	// Percent is the progress that was last reported, and Age how long ago it was
	// reached.
	Percent int
	Age     time.Duration
	// PerPercent is the measured time that a percent takes, 0 if it is not known.
	PerPercent time.Duration
	// Checkpoints reports whether a stopped run loses no work.
	Checkpoints bool
	// Endless runs do not end by themselves.
	Endless bool
}

const (
	// StopLead is the time that a stop takes until its end is listed: up to 0.9 s on
	// the worker, and the order and the report beside it.
	StopLead    = 1200 * time.Millisecond
	fullPercent = 100
)

// Remaining returns the expected time until the run ends by itself, by its measured
// progress if there is any.
func (r Run) Remaining() time.Duration {
	if r.PerPercent > 0 {
		return max(time.Duration(fullPercent-r.Percent)*r.PerPercent-r.Age, 0)
	}
	return max(r.Expected-r.Elapsed, 0)
}

// Move reports whether to stop a run now that its worker stays for the given time, which
// is negative once it may have left. A run that is expected to end in time stays, and so
// does one that has only its end to report, since a stop takes longer. One without checkpoints whose measured
// progress shows that it can't end in time is stopped at once, since its work is lost
// in any case. The others go on until the last moment at which a stop still ends in
// time.
func Move(r Run, stays time.Duration) bool {
	if !r.Endless && (r.Percent >= fullPercent || r.Remaining() <= stays) {
		return false
	}
	return stays <= StopLead || r.PerPercent > 0 && !r.Checkpoints && !r.Endless
}

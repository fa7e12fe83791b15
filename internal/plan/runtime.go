package plan

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
)

// Where declared run times are wrong, units wait for capacity near their data for a time
// that does not fit their run, and units that cannot meet their deadline take capacity
// from those that can. Learned run times correct this, within limits, since they may be
// wrong, too.

const (
	// maxExpectedFactor times the declared run time, or minExpectedBase if that is
	// longer, bounds what a learned run time counts. So a wrong one has a unit yield
	// to others of its priority for at most the declared run time or 2 s, and makes its
	// wait for capacity near its data at most twice as long as by the longer of the
	// declared time and minExpectedBase.
	maxExpectedFactor = 2
	minExpectedBase   = time.Second
)

// runTime returns the run time of a task of u near its data that decisions reckon with. It is
// never below the declared one: a job that declares too long a time gains nothing by it,
// since its deadline follows from that time, and on a full site a shorter wait for capacity
// near the data has more units run far from it. Urgent units have a bound on their start, and
// the declared time applies.
func (v *View) runTime(u graph.Unit) time.Duration {
	declared := u.Spec().Estimate
	if v.Expected == nil || Urgent(u.Progress.Job) {
		return declared
	}
	return max(declared, min(v.Expected(u), maxExpectedFactor*max(declared, minExpectedBase)))
}

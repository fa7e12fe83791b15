package lead

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// The preemptions by the age of the victim. Those of runs under 0.1 s are the ones that
// plan.PreemptionCost avoids.
var (
	preemptionsUnstarted = metrics.NewCounter(`baobabquay_preemptions_total{age="unstarted"}`)
	preemptionsByAge     = []preemptionCount{
		{100 * time.Millisecond, metrics.NewCounter(`baobabquay_preemptions_total{age="under100ms"}`)},
		{700 * time.Millisecond, metrics.NewCounter(`baobabquay_preemptions_total{age="under700ms"}`)},
		{5 * time.Second, metrics.NewCounter(`baobabquay_preemptions_total{age="under5s"}`)},
	}
	preemptionsOlder = metrics.NewCounter(`baobabquay_preemptions_total{age="older"}`)
)

// preemptionCount counts the preemptions of runs under the given age.
type preemptionCount struct {
	under time.Duration
	*metrics.Counter
}

// countPreemption counts that a placement is stopped for another unit.
func countPreemption(p *placement, now time.Time) { preemptionCounter(p, now).Inc() }

// preemptionCounter returns the counter for a placement that is stopped at now.
func preemptionCounter(p *placement, now time.Time) *metrics.Counter {
	if p.Since.IsZero() {
		return preemptionsUnstarted
	}
	for _, c := range preemptionsByAge {
		if p.elapsed(now) < c.under {
			return c.Counter
		}
	}
	return preemptionsOlder
}

package bench

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/sched"
)

type (
	// Sample is the figures of one workload under one policy with one seed.
	// It joins the runs of both users.
	Sample struct {
		Values map[string]float64
		// Faults describes the first breaches.
		Faults []string
	}

	// Measure is a figure that a sample has.
	Measure struct {
		Name string
		Unit string
	}
)

// Measures returns the figures in the order in which they are printed.
func Measures() []Measure {
	var all []Measure
	for _, c := range classes {
		all = append(all,
			Measure{c.String() + "CompletionP50", "s"},
			Measure{c.String() + "CompletionP99", "s"},
			Measure{c.String() + "MeanSlowdown", "ratio"},
		)
	}
	return append(all,
		Measure{"meanSlowdown", "ratio"},
		Measure{"urgentWaitP99", "s"},
		Measure{"fragmentation", "share"},
		Measure{"utilisation", "share"},
		Measure{"lostToReclaim", "share"},
		Measure{"usefulWhileAway", "share"},
		Measure{"makespan", "ratio"},
		Measure{"reclaims", "count"},
		Measure{"refused", "count"},
		Measure{"failed", "count"},
		Measure{"unfinished", "count"},
		Measure{"breaches", "count"},
	)
}

var classes = []jobs.Class{jobs.Urgent, jobs.Normal, jobs.Background}

// Run measures the workload for both users and returns the joint figures.
func Run(load Workload, policy sched.Policy, seed uint64) Sample {
	var scores []*score
	for _, u := range []user{khangai(), cedarline()} {
		scores = append(scores, newWorld(u, load, policy, seed).run())
	}
	return join(scores)
}

func join(scores []*score) Sample {
	v := make(map[string]float64)
	sample := Sample{Values: v}
	var slow []float64
	for _, c := range classes {
		var took []time.Duration
		var slowdown []float64
		for _, s := range scores {
			took = append(took, s.completion[c]...)
			slowdown = append(slowdown, s.slowdown[c]...)
		}
		v[c.String()+"CompletionP50"] = quantile(took, 0.5).Seconds()
		v[c.String()+"CompletionP99"] = quantile(took, 0.99).Seconds()
		v[c.String()+"MeanSlowdown"] = mean(slowdown)
		slow = append(slow, slowdown...)
	}
	v["meanSlowdown"] = mean(slow)
	var wait []time.Duration
	var sum score
	for _, s := range scores {
		wait = append(wait, s.urgentWait...)
		sum.add(s)
		sample.Faults = append(sample.Faults, s.faults...)
		v["makespan"] = max(v["makespan"], s.last.Sub(start).Seconds()/s.bound.Seconds())
	}
	v["urgentWaitP99"] = quantile(wait, 0.99).Seconds()
	v["fragmentation"] = share(sum.scattered, sum.free)
	v["utilisation"] = share(sum.busy, sum.capacity)
	v["lostToReclaim"] = share(sum.lost, sum.capacity)
	v["usefulWhileAway"] = share(sum.away-sum.awayLost, sum.awayCapacity)
	v["reclaims"] = float64(sum.reclaims)
	v["refused"] = float64(sum.refused)
	v["failed"] = float64(sum.failed)
	v["unfinished"] = float64(sum.unfinished)
	v["breaches"] = float64(sum.breaches)
	return sample
}

func (c *score) add(o *score) {
	c.capacity += o.capacity
	c.busy += o.busy
	c.free += o.free
	c.scattered += o.scattered
	c.lost += o.lost
	c.away += o.away
	c.awayLost += o.awayLost
	c.awayCapacity += o.awayCapacity
	c.reclaims += o.reclaims
	c.refused += o.refused
	c.failed += o.failed
	c.unfinished += o.unfinished
	c.breaches += o.breaches
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func median(x []float64) float64 {
	sorted := slices.Clone(x)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

package expect

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Distribution is the run time that is expected of a run on a sound worker near its
// data.
type Distribution struct {
	// Observations is the weight of the observations behind it, by level. The last
	// observation of a level has the weight one.
	Observations [Levels]float64
	// shares has the share of the runs in each bin. They add up to one if known is
	// true.
	shares [bins]float32
	// unit is the run time of a ratio of one.
	unit     time.Duration
	declared time.Duration
	known    bool
}

// Level is a level at which observations are pooled.
type Level int

// Levels of pooling, from narrow to wide.
const (
	// Size pools the runs of a workspace, queue, image, demand and size of gang.
	Size Level = iota
	// Own pools the runs of a workspace in a queue.
	Own
	// Queue pools the runs of a queue, and All those of all queues.
	Queue
	All
	// Levels is the number of levels.
	Levels
)

const (
	// minTailShare is the share of the runs that is taken to last beyond all that is
	// known, so that a run that has outlived the others still has time to go.
	minTailShare = 0.005
	// maxDuration bounds what is returned, so that sums with instants do not overflow.
	maxDuration = 10 * 365 * 24 * time.Hour
)

var levelNames = [Levels]string{"size", "own", "queue", "all"}

// Declared returns the distribution of a run of which the declared time alone is known.
func Declared(t time.Duration) Distribution { return Distribution{declared: t} }

// Known reports whether there are observations. Without them the declared time is
// returned for the mean and for each quantile.
func (d *Distribution) Known() bool { return d.known }

// Mean returns the mean run time.
func (d *Distribution) Mean() time.Duration {
	if !d.known {
		return d.declared
	}
	sum := 0.0
	for i, share := range d.shares {
		sum += float64(share) * binMeans[i]
	}
	return d.duration(sum)
}

// Median returns the run time that half of the runs exceed.
func (d *Distribution) Median() time.Duration { return d.Quantile(0.5) }

// Quantile returns the run time that the share q of the runs does not exceed.
func (d *Distribution) Quantile(q float64) time.Duration {
	if !d.known {
		return d.declared
	}
	below, last := 0.0, 0
	for i, s := range d.shares {
		share := float64(s)
		if share == 0 {
			continue
		}
		if below+share >= q {
			return d.duration(math.Exp2(exponentOf(float64(i) + max(q-below, 0)/share)))
		}
		below, last = below+share, i
	}
	return d.duration(math.Exp2(exponentOf(float64(last + 1))))
}

// Remaining returns the mean time that a run still takes which has not ended after
// elapsed. The longer a run outlives what is known, the longer it is expected to go on:
// a small share of the runs is taken to follow a Pareto distribution of shape two, of
// which the mean excess equals the elapsed time.
func (d *Distribution) Remaining(elapsed time.Duration) time.Duration {
	elapsed = max(elapsed, 0)
	if !d.known {
		if elapsed < d.declared {
			return d.declared - elapsed
		}
		return min(elapsed, maxDuration)
	}
	ratio := float64(elapsed) / float64(d.unit)
	position := positionOf(ratio)
	weight, excess := minTailShare, minTailShare*ratio
	for i := int(position); i < bins; i++ {
		share, mean := float64(d.shares[i]), binMeans[i]
		if float64(i) < position {
			// The part of the bin beyond the elapsed time.
			share *= float64(i+1) - position
			mean = (ratio + math.Exp2(exponentOf(float64(i+1)))) / 2
		}
		weight += share
		excess += share * max(mean-ratio, 0)
	}
	return d.duration(excess / weight)
}

// duration returns the run time of a ratio.
func (d *Distribution) duration(ratio float64) time.Duration {
	return time.Duration(min(ratio*float64(d.unit), float64(maxDuration)))
}

// Source names the levels that have observations, with their weights, from narrow to
// wide. It is "declared" if there are none.
func (d *Distribution) Source() string {
	if !d.known {
		return "declared"
	}
	var parts []string
	for level, n := range d.Observations {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s:%v", levelNames[level], math.Round(10*n)/10))
		}
	}
	return strings.Join(parts, " ")
}

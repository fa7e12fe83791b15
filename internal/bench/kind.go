package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// jobKind describes the jobs of one kind in a workload.
type jobKind struct {
	name string
	// share is the share of the offered accelerator time.
	share      float64
	workspaces []ident.Workspace
	class      jobs.Class
	shapes     []shape.Shape
	// Run times are log-normal with this median; runTimeSpread is the standard
	// deviation of their logarithm.
	medianRunTime time.Duration
	runTimeSpread float64
	// guaranteedShare is the share of jobs that are submitted as guaranteed.
	guaranteedShare float64
}

func khangaiJobKinds() []jobKind {
	foundries := []ident.Workspace{"foundryA", "foundryB", "foundryC"}
	return []jobKind{
		{"stamp", 0.03, []ident.Workspace{"desk"}, jobs.Urgent, []shape.Shape{gangShape(1, 1, shape.SameWorker), gangShape(1, 2, shape.SameWorker)}, 12 * time.Second, 0.5, 0.3},
		{"check", 0.22, foundries, jobs.Normal, []shape.Shape{gangShape(1, 1, 0), gangShape(1, 2, 0), gangShape(2, 2, 0), gangShape(4, 1, 0), gangShape(1, 8, shape.SameWorker)}, time.Minute, 0.8, 0.1},
		{"proof", 0.33, foundries, jobs.Normal, []shape.Shape{gangShape(4, 8, shape.SameRack)}, 4 * time.Minute, 0.6, 0.6},
		{"set", 0.15, foundries, jobs.Normal, []shape.Shape{gangShape(2, 4, shape.SameRack), gangShape(2, 8, shape.SameRack)}, 2 * time.Minute, 0.7, 0},
		{"index", 0.27, append(foundries, "desk"), jobs.Background, []shape.Shape{gangShape(1, 1, 0), gangShape(1, 2, 0), gangShape(1, 4, 0), gangShape(2, 4, 0)}, 5 * time.Minute, 0.8, 0},
	}
}

func cedarlineJobKinds() []jobKind {
	return []jobKind{
		{"reroute", 0.06, []ident.Workspace{"dispatch", "bands"}, jobs.Urgent, []shape.Shape{gangShape(1, 1, shape.SameWorker), gangShape(1, 2, shape.SameWorker)}, 8 * time.Second, 0.5, 0.4},
		{"rebuild", 0.28, []ident.Workspace{"rebuilds"}, jobs.Normal, []shape.Shape{gangShape(8, 8, shape.SameRack)}, 5 * time.Minute, 0.6, 0.7},
		{"corridor", 0.20, []ident.Workspace{"bands", "rebuilds"}, jobs.Normal, []shape.Shape{gangShape(4, 8, shape.SameDomain), gangShape(4, 4, shape.SameDomain)}, 3 * time.Minute, 0.6, 0.3},
		{"survey", 0.16, []ident.Workspace{"bands", "dispatch", "rebuilds"}, jobs.Normal, []shape.Shape{gangShape(1, 1, 0), gangShape(1, 4, 0), gangShape(2, 2, 0)}, time.Minute, 0.8, 0},
		{"refresh", 0.30, []ident.Workspace{"depots"}, jobs.Background, []shape.Shape{gangShape(1, 1, 0), gangShape(1, 2, 0), gangShape(2, 2, 0), gangShape(2, 4, shape.SameRack)}, 4 * time.Minute, 0.8, 0.1},
	}
}

// drawRunTime draws a run time of at least 2 s and at most 8 times the median.
func (k jobKind) drawRunTime(r *rand.Rand) time.Duration {
	factor := math.Exp(r.NormFloat64() * k.runTimeSpread)
	return max(2*time.Second, time.Duration(float64(k.medianRunTime)*min(factor, 8)).Round(tick))
}

// meanAcceleratorSeconds returns the mean number of accelerators of a job times
// its mean run time in seconds.
func (k jobKind) meanAcceleratorSeconds() float64 {
	accelerators := 0.0
	for _, s := range k.shapes {
		accelerators += float64(s.Total().Accelerators)
	}
	return accelerators / float64(len(k.shapes)) * k.medianRunTime.Seconds() * math.Exp(k.runTimeSpread*k.runTimeSpread/2)
}

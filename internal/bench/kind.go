package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// kind is a kind of job.
type kind struct {
	name string
	// share of the offered accelerator time.
	share      float64
	workspaces []ident.Workspace
	class      jobs.Class
	shapes     []shape.Shape
	// median run time, and the spread of its logarithm.
	median time.Duration
	spread float64
	// guaranteed is the share of jobs that ask for a guarantee.
	guaranteed float64
}

func khangaiKinds() []kind {
	foundries := []ident.Workspace{"foundryA", "foundryB", "foundryC"}
	return []kind{
		{"stamp", 0.03, []ident.Workspace{"desk"}, jobs.Urgent, []shape.Shape{gang(1, 1, shape.SameWorker), gang(1, 2, shape.SameWorker)}, 12 * time.Second, 0.5, 0.3},
		{"check", 0.22, foundries, jobs.Normal, []shape.Shape{gang(1, 1, 0), gang(1, 2, 0), gang(2, 2, 0), gang(4, 1, 0), gang(1, 8, shape.SameWorker)}, time.Minute, 0.8, 0.1},
		{"proof", 0.33, foundries, jobs.Normal, []shape.Shape{gang(4, 8, shape.SameRack)}, 4 * time.Minute, 0.6, 0.6},
		{"set", 0.15, foundries, jobs.Normal, []shape.Shape{gang(2, 4, shape.SameRack), gang(2, 8, shape.SameRack)}, 2 * time.Minute, 0.7, 0},
		{"index", 0.27, append(foundries, "desk"), jobs.Background, []shape.Shape{gang(1, 1, 0), gang(1, 2, 0), gang(1, 4, 0), gang(2, 4, 0)}, 5 * time.Minute, 0.8, 0},
	}
}

func cedarlineKinds() []kind {
	return []kind{
		{"reroute", 0.06, []ident.Workspace{"dispatch", "bands"}, jobs.Urgent, []shape.Shape{gang(1, 1, shape.SameWorker), gang(1, 2, shape.SameWorker)}, 8 * time.Second, 0.5, 0.4},
		{"rebuild", 0.28, []ident.Workspace{"rebuilds"}, jobs.Normal, []shape.Shape{gang(8, 8, shape.SameRack)}, 5 * time.Minute, 0.6, 0.7},
		{"corridor", 0.20, []ident.Workspace{"bands", "rebuilds"}, jobs.Normal, []shape.Shape{gang(4, 8, shape.SameDomain), gang(4, 4, shape.SameDomain)}, 3 * time.Minute, 0.6, 0.3},
		{"survey", 0.16, []ident.Workspace{"bands", "dispatch", "rebuilds"}, jobs.Normal, []shape.Shape{gang(1, 1, 0), gang(1, 4, 0), gang(2, 2, 0)}, time.Minute, 0.8, 0},
		{"refresh", 0.30, []ident.Workspace{"depots"}, jobs.Background, []shape.Shape{gang(1, 1, 0), gang(1, 2, 0), gang(2, 2, 0), gang(2, 4, shape.SameRack)}, 4 * time.Minute, 0.8, 0.1},
	}
}

// runTime draws a run time.
func (k kind) runTime(r *rand.Rand) time.Duration {
	x := math.Exp(r.NormFloat64() * k.spread)
	return max(2*time.Second, time.Duration(float64(k.median)*min(x, 8)).Round(tick))
}

// area is the mean accelerator time of a job.
func (k kind) area() float64 {
	sum := 0.0
	for _, s := range k.shapes {
		sum += float64(s.Total().Accelerators)
	}
	return sum / float64(len(k.shapes)) * k.median.Seconds() * math.Exp(k.spread*k.spread/2)
}

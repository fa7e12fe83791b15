package bench

import (
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// largeShard returns a cluster with one shard of the size expected within two
// years: 215 workers, with 41 guaranteed gangs of half a rack. BenchmarkDecide
// has no case of this size yet, because such a decision takes seconds
// (docs/measurements.md).
func largeShard() cluster {
	c := khangai()
	c.domains, c.workersPerDomain = c.domains[:1], []int{215}
	for i := range 36 {
		name := c.workspaces[i%4].Name
		c.workspaces = append(c.workspaces, workspace(name, guarantee("part", gangShape(4, 8, shape.SameRack), 1)))
	}
	return c
}

// busyView returns the view of a shard after five minutes at a load above its
// capacity.
func busyView(c cluster) sched.View {
	sim := newSimulation(c, Workload{Name: "busy", horizon: 10 * time.Minute, loadFactor: constantLoad(1.2)}, sched.Default(), 1)
	for sim.now.Sub(start) < 5*time.Minute {
		sim.admitArrivals()
		for _, s := range sim.shards {
			sim.advance(s)
			sim.decide(s)
		}
		sim.now = sim.now.Add(10 * tick)
	}
	return sim.view(sim.shards[0])
}

func benchmarkDecide(b *testing.B, c cluster) {
	v := busyView(c)
	b.ReportMetric(float64(len(v.Waiting)), "waiting")
	b.ReportMetric(float64(len(v.Gangs)), "gangs")
	for b.Loop() {
		sched.Default().Decide(start.Add(5*time.Minute), &v)
	}
}

// idleView returns the view of a shard with all claims unused.
func idleView(c cluster) sched.View {
	sim := newSimulation(c, Workload{Name: "idle"}, sched.Default(), 1)
	return sim.view(sim.shards[0])
}

func benchmarkAllFit(b *testing.B, c cluster) {
	v := idleView(c)
	for b.Loop() {
		quota.NewReservations(v.Workers, v.Guarantees).AllFit()
	}
}

func benchmarkPlacements(b *testing.B, c cluster) {
	v := idleView(c)
	for b.Loop() {
		fleet.Placements(v.Workers, c.largestGang, 24, nil)
	}
}

func BenchmarkDecide17Workers(b *testing.B)      { benchmarkDecide(b, khangai()) }
func BenchmarkAllFit17Workers(b *testing.B)      { benchmarkAllFit(b, khangai()) }
func BenchmarkAllFit215Workers(b *testing.B)     { benchmarkAllFit(b, largeShard()) }
func BenchmarkPlacements17Workers(b *testing.B)  { benchmarkPlacements(b, khangai()) }
func BenchmarkPlacements215Workers(b *testing.B) { benchmarkPlacements(b, largeShard()) }

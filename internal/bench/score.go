package bench

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// score collects what happened in one run.
	score struct {
		user user
		load Workload
		// Times by class.
		completion [3][]time.Duration
		slowdown   [3][]float64
		urgentWait []time.Duration
		first      map[*request]bool

		// Accelerator seconds while jobs arrive.
		capacity, busy     float64
		free, scattered    float64
		away, awayCapacity float64
		lost, awayLost     float64

		bound      time.Duration
		last       time.Time
		breaches   int
		faults     []string
		reclaims   int
		refused    int
		failed     int
		unfinished int
	}
)

// shortest is the run time below which a slowdown counts as of this run time.
const shortest = 10 * time.Second

func newScore(u user, load Workload) *score {
	return &score{user: u, load: load, first: make(map[*request]bool)}
}

func (c *score) started(q *request, begins time.Time) {
	if c.first[q] {
		return
	}
	c.first[q] = true
	if q.job.Spec.Class == jobs.Urgent {
		c.urgentWait = append(c.urgentWait, begins.Sub(q.job.Submitted))
	}
}

func (c *score) ended(q *request, now time.Time) {
	took := now.Sub(q.job.Submitted)
	class := q.job.Spec.Class
	c.completion[class] = append(c.completion[class], took)
	c.slowdown[class] = append(c.slowdown[class], max(1, took.Seconds()/max(q.actual, shortest).Seconds()))
	c.last = now
}

func (c *score) lose(now time.Time, d time.Duration, s shape.Shape) {
	n := d.Seconds() * float64(s.Total().Accelerators)
	c.lost += n
	if c.isAway(now) {
		c.awayLost += n
	}
}

func (c *score) isAway(now time.Time) bool {
	at := now.Sub(start)
	return c.load.out > 0 && at >= c.load.out && at < c.load.back
}

// integrate adds one tick.
func (c *score) integrate(w *world) {
	if w.now.Sub(start) >= c.load.horizon {
		return
	}
	for _, s := range w.sites {
		if !s.inService {
			continue
		}
		for _, x := range s.workers {
			c.capacity += float64(x.Spec.Capacity.Accelerators) * tick.Seconds()
			c.busy += float64(x.Spec.Capacity.Accelerators-x.Free.Accelerators) * tick.Seconds()
		}
		free, usable := holes(s.workers, c.user.large)
		c.free += float64(free) * tick.Seconds()
		c.scattered += float64(free-usable) * tick.Seconds()
		if c.isAway(w.now) {
			c.addAway(w, s)
		}
	}
}

func (c *score) addAway(w *world, s *site) {
	for _, x := range s.workers {
		c.awayCapacity += float64(x.Spec.Capacity.Accelerators) * tick.Seconds()
	}
	for _, g := range s.gangs {
		if !w.now.Before(g.begins) {
			c.away += float64(g.job.Spec.Shape.Total().Accelerators) * tick.Seconds()
		}
	}
}

// holes returns the free accelerators, and those of them that can serve a gang
// of shape s: they are on workers that can hold a member, in a rack (or, as
// the adjacency asks, domain) that can hold the gang.
func holes(workers []fleet.Worker, s shape.Shape) (free, usable int) {
	type sum struct{ members, accelerators int }
	racks := make(map[ident.Rack]sum)
	for _, x := range workers {
		if x.Health != fleet.Healthy {
			continue
		}
		free += x.Free.Accelerators
		if n := s.Member.Count(x.Free, s.Members); n > 0 {
			key := x.Spec.Rack
			if s.Adjacency == shape.SameDomain {
				key = ""
			}
			r := racks[key]
			racks[key] = sum{r.members + n, r.accelerators + n*s.Member.Accelerators}
		}
	}
	for _, r := range racks {
		if r.members >= s.Members {
			usable += r.accelerators
		}
	}
	return free, usable
}

// quantile returns the q-quantile of d, which it sorts.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

func mean(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

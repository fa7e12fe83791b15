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
	// stats collects the measurements of one simulation.
	stats struct {
		cluster  cluster
		workload Workload
		// Indexed by class.
		completion [3][]time.Duration
		slowdown   [3][]float64
		urgentWait []time.Duration
		started    map[*request]bool

		// Accelerator seconds in the domains in service, until the horizon of
		// the workload. fragmented is the part of free that cannot serve the
		// largest guaranteed gang. The outage fields cover only the time in
		// which the first domain is out of service. lost is counted in all
		// domains and also after the horizon.
		capacity, busy             float64
		free, fragmented           float64
		outageBusy, outageCapacity float64
		lost, outageLost           float64

		makespanBound  time.Duration
		lastEnd        time.Time
		breaches       int
		breachMessages []string
		reclaims       int
		refused        int
		failed         int
		unfinished     int
	}
)

// minSlowdownRunTime is the lower bound of the run time in a slowdown, which is
// thus the bounded slowdown: a shorter job counts as one of this run time.
const minSlowdownRunTime = 10 * time.Second

func newStats(c cluster, workload Workload) *stats {
	return &stats{cluster: c, workload: workload, started: make(map[*request]bool)}
}

func (st *stats) recordStart(q *request, startsAt time.Time) {
	if st.started[q] {
		return
	}
	st.started[q] = true
	if q.job.Spec.Class == jobs.Urgent {
		st.urgentWait = append(st.urgentWait, startsAt.Sub(q.job.Submitted))
	}
}

func (st *stats) recordEnd(q *request, now time.Time) {
	completion := now.Sub(q.job.Submitted)
	class := q.job.Spec.Class
	st.completion[class] = append(st.completion[class], completion)
	st.slowdown[class] = append(st.slowdown[class], max(1, completion.Seconds()/max(q.actualRunTime, minSlowdownRunTime).Seconds()))
	st.lastEnd = now
}

func (st *stats) addLost(now time.Time, d time.Duration, s shape.Shape) {
	acceleratorSeconds := d.Seconds() * float64(s.Total().Accelerators)
	st.lost += acceleratorSeconds
	if st.inOutage(now) {
		st.outageLost += acceleratorSeconds
	}
}

func (st *stats) inOutage(now time.Time) bool {
	at := now.Sub(start)
	return st.workload.outageStart > 0 && at >= st.workload.outageStart && at < st.workload.outageEnd
}

// accumulate adds the capacity and its use in one tick.
func (st *stats) accumulate(sim *simulation) {
	if sim.now.Sub(start) >= st.workload.horizon {
		return
	}
	for _, s := range sim.shards {
		if !s.inService {
			continue
		}
		for _, x := range s.workers {
			st.capacity += float64(x.Spec.Capacity.Accelerators) * tick.Seconds()
			st.busy += float64(x.Spec.Capacity.Accelerators-x.Free.Accelerators) * tick.Seconds()
		}
		free, usable := usableFree(s.workers, st.cluster.largestGang)
		st.free += float64(free) * tick.Seconds()
		st.fragmented += float64(free-usable) * tick.Seconds()
		if st.inOutage(sim.now) {
			st.accumulateOutage(sim, s)
		}
	}
}

func (st *stats) accumulateOutage(sim *simulation, s *shard) {
	for _, x := range s.workers {
		st.outageCapacity += float64(x.Spec.Capacity.Accelerators) * tick.Seconds()
	}
	for _, g := range s.gangs {
		if !sim.now.Before(g.startsAt) {
			st.outageBusy += float64(g.job.Spec.Shape.Total().Accelerators) * tick.Seconds()
		}
	}
}

// usableFree returns the number of free accelerators, and how many of them can
// serve a gang of shape s: those on workers that can hold a member, in a rack
// that can hold the gang, or in the domain if the adjacency is SameDomain.
func usableFree(workers []fleet.Worker, s shape.Shape) (free, usable int) {
	type total struct{ members, accelerators int }
	racks := make(map[ident.Rack]total)
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
			t := racks[key]
			racks[key] = total{t.members + n, t.accelerators + n*s.Member.Accelerators}
		}
	}
	for _, t := range racks {
		if t.members >= s.Members {
			usable += t.accelerators
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

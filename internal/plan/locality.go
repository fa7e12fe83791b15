package plan

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
)

// Units whose data is on a full rack either wait for capacity there or start on
// another rack, where they take longer.

const (
	// localityWaitShare is the share of the estimated run time away from the
	// data for which a unit waits for capacity near its data.
	localityWaitShare = 0.8
	// maxIdleWait is the longest time for which a unit waits for capacity near its
	// data while nothing of its job runs and under half of its service is in use. The
	// users count the job as lost after 3 s.
	maxIdleWait = 2 * time.Second
)

// WaitsForLocality reports whether u should wait for capacity near its data.
// Urgent units always do, since they can preempt others there.
func WaitsForLocality(now time.Time, v *View, u graph.Unit) bool {
	s := u.Spec()
	if s.DataRack == "" && !s.SameRack {
		return false
	}
	j := u.Progress.Job
	if Urgent(j) {
		return true
	}
	waited := now.Sub(j.Due(u.Occurrence))
	return waited < time.Duration(localityWaitShare*graph.FarFactor*float64(v.runTime(u)))
}

// waitsForLocality reports whether u waits for capacity near its data in this round.
// Urgent units preempt others there and do not wait beside free capacity.
func (r *round) waitsForLocality(u graph.Unit) bool {
	if !r.WaitsForLocality(r.now, r.View, u) {
		return false
	}
	if Urgent(u.Progress.Job) || r.IdleSince == nil {
		return true
	}
	since := r.IdleSince(u)
	if since.IsZero() || r.now.Sub(since) < maxIdleWait {
		return true
	}
	return !r.isUnderHalfUsed(u.Progress.Job.Service)
}

// isUnderHalfUsed returns the cached answer of View.underHalfUsed.
func (r *round) isUnderHalfUsed(service string) bool {
	under, known := r.underHalfUsed[service]
	if !known {
		under = r.View.underHalfUsed(service)
		r.underHalfUsed[service] = under
	}
	return under
}

// underHalfUsed reports whether under half of the processors and of the accelerators
// of the open workers of a service are in use or reserved.
func (v *View) underHalfUsed(service string) bool {
	var capacity, free graph.Demand
	v.Pool.Each(func(w *pool.Worker) {
		if w.Service == service && !w.Closed {
			capacity, free = capacity.Plus(w.Capacity), free.Plus(w.Free())
		}
	})
	return 2*free.Accelerators > capacity.Accelerators && 2*free.Millicores >= capacity.Millicores
}

// nearFeasible reports whether a rack near the data could hold the request if
// it were empty. A gang may need more than any rack has and would wait in vain.
// Closed and quarantined workers count, since they may take tasks again soon.
func (r *round) nearFeasible(req pool.Request) bool {
	for _, name := range r.Pool.Racks() {
		if req.DataRack != "" && name != req.DataRack {
			continue
		}
		total := 0
		for _, w := range r.Pool.Rack(name) {
			if !w.Serves(&req) {
				continue
			}
			tasks := pool.TasksThatFit(w.Capacity, req.TaskDemand)
			if req.MaxPerWorker > 0 {
				tasks = min(tasks, req.MaxPerWorker)
			}
			total += tasks
		}
		if total >= req.Count {
			return true
		}
	}
	return false
}

package plan

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
)

// Units whose data is on a full rack either wait for capacity there or start on
// another rack, where they take longer.

const (
	// farFactor is the factor by which a task takes longer away from its data.
	// The user documentation gives 3 for all sites.
	farFactor = 3
	// localityWaitShare is the share of the estimated run time away from the
	// data for which a unit waits for capacity near its data.
	localityWaitShare = 0.8
)

// WaitsForLocality reports whether u should wait for capacity near its data.
// Urgent units always do, since they can preempt others there.
func WaitsForLocality(now time.Time, u graph.Unit) bool {
	s := u.Spec()
	if s.DataRack == "" && !s.SameRack {
		return false
	}
	j := u.Progress.Job
	if Urgent(j) {
		return true
	}
	waited := now.Sub(j.Due(u.Occurrence))
	return waited < time.Duration(localityWaitShare*farFactor*float64(s.Estimate))
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

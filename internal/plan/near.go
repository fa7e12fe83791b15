package plan

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
)

// This file answers full racks: whether a unit waits for room near its data or
// starts elsewhere, where it takes longer.

const (
	// farFactor is how many times as long a task takes away from its data;
	// the users' pages give 3 on all sites.
	farFactor = 3
	// patience is the part of a unit's estimate for which it waits for room
	// near its data before it starts elsewhere.
	patience = 0.8
)

// WaitsNear reports whether u is better off waiting for room near its data.
// Urgent units make room instead.
func WaitsNear(now time.Time, u graph.Unit) bool {
	s := u.Spec()
	if s.DataRack == "" && !s.SameRack {
		return false
	}
	j := u.Progress.Job
	if Urgent(j) {
		return true
	}
	waited := now.Sub(j.Due(u.Occurrence))
	return waited < time.Duration(patience*farFactor*float64(s.Estimate))
}

// everNear reports whether a rack near the data could hold the request if it
// were empty. A gang may be wider than any rack, and would wait for nothing.
// Workers that take no tasks for the moment count, since they may be back soon.
func (r *round) everNear(req pool.Request) bool {
	for _, name := range r.Pool.Racks() {
		if req.DataRack != "" && name != req.DataRack {
			continue
		}
		n := 0
		for _, w := range r.Pool.Rack(name) {
			if !w.Serves(&req) {
				continue
			}
			h := pool.Holds(w.Capacity, req.Room)
			if req.MaxPerWorker > 0 {
				h = min(h, req.MaxPerWorker)
			}
			n += h
		}
		if n >= req.Count {
			return true
		}
	}
	return false
}

package share

import "github.com/baobabquay/baobabquay/internal/graph"

// Limit is what the operators have configured for a workspace.
type Limit struct {
	// Weight is the share of the workspace relative to the others while not
	// everything fits. It is also the number of jobs per second for which there is a
	// service obligation. 0 means that none is configured.
	Weight float64
	// Cap bounds what the workspace may have running over all workers, by resource.
	// 0 means no limit.
	Cap graph.Demand
}

// Fits reports whether a total demand keeps to the cap in every resource.
func (l Limit) Fits(total graph.Demand) bool { return l.Excess(total) == graph.Demand{} }

// Excess returns the part of a total demand that is above the cap.
func (l Limit) Excess(total graph.Demand) graph.Demand {
	return graph.Demand{
		Millicores:   excess(total.Millicores, l.Cap.Millicores),
		MemoryMiB:    excess(total.MemoryMiB, l.Cap.MemoryMiB),
		Accelerators: excess(total.Accelerators, l.Cap.Accelerators),
	}
}

func excess(total, limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	return max(total-limit, 0)
}

// Largest returns the largest demand that a step has to place at once: that of the
// whole gang, or of one task.
func Largest(s *graph.Step) graph.Demand {
	if s.Gang {
		return s.Demand.Times(s.Count)
	}
	return s.Demand
}

// Waves returns the number of waves in which the tasks of a step run if nothing else of
// the workspace does.
func (l Limit) Waves(s *graph.Step) int {
	if s.Gang || l.Fits(s.Demand.Times(s.Count)) {
		return 1
	}
	most := int64(s.Count)
	for _, r := range [...][2]int64{
		{l.Cap.Millicores, s.Demand.Millicores}, {l.Cap.MemoryMiB, s.Demand.MemoryMiB}, {l.Cap.Accelerators, s.Demand.Accelerators},
	} {
		if r[0] > 0 && r[1] > 0 {
			most = min(most, r[0]/r[1])
		}
	}
	most = max(most, 1)
	return int((int64(s.Count) + most - 1) / most)
}

// Weighted reports whether any workspace has a weight.
func Weighted(limits map[string]Limit) bool {
	for _, l := range limits {
		if l.Weight > 0 {
			return true
		}
	}
	return false
}

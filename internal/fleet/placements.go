package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// rack has the candidates of one rack.
type rack struct {
	name       ident.Rack
	candidates []candidate
	// total is the number of members that fit on all candidates together.
	total int
	// freeWorkers is the number of workers of the rack that are entirely free.
	freeWorkers int
}

// Placements returns placements for a gang of shape s on healthy workers, the best
// first and at most limit. A placement ranks higher the fewer entirely free
// workers it takes capacity from, and the fewer entirely free workers its rack
// has, so that whole workers and racks remain free for large gangs and small
// tasks use the remaining capacity of partly used workers. Workers for which avoid
// returns true are excluded; avoid may be nil.
func Placements(workers []Worker, s shape.Shape, limit int, avoid func(ident.Worker) bool) [][]jobs.Slot {
	racks := racksFor(workers, s, avoid)
	placements := singleWorkerPlacements(racks, s)
	if s.Adjacency != shape.SameWorker && s.Members > 1 {
		placements = append(placements, rackPlacements(racks, s)...)
		if s.Adjacency == shape.SameDomain {
			placements = append(placements, crossRackPlacement(racks, s)...)
		}
	}
	return placements[:min(limit, len(placements))]
}

// InOrder returns placements that use the workers in the given order: one for each
// single worker that holds the whole gang, one for each rack that does, with the
// racks in the order of their names, and one across racks, as far as the shape
// allows them. Workers for which avoid returns true are excluded; avoid may be nil.
func InOrder(workers []Worker, s shape.Shape, avoid func(ident.Worker) bool) [][]jobs.Slot {
	candidates := candidatesFor(workers, s, avoid)
	var placements [][]jobs.Slot
	byRack := make(map[ident.Rack][]candidate)
	for _, c := range candidates {
		if c.count >= s.Members {
			placements = append(placements, []jobs.Slot{{Worker: c.worker.Spec.ID, Members: s.Members}})
		}
		byRack[c.worker.Spec.Rack] = append(byRack[c.worker.Spec.Rack], c)
	}
	if s.Adjacency == shape.SameWorker || s.Members == 1 {
		return placements
	}
	for _, name := range slices.Sorted(maps.Keys(byRack)) {
		if slots, ok := fillInOrder(byRack[name], s.Members); ok {
			placements = append(placements, slots)
		}
	}
	if s.Adjacency == shape.SameDomain {
		if slots, ok := fillInOrder(candidates, s.Members); ok {
			placements = append(placements, slots)
		}
	}
	return placements
}

// racksFor returns the racks of the workers, those with the fewest entirely free
// workers first and among equal ones those with the fewest total members. The
// candidates of each rack are ordered as in fillLargestFirst.
func racksFor(workers []Worker, s shape.Shape, avoid func(ident.Worker) bool) []rack {
	var racks []rack
	index := make(map[ident.Rack]int)
	for _, w := range workers {
		if _, ok := index[w.Spec.Rack]; !ok {
			index[w.Spec.Rack] = len(racks)
			racks = append(racks, rack{name: w.Spec.Rack})
		}
		if w.Health == Healthy && w.Free == w.Spec.Capacity {
			racks[index[w.Spec.Rack]].freeWorkers++
		}
	}
	for _, c := range candidatesFor(workers, s, avoid) {
		group := &racks[index[c.worker.Spec.Rack]]
		group.candidates = append(group.candidates, c)
		group.total += c.count
	}
	for i := range racks {
		slices.SortFunc(racks[i].candidates, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.count, a.count), compareFree(&a, &b))
		})
	}
	slices.SortFunc(racks, func(a, b rack) int {
		return cmp.Or(cmp.Compare(a.freeWorkers, b.freeWorkers), cmp.Compare(a.total, b.total), strings.Compare(string(a.name), string(b.name)))
	})
	return racks
}

// singleWorkerPlacements returns a placement for each worker that holds the whole
// gang, those with the fewest free accelerators first and among equal ones those
// in the rack with the fewest entirely free workers.
func singleWorkerPlacements(racks []rack, s shape.Shape) [][]jobs.Slot {
	var candidates []candidate
	for _, group := range racks {
		for _, c := range group.candidates {
			if c.count >= s.Members {
				candidates = append(candidates, c)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(a.worker.Free.Accelerators, b.worker.Free.Accelerators)
	})
	var placements [][]jobs.Slot
	for _, c := range candidates {
		placements = append(placements, []jobs.Slot{{Worker: c.worker.Spec.ID, Members: s.Members}})
	}
	return placements
}

// rackPlacements returns a placement for each rack that holds the whole gang.
func rackPlacements(racks []rack, s shape.Shape) [][]jobs.Slot {
	var placements [][]jobs.Slot
	for _, group := range racks {
		if slots, ok := fillInOrder(group.candidates, s.Members); ok {
			placements = append(placements, slots)
		}
	}
	return placements
}

// crossRackPlacement returns the placement that uses the racks with the fewest
// entirely free workers first, or none if the gang does not fit.
func crossRackPlacement(racks []rack, s shape.Shape) [][]jobs.Slot {
	var candidates []candidate
	for _, group := range racks {
		candidates = append(candidates, group.candidates...)
	}
	if slots, ok := fillInOrder(candidates, s.Members); ok {
		return [][]jobs.Slot{slots}
	}
	return nil
}

// fillInOrder places as many members as possible on each candidate in the order
// given.
func fillInOrder(candidates []candidate, members int) ([]jobs.Slot, bool) {
	if totalCount(candidates) < members {
		return nil, false
	}
	var slots []jobs.Slot
	for _, c := range candidates {
		n := min(c.count, members)
		slots = append(slots, jobs.Slot{Worker: c.worker.Spec.ID, Members: n})
		members -= n
		if members == 0 {
			break
		}
	}
	return slots, true
}

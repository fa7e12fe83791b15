package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// candidate is a worker with the number of members of the gang that fit on it.
type candidate struct {
	worker *Worker
	count  int
}

// Fit returns slots for a gang of shape s on healthy workers, and whether the
// gang fits. Workers for which avoid returns true are excluded; avoid may be nil.
// Fit prefers a single worker, the one with the least free capacity, then the
// rack that has the least free capacity beside the gang, and last workers of
// several racks if the shape allows that.
func Fit(workers []Worker, s shape.Shape, avoid func(ident.Worker) bool) ([]jobs.Slot, bool) {
	candidates := candidatesFor(workers, s, avoid)
	switch s.Adjacency {
	case shape.SameWorker:
		return fitWorker(candidates, s.Members)
	case shape.SameRack:
		return fitRack(candidates, s.Members)
	}
	if slots, ok := fitRack(candidates, s.Members); ok {
		return slots, true
	}
	return fillLargestFirst(candidates, s.Members)
}

// CanEver reports whether s fits on the workers when all of them are free and
// healthy. A job whose shape does not can never run there.
func CanEver(workers []Worker, s shape.Shape) bool {
	idle := make([]Worker, len(workers))
	for i, w := range workers {
		idle[i] = Worker{Spec: w.Spec, Free: w.Spec.Capacity}
	}
	_, ok := Fit(idle, s, nil)
	return ok
}

// candidatesFor returns the healthy workers on which at least one member fits,
// without those for which avoid returns true.
func candidatesFor(workers []Worker, s shape.Shape, avoid func(ident.Worker) bool) []candidate {
	var candidates []candidate
	for i := range workers {
		w := &workers[i]
		if w.Health != Healthy || (avoid != nil && avoid(w.Spec.ID)) {
			continue
		}
		if n := s.Member.Count(w.Free, s.Members); n > 0 {
			candidates = append(candidates, candidate{w, n})
		}
	}
	return candidates
}

// fitWorker places the whole gang on the single worker with the least free
// capacity.
func fitWorker(candidates []candidate, members int) ([]jobs.Slot, bool) {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.count >= members && (best == nil || lessFree(c, best)) {
			best = c
		}
	}
	if best == nil {
		return nil, false
	}
	return []jobs.Slot{{Worker: best.worker.Spec.ID, Members: members}}, true
}

// fitRack places the gang on a single worker if possible, otherwise in the rack
// that holds the fewest members in total.
func fitRack(candidates []candidate, members int) ([]jobs.Slot, bool) {
	if slots, ok := fitWorker(candidates, members); ok {
		return slots, true
	}
	racks := make(map[ident.Rack][]candidate)
	for _, c := range candidates {
		racks[c.worker.Spec.Rack] = append(racks[c.worker.Spec.Rack], c)
	}
	var bestRack ident.Rack
	best := -1
	for rack, group := range racks {
		total := totalCount(group)
		if total < members {
			continue
		}
		if best < 0 || total < best || (total == best && rack < bestRack) {
			best, bestRack = total, rack
		}
	}
	if best < 0 {
		return nil, false
	}
	return fillLargestFirst(racks[bestRack], members)
}

// fillLargestFirst takes the workers that hold the most members first, so that the
// gang uses the fewest workers, and among equal ones the one with the least free
// capacity.
func fillLargestFirst(candidates []candidate, members int) ([]jobs.Slot, bool) {
	if totalCount(candidates) < members {
		return nil, false
	}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.count, a.count),
			compareFree(&a, &b),
		)
	})
	var slots []jobs.Slot
	for _, c := range sorted {
		n := min(c.count, members)
		slots = append(slots, jobs.Slot{Worker: c.worker.Spec.ID, Members: n})
		members -= n
		if members == 0 {
			break
		}
	}
	return slots, true
}

func totalCount(candidates []candidate) int {
	n := 0
	for _, c := range candidates {
		n += c.count
	}
	return n
}

// lessFree reports whether a is before b in the order of compareFree.
func lessFree(a, b *candidate) bool { return compareFree(a, b) < 0 }

// compareFree orders candidates by their free accelerators, then their free
// processors, then their identifiers.
func compareFree(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(a.worker.Free.Accelerators, b.worker.Free.Accelerators),
		cmp.Compare(a.worker.Free.Processors, b.worker.Free.Processors),
		strings.Compare(string(a.worker.Spec.ID), string(b.worker.Spec.ID)),
	)
}

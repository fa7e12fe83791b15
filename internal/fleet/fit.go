package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// room is a worker and the number of members that fit on it.
type room struct {
	worker *Worker
	count  int
}

// Fit returns slots for a gang of shape s on healthy workers, and whether there
// is a place. Workers for which avoid returns true are left out; avoid may be
// nil. Among the possible places it takes the fullest workers of the rack that
// has the least room beside the gang.
func Fit(workers []Worker, s shape.Shape, avoid func(ident.Worker) bool) ([]jobs.Slot, bool) {
	rooms := roomsFor(workers, s, avoid)
	switch s.Adjacency {
	case shape.SameWorker:
		return fitWorker(rooms, s.Members)
	case shape.SameRack:
		return fitRack(rooms, s.Members)
	}
	if slots, ok := fitRack(rooms, s.Members); ok {
		return slots, true
	}
	return fill(rooms, s.Members)
}

// CanEver reports whether s fits on the workers when all of them are free and
// healthy, which is the least that a job needs to run one day.
func CanEver(workers []Worker, s shape.Shape) bool {
	empty := make([]Worker, len(workers))
	for i, w := range workers {
		empty[i] = Worker{Spec: w.Spec, Free: w.Spec.Capacity}
	}
	_, ok := Fit(empty, s, nil)
	return ok
}

func roomsFor(workers []Worker, s shape.Shape, avoid func(ident.Worker) bool) []room {
	var rooms []room
	for i := range workers {
		w := &workers[i]
		if w.Health != Healthy || (avoid != nil && avoid(w.Spec.ID)) {
			continue
		}
		if n := s.Member.Count(w.Free, s.Members); n > 0 {
			rooms = append(rooms, room{w, n})
		}
	}
	return rooms
}

func fitWorker(rooms []room, members int) ([]jobs.Slot, bool) {
	var best *room
	for i := range rooms {
		r := &rooms[i]
		if r.count >= members && (best == nil || lessFree(r, best)) {
			best = r
		}
	}
	if best == nil {
		return nil, false
	}
	return []jobs.Slot{{Worker: best.worker.Spec.ID, Members: members}}, true
}

func fitRack(rooms []room, members int) ([]jobs.Slot, bool) {
	if slots, ok := fitWorker(rooms, members); ok {
		return slots, true
	}
	racks := make(map[ident.Rack][]room)
	for _, r := range rooms {
		racks[r.worker.Spec.Rack] = append(racks[r.worker.Spec.Rack], r)
	}
	var bestRack ident.Rack
	best := -1
	for rack, in := range racks {
		total := sum(in)
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
	return fill(racks[bestRack], members)
}

// fill takes the workers with the most members first, which uses the fewest
// workers, and among equal ones the one with the least left.
func fill(rooms []room, members int) ([]jobs.Slot, bool) {
	if sum(rooms) < members {
		return nil, false
	}
	sorted := slices.Clone(rooms)
	slices.SortFunc(sorted, func(a, b room) int {
		return cmp.Or(
			cmp.Compare(b.count, a.count),
			compareFree(&a, &b),
		)
	})
	var slots []jobs.Slot
	for _, r := range sorted {
		n := min(r.count, members)
		slots = append(slots, jobs.Slot{Worker: r.worker.Spec.ID, Members: n})
		members -= n
		if members == 0 {
			break
		}
	}
	return slots, true
}

func sum(rooms []room) int {
	n := 0
	for _, r := range rooms {
		n += r.count
	}
	return n
}

func lessFree(a, b *room) bool { return compareFree(a, b) < 0 }

func compareFree(a, b *room) int {
	return cmp.Or(
		cmp.Compare(a.worker.Free.Accelerators, b.worker.Free.Accelerators),
		cmp.Compare(a.worker.Free.Processors, b.worker.Free.Processors),
		strings.Compare(string(a.worker.Spec.ID), string(b.worker.Spec.ID)),
	)
}

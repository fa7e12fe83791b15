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

// rack is the rooms of one rack and what is whole in it.
type rack struct {
	name  ident.Rack
	rooms []room
	total int
	// whole is the number of workers of the rack that are entirely free.
	whole int
}

// Places returns places for a gang of shape s on healthy workers, the best
// first and at most limit. A place is better the fewer entirely free workers
// it breaks, and the fewer such workers its rack has, so that whole workers
// and racks stay free for large gangs and small tasks close holes. Workers for
// which avoid returns true are left out; avoid may be nil.
func Places(workers []Worker, s shape.Shape, limit int, avoid func(ident.Worker) bool) [][]jobs.Slot {
	racks := racksFor(workers, s, avoid)
	places := onWorkers(racks, s)
	if s.Adjacency != shape.SameWorker && s.Members > 1 {
		places = append(places, inRacks(racks, s)...)
		if s.Adjacency == shape.SameDomain {
			places = append(places, acrossRacks(racks, s)...)
		}
	}
	return places[:min(limit, len(places))]
}

// InOrder returns places that use the workers in the order given: for each
// single worker or rack that can hold the gang one place, and one across racks.
func InOrder(workers []Worker, s shape.Shape, avoid func(ident.Worker) bool) [][]jobs.Slot {
	rooms := roomsFor(workers, s, avoid)
	var places [][]jobs.Slot
	byRack := make(map[ident.Rack][]room)
	for _, r := range rooms {
		if r.count >= s.Members {
			places = append(places, []jobs.Slot{{Worker: r.worker.Spec.ID, Members: s.Members}})
		}
		byRack[r.worker.Spec.Rack] = append(byRack[r.worker.Spec.Rack], r)
	}
	if s.Adjacency == shape.SameWorker || s.Members == 1 {
		return places
	}
	for _, name := range slices.Sorted(maps.Keys(byRack)) {
		if slots, ok := fillInOrder(byRack[name], s.Members); ok {
			places = append(places, slots)
		}
	}
	if s.Adjacency == shape.SameDomain {
		if slots, ok := fillInOrder(rooms, s.Members); ok {
			places = append(places, slots)
		}
	}
	return places
}

func racksFor(workers []Worker, s shape.Shape, avoid func(ident.Worker) bool) []rack {
	var racks []rack
	at := make(map[ident.Rack]int)
	for _, w := range workers {
		if _, ok := at[w.Spec.Rack]; !ok {
			at[w.Spec.Rack] = len(racks)
			racks = append(racks, rack{name: w.Spec.Rack})
		}
		if w.Health == Healthy && w.Free == w.Spec.Capacity {
			racks[at[w.Spec.Rack]].whole++
		}
	}
	for _, r := range roomsFor(workers, s, avoid) {
		in := &racks[at[r.worker.Spec.Rack]]
		in.rooms = append(in.rooms, r)
		in.total += r.count
	}
	for i := range racks {
		slices.SortFunc(racks[i].rooms, func(a, b room) int {
			return cmp.Or(cmp.Compare(b.count, a.count), compareFree(&a, &b))
		})
	}
	slices.SortFunc(racks, func(a, b rack) int {
		return cmp.Or(cmp.Compare(a.whole, b.whole), cmp.Compare(a.total, b.total), strings.Compare(string(a.name), string(b.name)))
	})
	return racks
}

// onWorkers returns the single workers that hold the whole gang, the fullest
// first and among equal ones in the rack with the fewest whole workers.
func onWorkers(racks []rack, s shape.Shape) [][]jobs.Slot {
	var rooms []room
	for _, in := range racks {
		for _, r := range in.rooms {
			if r.count >= s.Members {
				rooms = append(rooms, r)
			}
		}
	}
	slices.SortStableFunc(rooms, func(a, b room) int {
		return cmp.Compare(a.worker.Free.Accelerators, b.worker.Free.Accelerators)
	})
	var places [][]jobs.Slot
	for _, r := range rooms {
		places = append(places, []jobs.Slot{{Worker: r.worker.Spec.ID, Members: s.Members}})
	}
	return places
}

func inRacks(racks []rack, s shape.Shape) [][]jobs.Slot {
	var places [][]jobs.Slot
	for _, in := range racks {
		if slots, ok := fillInOrder(in.rooms, s.Members); ok {
			places = append(places, slots)
		}
	}
	return places
}

// acrossRacks uses up the racks with the fewest whole workers first.
func acrossRacks(racks []rack, s shape.Shape) [][]jobs.Slot {
	var rooms []room
	for _, in := range racks {
		rooms = append(rooms, in.rooms...)
	}
	if slots, ok := fillInOrder(rooms, s.Members); ok {
		return [][]jobs.Slot{slots}
	}
	return nil
}

func fillInOrder(rooms []room, members int) ([]jobs.Slot, bool) {
	if sum(rooms) < members {
		return nil, false
	}
	var slots []jobs.Slot
	for _, r := range rooms {
		n := min(r.count, members)
		slots = append(slots, jobs.Slot{Worker: r.worker.Spec.ID, Members: n})
		members -= n
		if members == 0 {
			break
		}
	}
	return slots, true
}

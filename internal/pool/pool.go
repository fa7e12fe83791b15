package pool

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
)

type (
	// WorkerID names a worker.
	WorkerID string

	// Worker is a worker as the scheduler sees it.
	Worker struct {
		ID       WorkerID
		Service  string
		Address  netip.AddrPort
		Domain   string
		Rack     string
		Labels   []string
		Capacity graph.Demand
		// Occupied is the room of all tasks that run or may run.
		Occupied graph.Demand
		// Leaving is the part of Occupied whose tasks were told to stop.
		Leaving graph.Demand
		// Reserved is the room of tasks that are placed and not yet started.
		Reserved graph.Demand
		// Closed workers get no new tasks: they drain, are out of reach, or
		// their failure domain is out of service.
		Closed bool
		// Barred workers get no tasks until then, because tasks fail there.
		Barred time.Time
	}

	// Pool is a set of workers by rack. It is not safe for concurrent use.
	Pool struct {
		workers map[WorkerID]*Worker
		racks   map[string][]*Worker
		names   []string
	}

	// Request asks for workers for a number of equal tasks.
	Request struct {
		Now      time.Time
		Service  string
		Count    int
		Room     graph.Demand
		Label    string
		DataRack string
		SameRack bool
		// MaxPerWorker is the limit of tasks on one worker, 0 for none, and
		// Present tells how many a worker has already.
		MaxPerWorker int
		Present      map[WorkerID]int
		// Avoid lists workers that are used only if no others are left.
		Avoid map[WorkerID]bool
		// NearOnly refuses places away from the data, and gangs on several racks.
		NearOnly bool
		// Free is the room of a worker for this request. It is nil for the
		// room that is free now.
		Free func(*Worker) graph.Demand
	}
)

// New returns an empty pool.
func New() *Pool {
	return &Pool{workers: make(map[WorkerID]*Worker), racks: make(map[string][]*Worker)}
}

// Put adds a worker or replaces the one of the same name.
func (p *Pool) Put(w *Worker) {
	p.Remove(w.ID)
	p.workers[w.ID] = w
	if _, ok := p.racks[w.Rack]; !ok {
		p.names = append(p.names, w.Rack)
		sort.Strings(p.names)
	}
	list := append(p.racks[w.Rack], w)
	slices.SortFunc(list, func(a, b *Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	p.racks[w.Rack] = list
}

// Remove takes a worker out. Unknown workers are ignored.
func (p *Pool) Remove(id WorkerID) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	delete(p.workers, id)
	p.racks[w.Rack] = slices.DeleteFunc(p.racks[w.Rack], func(x *Worker) bool { return x.ID == id })
}

// Worker returns the worker of the name, or nil.
func (p *Pool) Worker(id WorkerID) *Worker { return p.workers[id] }

// Len returns the number of workers.
func (p *Pool) Len() int { return len(p.workers) }

// Each calls f for each worker in the order of racks and names.
func (p *Pool) Each(f func(*Worker)) {
	for _, name := range p.names {
		for _, w := range p.racks[name] {
			f(w)
		}
	}
}

// Rack returns the workers of a rack, which the caller must not change.
func (p *Pool) Rack(name string) []*Worker { return p.racks[name] }

// Racks returns the names of the racks in order.
func (p *Pool) Racks() []string { return p.names }

// Free returns the room for tasks that start at once.
func (w *Worker) Free() graph.Demand { return w.Capacity.Minus(w.Occupied).Minus(w.Reserved) }

// FreeSoon returns the room once the tasks that were told to stop have ended.
func (w *Worker) FreeSoon() graph.Demand { return w.Free().Plus(w.Leaving) }

// Usable reports whether the worker may get tasks of the request at all.
func (w *Worker) Usable(r *Request) bool {
	return !w.Closed && !r.Now.Before(w.Barred) && w.Serves(r)
}

// Serves reports whether the worker is of the request's service and has its
// label.
func (w *Worker) Serves(r *Request) bool {
	return w.Service == r.Service && (r.Label == "" || slices.Contains(w.Labels, r.Label))
}

// Holds returns how many tasks of the given room fit into free.
func Holds(free, room graph.Demand) int {
	n := int64(1 << 20)
	for _, d := range [...][2]int64{
		{free.Millicores, room.Millicores}, {free.MemoryMiB, room.MemoryMiB}, {free.Accelerators, room.Accelerators},
	} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return int(n)
}

// Choose returns a worker for each task of the request, and whether the tasks
// are near their data and, in a gang of one rack, on one rack. It returns nil
// if the tasks do not fit.
func (p *Pool) Choose(r Request) ([]*Worker, bool) {
	if r.DataRack != "" && len(p.racks[r.DataRack]) > 0 {
		if chosen := pack(p.racks[r.DataRack], &r); chosen != nil {
			return chosen, true
		}
		if r.NearOnly {
			return nil, false
		}
		return p.far(&r), false
	}
	if r.SameRack && r.Count > 1 {
		if chosen := p.tightest(&r); chosen != nil {
			return chosen, true
		}
		if r.NearOnly {
			return nil, false
		}
		return p.far(&r), false
	}
	chosen := p.far(&r)
	return chosen, chosen != nil
}

// tightest packs the tasks into the rack that has the least room left for
// others and yet holds all of them.
func (p *Pool) tightest(r *Request) []*Worker {
	var best []*Worker
	var least int64
	for _, name := range p.names {
		chosen := pack(p.racks[name], r)
		if chosen == nil {
			continue
		}
		var left int64
		for _, w := range p.racks[name] {
			left += r.free(w).Accelerators
		}
		if best == nil || left < least {
			best, least = chosen, left
		}
	}
	return best
}

// far packs the tasks into the workers of all racks, or a gang of one rack
// into one rack away from the data if one holds it.
func (p *Pool) far(r *Request) []*Worker {
	if r.SameRack && r.Count > 1 {
		if chosen := p.tightest(r); chosen != nil {
			return chosen
		}
	}
	all := make([]*Worker, 0, len(p.workers))
	for _, name := range p.names {
		all = append(all, p.racks[name]...)
	}
	return pack(all, r)
}

func (r *Request) free(w *Worker) graph.Demand {
	if r.Free != nil {
		return r.Free(w)
	}
	return w.Free()
}

// pack fills workers in the order of their free accelerators, those with the
// least first, and returns nil if the tasks do not fit.
func pack(from []*Worker, r *Request) []*Worker {
	type place struct {
		w     *Worker
		holds int
		free  graph.Demand
		avoid bool
	}
	places := make([]place, 0, len(from))
	total := 0
	for _, w := range from {
		if !w.Usable(r) {
			continue
		}
		free := r.free(w)
		n := Holds(free, r.Room)
		if r.MaxPerWorker > 0 {
			n = min(n, r.MaxPerWorker-r.Present[w.ID])
		}
		if n > 0 {
			places = append(places, place{w, n, free, r.Avoid[w.ID]})
			total += n
		}
	}
	if total < r.Count {
		return nil
	}
	sort.SliceStable(places, func(i, j int) bool {
		a, b := &places[i], &places[j]
		switch {
		case a.avoid != b.avoid:
			return b.avoid
		case a.free.Accelerators != b.free.Accelerators:
			return a.free.Accelerators < b.free.Accelerators
		}
		return a.free.Millicores < b.free.Millicores
	})
	chosen := make([]*Worker, 0, r.Count)
	for _, pl := range places {
		for i := 0; i < pl.holds && len(chosen) < r.Count; i++ {
			chosen = append(chosen, pl.w)
		}
	}
	return chosen
}

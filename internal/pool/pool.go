package pool

import (
	"cmp"
	"net/netip"
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
)

type (
	// WorkerID identifies a worker.
	WorkerID string

	// Attributes are what the list of workers says of a worker. A restart of the
	// worker may change each of them.
	Attributes struct {
		Service  string
		Address  netip.AddrPort
		Domain   string
		Rack     string
		Labels   []string
		Capacity graph.Demand
	}

	// Worker is the state of a worker that placement depends on.
	Worker struct {
		ID WorkerID
		Attributes
		// Occupied is the demand of all tasks that run or may run.
		Occupied graph.Demand
		// Stopping is the part of Occupied whose tasks have been ordered to stop.
		Stopping graph.Demand
		// Reserved is the demand of tasks that are placed and not yet started.
		Reserved graph.Demand
		// Closed workers get no new tasks, because they drain, are unreachable
		// or their failure domain is out of service.
		Closed bool
		// QuarantinedUntil is the time until which the worker is quarantined:
		// it gets no tasks, because tasks have failed or stalled there.
		QuarantinedUntil time.Time
		// Stalled reports whether the quarantine is for stalled tasks. Unlike a
		// failed run, a stalled one costs the task no attempt.
		Stalled bool
	}

	// Pool is a set of workers, grouped by rack. It is not safe for concurrent use.
	Pool struct {
		workers   map[WorkerID]*Worker
		racks     map[string][]*Worker
		rackNames []string
	}

	// Request is a request for workers for a number of identical tasks.
	Request struct {
		Now     time.Time
		Service string
		Count   int
		// TaskDemand is the demand of one task.
		TaskDemand graph.Demand
		Label      string
		DataRack   string
		SameRack   bool
		// MaxPerWorker limits the tasks on one worker; 0 means no limit.
		// TaskCounts is the number of tasks that count towards it already, by
		// worker.
		MaxPerWorker int
		TaskCounts   map[WorkerID]int
		// Avoid is the set of workers to use only if the others do not suffice.
		Avoid map[WorkerID]bool
		// LocalOnly rules out workers outside DataRack, and more than one rack
		// for a gang with SameRack.
		LocalOnly bool
		// AllowStalled permits workers that are quarantined for stalled tasks, and
		// AllowFailing those that are for failed ones.
		AllowStalled bool
		AllowFailing bool
		// Free returns the free capacity of a worker for this request. If it is
		// nil, Worker.Free applies.
		Free func(*Worker) graph.Demand
	}
)

// New returns an empty pool.
func New() *Pool {
	return &Pool{workers: make(map[WorkerID]*Worker), racks: make(map[string][]*Worker)}
}

// Put adds a worker, or replaces the one with the same identifier.
func (p *Pool) Put(w *Worker) {
	p.Remove(w.ID)
	p.workers[w.ID] = w
	p.addToRack(w)
}

// SetAttributes replaces the attributes of a worker of the pool.
func (p *Pool) SetAttributes(w *Worker, a Attributes) {
	if a.Rack == w.Rack {
		w.Attributes = a
		return
	}
	p.removeFromRack(w)
	w.Attributes = a
	p.addToRack(w)
}

func (p *Pool) addToRack(w *Worker) {
	if _, ok := p.racks[w.Rack]; !ok {
		p.rackNames = append(p.rackNames, w.Rack)
		sort.Strings(p.rackNames)
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

// Equal reports whether all attributes are equal.
func (a Attributes) Equal(b Attributes) bool { return reflect.DeepEqual(a, b) }

// Remove removes a worker. It ignores unknown workers.
func (p *Pool) Remove(id WorkerID) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	delete(p.workers, id)
	p.removeFromRack(w)
}

func (p *Pool) removeFromRack(w *Worker) {
	p.racks[w.Rack] = slices.DeleteFunc(p.racks[w.Rack], func(x *Worker) bool { return x == w })
}

// Worker returns the worker with the identifier, or nil.
func (p *Pool) Worker(id WorkerID) *Worker { return p.workers[id] }

// Len returns the number of workers.
func (p *Pool) Len() int { return len(p.workers) }

// Each calls f for each worker, ordered by rack and identifier.
func (p *Pool) Each(f func(*Worker)) {
	for _, name := range p.rackNames {
		for _, w := range p.racks[name] {
			f(w)
		}
	}
}

// Rack returns the workers of a rack. The caller must not modify the slice.
func (p *Pool) Rack(name string) []*Worker { return p.racks[name] }

// Racks returns the sorted names of the racks.
func (p *Pool) Racks() []string { return p.rackNames }

// Free returns the capacity for tasks that start at once.
func (w *Worker) Free() graph.Demand { return w.Capacity.Minus(w.Occupied).Minus(w.Reserved) }

// FreeSoon returns the free capacity after the tasks that have been ordered to
// stop have ended.
func (w *Worker) FreeSoon() graph.Demand { return w.Free().Plus(w.Stopping) }

// Usable reports whether the worker may get tasks of the request, whatever its
// free capacity.
func (w *Worker) Usable(r *Request) bool {
	return !w.Closed && w.Serves(r) && (!r.Now.Before(w.QuarantinedUntil) || r.allowsQuarantined(w))
}

// allowsQuarantined reports whether the request permits the worker if it is
// quarantined.
func (r *Request) allowsQuarantined(w *Worker) bool {
	if w.Stalled {
		return r.AllowStalled
	}
	return r.AllowFailing
}

// OnlyQuarantined reports whether all workers that would be usable for the request are
// quarantined, and the request permits some of them.
func (p *Pool) OnlyQuarantined(r Request) bool {
	strict := r
	strict.AllowStalled, strict.AllowFailing = false, false
	permitted := false
	for _, w := range p.workers {
		if w.Usable(&strict) {
			return false
		}
		permitted = permitted || w.Usable(&r)
	}
	return permitted
}

// Serves reports whether the worker belongs to the request's service and has its
// label.
func (w *Worker) Serves(r *Request) bool {
	return w.Service == r.Service && (r.Label == "" || slices.Contains(w.Labels, r.Label))
}

// TasksThatFit returns the number of tasks with the given demand that fit into
// free.
func TasksThatFit(free, demand graph.Demand) int {
	n := int64(1 << 20)
	for _, d := range [...][2]int64{
		{free.Millicores, demand.Millicores}, {free.MemoryMiB, demand.MemoryMiB}, {free.Accelerators, demand.Accelerators},
	} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return int(n)
}

// Choose returns a worker for each task of the request, or nil if the tasks do
// not fit. It also reports whether the placement satisfies the locality of the
// request: all tasks are on DataRack if that rack has workers, else a gang with
// SameRack is on one rack.
func (p *Pool) Choose(r Request) ([]*Worker, bool) {
	if r.DataRack != "" && len(p.racks[r.DataRack]) > 0 {
		if chosen := pack(p.racks[r.DataRack], &r); chosen != nil {
			return chosen, true
		}
		if r.LocalOnly {
			return nil, false
		}
		return p.anyRack(&r), false
	}
	if r.SameRack && r.Count > 1 {
		if chosen := p.bestFitRack(&r); chosen != nil {
			return chosen, true
		}
		if r.LocalOnly {
			return nil, false
		}
		return p.anyRack(&r), false
	}
	chosen := p.anyRack(&r)
	return chosen, chosen != nil
}

// bestFitRack packs the tasks into the rack with the fewest free accelerators
// that holds all of them, so that the fuller racks are used first.
func (p *Pool) bestFitRack(r *Request) []*Worker {
	best := ""
	var least int64
	for _, name := range p.rackNames {
		if !fits(p.racks[name], r) {
			continue
		}
		var free int64
		for _, w := range p.racks[name] {
			free += r.free(w).Accelerators
		}
		if best == "" || free < least {
			best, least = name, free
		}
	}
	if best == "" {
		return nil
	}
	return pack(p.racks[best], r)
}

// anyRack packs the tasks into the workers of all racks. A gang with SameRack is
// packed into a single rack if one holds it.
func (p *Pool) anyRack(r *Request) []*Worker {
	if r.SameRack && r.Count > 1 {
		if chosen := p.bestFitRack(r); chosen != nil {
			return chosen
		}
	}
	if !p.fitsAnywhere(r) {
		return nil
	}
	all := make([]*Worker, 0, len(p.workers))
	for _, name := range p.rackNames {
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

// capacity returns the number of tasks of the request that fit on the worker now.
func (r *Request) capacity(w *Worker) int {
	if !w.Usable(r) {
		return 0
	}
	n := TasksThatFit(r.free(w), r.TaskDemand)
	if r.MaxPerWorker > 0 {
		n = min(n, r.MaxPerWorker-r.TaskCounts[w.ID])
	}
	return max(n, 0)
}

// fits reports whether the tasks fit on the workers.
func fits(workers []*Worker, r *Request) bool {
	total := 0
	for _, w := range workers {
		if total += r.capacity(w); total >= r.Count {
			return true
		}
	}
	return false
}

// fitsAnywhere reports whether the tasks fit on the workers of all racks.
func (p *Pool) fitsAnywhere(r *Request) bool {
	total := 0
	for _, name := range p.rackNames {
		for _, w := range p.racks[name] {
			if total += r.capacity(w); total >= r.Count {
				return true
			}
		}
	}
	return false
}

// candidate is a worker on which tasks of a request fit.
type candidate struct {
	worker   *Worker
	capacity int
	free     graph.Demand
	avoid    bool
}

// compare orders candidates by free accelerators, then by free millicores, with
// the workers to avoid last.
func (c *candidate) compare(o *candidate) int {
	switch {
	case c.avoid && !o.avoid:
		return 1
	case !c.avoid && o.avoid:
		return -1
	}
	return cmp.Or(
		cmp.Compare(c.free.Accelerators, o.free.Accelerators),
		cmp.Compare(c.free.Millicores, o.free.Millicores),
	)
}

// pack fills workers in the order of candidate.compare. It returns nil if the tasks
// do not fit.
func pack(workers []*Worker, r *Request) []*Worker {
	if r.Count == 1 {
		return packOne(workers, r)
	}
	candidates := make([]candidate, 0, len(workers))
	total := 0
	for _, w := range workers {
		if n := r.capacity(w); n > 0 {
			candidates = append(candidates, candidate{w, n, r.free(w), r.Avoid[w.ID]})
			total += n
		}
	}
	if total < r.Count {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return a.compare(&b) })
	chosen := make([]*Worker, 0, r.Count)
	for _, c := range candidates {
		for i := 0; i < c.capacity && len(chosen) < r.Count; i++ {
			chosen = append(chosen, c.worker)
		}
	}
	return chosen
}

// packOne returns the first worker in the order of candidate.compare for a single
// task, or nil if there is none.
func packOne(workers []*Worker, r *Request) []*Worker {
	var best candidate
	for _, w := range workers {
		n := r.capacity(w)
		if n == 0 {
			continue
		}
		c := candidate{w, n, r.free(w), r.Avoid[w.ID]}
		if best.worker == nil || c.compare(&best) < 0 {
			best = c
		}
	}
	if best.worker == nil {
		return nil
	}
	return []*Worker{best.worker}
}

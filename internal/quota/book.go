package quota

import (
	"slices"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// Claim is a guaranteed shape that must fit in a domain Count times.
	Claim struct {
		Workspace ident.Workspace
		Name      string
		Shape     shape.Shape
		Count     int
	}

	// Book holds the unused claims of a domain and the capacity that work
	// inside guarantees leaves to them.
	Book struct {
		claims  []Claim
		bins    []shape.Bin
		index   map[ident.Worker]int
		workers []ident.Worker
	}
)

// NewBook returns a book in which no claim is used. Only healthy workers are
// in service.
func NewBook(workers []fleet.Worker, claims []Claim) *Book {
	b := &Book{claims: slices.Clone(claims), index: make(map[ident.Worker]int)}
	for _, w := range workers {
		if w.Health != fleet.Healthy {
			continue
		}
		b.index[w.Spec.ID] = len(b.bins)
		b.bins = append(b.bins, shape.Bin{Rack: string(w.Spec.Rack), Free: w.Spec.Capacity})
		b.workers = append(b.workers, w.Spec.ID)
	}
	return b
}

// Match returns the smallest unused claim of the workspace that covers s.
func (b *Book) Match(ws ident.Workspace, s shape.Shape) (int, bool) {
	best := -1
	for i, c := range b.claims {
		if c.Workspace != ws || c.Count == 0 || !Covers(c.Shape, s) {
			continue
		}
		if best < 0 || c.Shape.Total().Accelerators < b.claims[best].Shape.Total().Accelerators {
			best = i
		}
	}
	return best, best >= 0
}

// Covers reports whether a job of shape s can run inside a guarantee of shape
// g. A single member has no adjacency.
func Covers(g, s shape.Shape) bool {
	near := s.Adjacency <= g.Adjacency || s.Members == 1
	return near && s.Members <= g.Members && s.Member.Fits(g.Member)
}

// Holds reports whether all unused claims fit together.
func (b *Book) Holds() bool {
	_, ok := shape.Pack(b.bins, b.unused())
	return ok
}

// Keeps reports whether the other claims still fit when a job of shape s uses
// the claim with index i on the slots. It does not change b.
func (b *Book) Keeps(i int, s shape.Shape, slots []jobs.Slot) bool {
	b.Take(i, s, slots)
	ok := b.Holds()
	b.give(i, s, slots)
	return ok
}

// Use takes the claim for a job of shape s on the slots if the other claims
// still fit, and reports whether it did.
func (b *Book) Use(i int, s shape.Shape, slots []jobs.Slot) bool {
	if !b.Keeps(i, s, slots) {
		return false
	}
	b.Take(i, s, slots)
	return true
}

// Take takes the claim whether or not the others still fit.
func (b *Book) Take(i int, s shape.Shape, slots []jobs.Slot) {
	b.claims[i].Count--
	b.change(s, slots, -1)
}

func (b *Book) give(i int, s shape.Shape, slots []jobs.Slot) {
	b.claims[i].Count++
	b.change(s, slots, 1)
}

// change adds sign times the slots to the bins. Slots on workers that are not
// in service have no bin.
func (b *Book) change(s shape.Shape, slots []jobs.Slot, sign int) {
	for _, slot := range slots {
		if n, ok := b.index[slot.Worker]; ok {
			b.bins[n].Free = b.bins[n].Free.Add(s.Member.Times(sign * slot.Members))
		}
	}
}

// Place returns slots for a job of shape s that uses the claim with index i,
// as if all lent capacity were free, such that the other claims still fit.
func (b *Book) Place(i int, s shape.Shape) ([]jobs.Slot, bool) {
	b.claims[i].Count--
	items := append(b.unused(), s)
	b.claims[i].Count++
	spreads, ok := shape.Pack(b.bins, items)
	if !ok {
		return nil, false
	}
	var slots []jobs.Slot
	for n, members := range spreads[len(items)-1] {
		if members > 0 {
			slots = append(slots, jobs.Slot{Worker: b.workers[n], Members: members})
		}
	}
	return slots, true
}

func (b *Book) unused() []shape.Shape {
	var items []shape.Shape
	for _, c := range b.claims {
		for range c.Count {
			items = append(items, c.Shape)
		}
	}
	return items
}

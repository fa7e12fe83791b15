package quota

import (
	"math"
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
		// partly are claims that smaller jobs use. They keep a place for the
		// whole shape around the job, because the claim is due again in full
		// when the job ends.
		partly []partial
		// steps is what is left of the work that the checks of the book may
		// do together. Each check has a bound of its own besides.
		steps int
	}

	// partial is a claimed shape and its least members on each bin.
	partial struct {
		shape shape.Shape
		must  shape.Spread
	}
)

// NewBook returns a book in which no claim is used. Only healthy workers are
// in service.
func NewBook(workers []fleet.Worker, claims []Claim) *Book {
	b := &Book{claims: slices.Clone(claims), index: make(map[ident.Worker]int), steps: math.MaxInt}
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

// Limit bounds the work of all later checks together. When it is used up every
// check says no.
func (b *Book) Limit(steps int) { b.steps = steps }

// IsSpent reports whether the bound of Limit is used up.
func (b *Book) IsSpent() bool { return b.steps <= 0 }

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
	items, must := b.kept()
	_, ok := shape.PackWithin(b.bins, items, must, &b.steps)
	return ok
}

// Keeps reports whether the other claims still fit when a job of shape s uses
// the claim with index i on the slots. It does not change b.
func (b *Book) Keeps(i int, s shape.Shape, slots []jobs.Slot) bool {
	next := b.Clone()
	next.Take(i, s, slots)
	ok := next.Holds()
	b.steps = next.steps
	return ok
}

// Clone returns a copy that can be changed without changing b.
func (b *Book) Clone() *Book {
	next := *b
	next.claims, next.bins, next.partly = slices.Clone(b.claims), slices.Clone(b.bins), slices.Clone(b.partly)
	return &next
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
	g := b.claims[i].Shape
	if s.Members < g.Members || s.Member != g.Member {
		b.partly = append(b.partly, partial{g, b.within(g, s, slots)})
		return
	}
	// Slots on workers that are not in service have no bin.
	for _, slot := range slots {
		if n, ok := b.index[slot.Worker]; ok {
			b.bins[n].Free = b.bins[n].Free.Sub(s.Member.Times(slot.Members))
		}
	}
}

// within returns the members of g on each bin that hold the slots of s.
func (b *Book) within(g, s shape.Shape, slots []jobs.Slot) shape.Spread {
	must := make(shape.Spread, len(b.bins))
	for _, slot := range slots {
		n, ok := b.index[slot.Worker]
		if !ok {
			continue
		}
		need := s.Member.Times(slot.Members)
		for must[n] < slot.Members && !need.Fits(g.Member.Times(must[n])) {
			must[n]++
		}
	}
	return must
}

// Place returns slots for a job of shape s that uses the claim with index i,
// as if all lent capacity were free, such that the other claims still fit.
func (b *Book) Place(i int, s shape.Shape) ([]jobs.Slot, bool) {
	b.claims[i].Count--
	items, must := b.kept()
	b.claims[i].Count++
	g := b.claims[i].Shape
	spreads, ok := shape.PackWithin(b.bins, append(items, g), append(must, nil), &b.steps)
	if !ok {
		return nil, false
	}
	var slots []jobs.Slot
	left := s.Members
	for n, members := range spreads[len(items)] {
		if fit := s.Member.Count(g.Member.Times(members), left); members > 0 && fit > 0 {
			slots = append(slots, jobs.Slot{Worker: b.workers[n], Members: fit})
			left -= fit
		}
	}
	return slots, left == 0
}

// kept returns the shapes that must have a place: those of the unused claims
// and those that smaller jobs use.
func (b *Book) kept() ([]shape.Shape, []shape.Spread) {
	var items []shape.Shape
	var must []shape.Spread
	for _, p := range b.partly {
		items = append(items, p.shape)
		must = append(must, p.must)
	}
	for _, c := range b.claims {
		for range c.Count {
			items = append(items, c.Shape)
			must = append(must, nil)
		}
	}
	return items, must
}

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
	// Claim is a guaranteed shape of a workspace with its home in a domain,
	// where it must fit Count times.
	Claim struct {
		Workspace ident.Workspace
		Name      string
		Shape     shape.Shape
		Count     int
	}

	// Reservations hold the unused claims of a domain and the capacity that the
	// jobs inside guarantees leave for them. Lent capacity counts as free.
	Reservations struct {
		claims []Claim
		// bins are the healthy workers, and workers their names.
		bins     []shape.Bin
		binIndex map[ident.Worker]int
		workers  []ident.Worker
		// partlyUsed are claims used by jobs that are smaller than the
		// guaranteed shape. The whole shape stays reserved around the job,
		// because the full claim must be available again when the job ends.
		partlyUsed []partialClaim
		// stepsLeft is the number of packing steps that remain for all checks
		// of the reservations together. Each check has its own bound as well.
		stepsLeft int
	}

	// partialClaim is a claimed shape and the minimum number of its members on
	// each bin.
	partialClaim struct {
		shape      shape.Shape
		minMembers shape.Spread
	}
)

// NewReservations returns reservations in which no claim is used. Workers that
// are not healthy are left out.
func NewReservations(workers []fleet.Worker, claims []Claim) *Reservations {
	r := &Reservations{claims: slices.Clone(claims), binIndex: make(map[ident.Worker]int),
		stepsLeft: math.MaxInt}
	for _, w := range workers {
		if w.Health != fleet.Healthy {
			continue
		}
		r.binIndex[w.Spec.ID] = len(r.bins)
		r.bins = append(r.bins, shape.Bin{Rack: string(w.Spec.Rack), Free: w.Spec.Capacity})
		r.workers = append(r.workers, w.Spec.ID)
	}
	return r
}

// Limit bounds the packing steps of all subsequent checks together. Once the
// limit is reached, every check returns false.
func (r *Reservations) Limit(steps int) { r.stepsLeft = steps }

// IsExhausted reports whether the limit set by Limit is reached.
func (r *Reservations) IsExhausted() bool { return r.stepsLeft <= 0 }

// Match returns the index of the smallest unused claim of the workspace that
// covers s, and whether there is one.
func (r *Reservations) Match(ws ident.Workspace, s shape.Shape) (int, bool) {
	best := -1
	for i, c := range r.claims {
		if c.Workspace != ws || c.Count == 0 || !Covers(c.Shape, s) {
			continue
		}
		if best < 0 || c.Shape.Total().Accelerators < r.claims[best].Shape.Total().Accelerators {
			best = i
		}
	}
	return best, best >= 0
}

// Covers reports whether a job of shape s can run inside a guarantee of shape
// g. The adjacency of a job with a single member is ignored.
func Covers(g, s shape.Shape) bool {
	adjacencyFits := s.Adjacency <= g.Adjacency || s.Members == 1
	return adjacencyFits && s.Members <= g.Members && s.Member.Fits(g.Member)
}

// AllFit reports whether all unused claims fit together.
func (r *Reservations) AllFit() bool {
	shapes, minMembers := r.requiredShapes()
	_, ok := shape.PackWithBudget(r.bins, shapes, minMembers, &r.stepsLeft)
	return ok
}

// Keeps reports whether the other claims still fit when a job of shape s uses
// the claim with index i on the slots. It changes no claim of r, but its steps
// count towards the limit of r.
func (r *Reservations) Keeps(i int, s shape.Shape, slots []jobs.Slot) bool {
	clone := r.Clone()
	clone.Take(i, s, slots)
	ok := clone.AllFit()
	r.stepsLeft = clone.stepsLeft
	return ok
}

// Clone returns a copy that can be changed without changing r.
func (r *Reservations) Clone() *Reservations {
	clone := *r
	clone.claims, clone.bins, clone.partlyUsed = slices.Clone(r.claims), slices.Clone(r.bins), slices.Clone(r.partlyUsed)
	return &clone
}

// Use takes the claim for a job of shape s on the slots if the other claims
// still fit, and reports whether it did.
func (r *Reservations) Use(i int, s shape.Shape, slots []jobs.Slot) bool {
	if !r.Keeps(i, s, slots) {
		return false
	}
	r.Take(i, s, slots)
	return true
}

// Take takes the claim with index i for a job of shape s on the slots, without
// checking whether the other claims still fit.
func (r *Reservations) Take(i int, s shape.Shape, slots []jobs.Slot) {
	r.claims[i].Count--
	g := r.claims[i].Shape
	if s.Members < g.Members || s.Member != g.Member {
		r.partlyUsed = append(r.partlyUsed, partialClaim{g, r.requiredMembers(g, s, slots)})
		return
	}
	// Slots on workers that are not healthy have no bin.
	for _, slot := range slots {
		if n, ok := r.binIndex[slot.Worker]; ok {
			r.bins[n].Free = r.bins[n].Free.Sub(s.Member.Times(slot.Members))
		}
	}
}

// requiredMembers returns the minimum number of members of g on each bin that
// cover the slots of a job of shape s.
func (r *Reservations) requiredMembers(g, s shape.Shape, slots []jobs.Slot) shape.Spread {
	minMembers := make(shape.Spread, len(r.bins))
	for _, slot := range slots {
		n, ok := r.binIndex[slot.Worker]
		if !ok {
			continue
		}
		need := s.Member.Times(slot.Members)
		for minMembers[n] < slot.Members && !need.Fits(g.Member.Times(minMembers[n])) {
			minMembers[n]++
		}
	}
	return minMembers
}

// Place returns slots for a job of shape s inside the claim with index i such
// that the other claims still fit. Lent capacity counts as free.
func (r *Reservations) Place(i int, s shape.Shape) ([]jobs.Slot, bool) {
	r.claims[i].Count--
	shapes, minMembers := r.requiredShapes()
	r.claims[i].Count++
	g := r.claims[i].Shape
	spreads, ok := shape.PackWithBudget(r.bins, append(shapes, g), append(minMembers, nil), &r.stepsLeft)
	if !ok {
		return nil, false
	}
	var slots []jobs.Slot
	remaining := s.Members
	for n, members := range spreads[len(shapes)] {
		if count := s.Member.Count(g.Member.Times(members), remaining); members > 0 && count > 0 {
			slots = append(slots, jobs.Slot{Worker: r.workers[n], Members: count})
			remaining -= count
		}
	}
	return slots, remaining == 0
}

// requiredShapes returns the shapes that must fit, with the minimum number of
// their members on each bin: those of the partly used and the unused claims.
func (r *Reservations) requiredShapes() ([]shape.Shape, []shape.Spread) {
	var shapes []shape.Shape
	var minMembers []shape.Spread
	for _, p := range r.partlyUsed {
		shapes = append(shapes, p.shape)
		minMembers = append(minMembers, p.minMembers)
	}
	for _, c := range r.claims {
		for range c.Count {
			shapes = append(shapes, c.Shape)
			minMembers = append(minMembers, nil)
		}
	}
	return shapes, minMembers
}

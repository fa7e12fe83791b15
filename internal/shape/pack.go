package shape

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
)

type (
	// Bin is what one worker can hold, and the rack that it stands in.
	Bin struct {
		Rack string
		Free Resources
	}

	// Spread is the number of members of one gang on each bin.
	Spread []int

	// packer is a depth-first search over the places of gangs.
	packer struct {
		bins  []Bin
		items []Shape
		// order lists the items, largest first.
		order []int
		// need[k] is the sum of the items from order[k] on.
		need []Resources
		put  []Spread
		// must holds the least members of an item on each bin, or nil.
		must []Spread
		// fixed is the number of items that have such members. They come
		// first in the order.
		fixed int
		// seen holds the states from which the remaining items do not fit.
		seen  map[string]struct{}
		steps int
	}

	// group is a set of bins that may hold one gang together.
	group struct {
		bins []int
		// counts are the members that fit on each bin, and room their sums
		// from each bin on.
		counts []int
		room   []int
	}
)

// PackSteps bounds the work of a search: one for each bin that an item tries,
// and the number of bins for each item that is looked at. A bound on the tries
// alone let one search take seconds with 215 workers.
const PackSteps = 100000

// Pack returns how to place all items at once into the bins, and whether it
// found a way. Each item is placed whole and with its adjacency. When the
// search reaches its bound the answer is no, so a yes can be relied on and a no
// can be wrong. The bins are not changed.
func Pack(bins []Bin, items []Shape) ([]Spread, bool) {
	return PackAround(bins, items, make([]Spread, len(items)))
}

// PackAround is Pack where item i has at least must[i] members on the bins. A
// nil spread asks for nothing.
func PackAround(bins []Bin, items []Shape, must []Spread) ([]Spread, bool) {
	steps := PackSteps
	return PackWithin(bins, items, must, &steps)
}

// PackWithin is PackAround with at most *steps of work, which it subtracts from
// *steps, so that several searches can share one bound.
func PackWithin(bins []Bin, items []Shape, must []Spread, steps *int) ([]Spread, bool) {
	p := packer{
		bins:  slices.Clone(bins),
		items: items,
		order: largestFirst(items),
		put:   make([]Spread, len(items)),
		must:  must,
		steps: min(*steps, PackSteps),
	}
	before := p.steps
	defer func() { *steps -= before - max(p.steps, 0) }()
	slices.SortStableFunc(p.order, func(a, b int) int { return cmp.Compare(len(must[b]), len(must[a])) })
	for _, m := range must {
		if m != nil {
			p.fixed++
		}
	}
	p.need = make([]Resources, len(items)+1)
	for k := len(items) - 1; k >= 0; k-- {
		p.need[k] = p.need[k+1].Add(items[p.order[k]].Total())
	}
	for i := range p.put {
		p.put[i] = make(Spread, len(bins))
	}
	if !p.wholeWorkersSuffice() || !p.place(0) {
		return nil, false
	}
	return p.put, true
}

func largestFirst(items []Shape) []int {
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareSize(items[b], items[a]) })
	return order
}

// compareSize orders shapes by how hard they are to place.
func compareSize(a, b Shape) int {
	return cmp.Or(
		cmp.Compare(a.Total().Accelerators, b.Total().Accelerators),
		cmp.Compare(a.Member.Accelerators, b.Member.Accelerators),
		cmp.Compare(a.Adjacency, b.Adjacency),
		cmp.Compare(a.Total().Processors, b.Total().Processors),
		cmp.Compare(a.Total().Memory, b.Total().Memory),
	)
}

// wholeWorkersSuffice compares the members of each size with the free counts
// by level. It is a necessary condition and far cheaper than the search.
func (p *packer) wholeWorkersSuffice() bool {
	var sizes []int
	for _, s := range p.items {
		if a := s.Member.Accelerators; a > 0 && !slices.Contains(sizes, a) {
			sizes = append(sizes, a)
		}
	}
	for _, size := range sizes {
		members, room := 0, 0
		for _, s := range p.items {
			if s.Member.Accelerators >= size {
				members += s.Members * (s.Member.Accelerators / size)
			}
		}
		for _, b := range p.bins {
			room += max(b.Free.Accelerators, 0) / size
		}
		if members > room {
			return false
		}
	}
	return true
}

// place finds places for the items from order[k] on.
func (p *packer) place(k int) bool {
	if k == len(p.order) {
		return true
	}
	if p.steps -= len(p.bins); p.steps <= 0 || !p.need[k].Fits(p.free()) {
		return false
	}
	if k >= p.fixed && len(p.seen) > 0 {
		if _, ok := p.seen[p.key(k)]; ok {
			return false
		}
	}
	for _, g := range p.groups(p.order[k]) {
		if p.spread(k, &g, 0, p.items[p.order[k]].Members) {
			return true
		}
		if p.steps <= 0 {
			return false
		}
	}
	if k >= p.fixed {
		if p.seen == nil {
			p.seen = make(map[string]struct{})
		}
		p.seen[p.key(k)] = struct{}{}
	}
	return false
}

// spread places the remaining members of item k on the bins of g from the
// index from on, as many as possible on each bin first.
func (p *packer) spread(k int, g *group, from, members int) bool {
	if members == 0 {
		return p.placed(k) && p.place(k+1)
	}
	if from == len(g.bins) || members > g.room[from] {
		return false
	}
	if p.steps--; p.steps <= 0 {
		return false
	}
	i, item := g.bins[from], p.order[k]
	size := p.items[item].Member
	before := p.bins[i].Free
	for n := min(g.counts[from], members, p.like(k, g, from)); n >= p.least(item, i); n-- {
		if members-n > g.room[from+1] {
			break
		}
		p.bins[i].Free = before.Sub(size.Times(n))
		p.put[item][i] = n
		if p.spread(k, g, from+1, members-n) {
			return true
		}
	}
	p.bins[i].Free = before
	p.put[item][i] = 0
	return false
}

// like bounds the members on a bin by those on the equal bin before it. Equal
// bins are interchangeable, so one order of them is enough.
func (p *packer) like(k int, g *group, from int) int {
	item := p.order[k]
	if from == 0 || p.must[item] != nil {
		return p.items[item].Members
	}
	prev, this := g.bins[from-1], g.bins[from]
	n := p.put[item][prev]
	was := p.bins[prev].Free.Add(p.items[item].Member.Times(n))
	if p.bins[prev].Rack != p.bins[this].Rack || was != p.bins[this].Free {
		return p.items[item].Members
	}
	return n
}

func (p *packer) least(item, bin int) int {
	if p.must[item] == nil {
		return 0
	}
	return p.must[item][bin]
}

// placed reports whether item k has its least members on each bin.
func (p *packer) placed(k int) bool {
	item := p.order[k]
	for i, n := range p.must[item] {
		if p.put[item][i] < n {
			return false
		}
	}
	return true
}

// covers reports whether the set has all bins on which the item must be.
func (p *packer) covers(set []int, item int) bool {
	for i, n := range p.must[item] {
		if n > 0 && !slices.Contains(set, i) {
			return false
		}
	}
	return true
}

// groups returns the sets of bins that may hold the item, the tightest first.
func (p *packer) groups(item int) []group {
	s := p.items[item]
	sorted := make([]int, 0, len(p.bins))
	for i, b := range p.bins {
		if s.Member.Count(b.Free, 1) > 0 {
			sorted = append(sorted, i)
		}
	}
	slices.SortFunc(sorted, func(a, b int) int {
		return cmp.Or(compareFree(p.bins[a].Free, p.bins[b].Free), strings.Compare(p.bins[a].Rack, p.bins[b].Rack), cmp.Compare(a, b))
	})
	var sets [][]int
	switch s.Adjacency {
	case SameWorker:
		sets = p.alone(sorted, p.must[item] != nil)
	case SameRack:
		sets = p.byRack(sorted)
	default:
		sets = [][]int{sorted}
	}
	var groups []group
	for _, set := range sets {
		if g := p.group(set, s); g.room[0] >= s.Members && p.covers(set, item) {
			groups = append(groups, g)
		}
	}
	slices.SortStableFunc(groups, func(a, b group) int { return cmp.Compare(a.room[0], b.room[0]) })
	return groups
}

// alone returns one set for each bin, leaving out those equal to the one before
// unless all are asked for.
func (p *packer) alone(sorted []int, all bool) [][]int {
	var sets [][]int
	for n, i := range sorted {
		if all || n == 0 || p.bins[i] != p.bins[sorted[n-1]] {
			sets = append(sets, []int{i})
		}
	}
	return sets
}

func (p *packer) byRack(sorted []int) [][]int {
	var sets [][]int
	at := make(map[string]int)
	for _, i := range sorted {
		rack := p.bins[i].Rack
		n, ok := at[rack]
		if !ok {
			n = len(sets)
			at[rack] = n
			sets = append(sets, nil)
		}
		sets[n] = append(sets[n], i)
	}
	return sets
}

func (p *packer) group(set []int, s Shape) group {
	g := group{bins: set, counts: make([]int, len(set)), room: make([]int, len(set)+1)}
	for n := len(set) - 1; n >= 0; n-- {
		g.counts[n] = s.Member.Count(p.bins[set[n]].Free, s.Members)
		g.room[n] = g.room[n+1] + g.counts[n]
	}
	return g
}

func (p *packer) free() Resources {
	var sum Resources
	for _, b := range p.bins {
		sum = sum.Add(b.Free)
	}
	return sum
}

// key describes the state without regard to the order of equal bins and racks.
func (p *packer) key(k int) string {
	racks := make(map[string][]string)
	for _, b := range p.bins {
		var buf [24]byte
		binary.BigEndian.PutUint64(buf[0:], uint64(b.Free.Accelerators))
		binary.BigEndian.PutUint64(buf[8:], uint64(b.Free.Processors))
		binary.BigEndian.PutUint64(buf[16:], uint64(b.Free.Memory))
		racks[b.Rack] = append(racks[b.Rack], string(buf[:]))
	}
	parts := make([]string, 0, len(racks))
	for _, in := range racks {
		slices.Sort(in)
		parts = append(parts, strings.Join(in, ""))
	}
	slices.Sort(parts)
	return string(rune(k)) + strings.Join(parts, "/")
}

func compareFree(a, b Resources) int {
	return cmp.Or(
		cmp.Compare(a.Accelerators, b.Accelerators),
		cmp.Compare(a.Processors, b.Processors),
		cmp.Compare(a.Memory, b.Memory),
	)
}

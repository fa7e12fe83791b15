package shape

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
)

type (
	// Bin is the free capacity of one worker and the name of its rack.
	Bin struct {
		Rack string
		Free Resources
	}

	// Spread is the number of members of one gang on each bin.
	Spread []int

	// packer is a depth-first search for a placement of all items.
	packer struct {
		bins  []Bin
		items []Shape
		// order holds indexes into items: those with a minimum first, then
		// the hardest to place first.
		order []int
		// demand[k] is the total demand of the items from order[k] on.
		demand  []Resources
		spreads []Spread
		// minimum[i] is the least number of members of item i on each bin,
		// or nil if there is no minimum.
		minimum []Spread
		// constrained is the number of items with a minimum.
		constrained int
		// infeasible holds the keys of states from which the remaining items
		// do not fit.
		infeasible map[string]struct{}
		// steps is the remaining work, see PackSteps.
		steps int
	}

	// group is a set of bins that can hold one gang together.
	group struct {
		// bins holds indexes into the bins of the packer.
		bins []int
		// counts[i] is the number of members that fit on bins[i], and
		// roomFrom[i] the sum of counts from i on.
		counts   []int
		roomFrom []int
	}
)

// PackSteps bounds the work of one search. A search spends one step for each
// bin that it tries for an item, and as many steps as there are bins each time
// it turns to an item. When only the tries counted, one search could take
// seconds with 215 workers.
const PackSteps = 100000

// Pack returns a spread for each item that places all items into the bins
// together, and whether it found one. Each item is placed with all its members
// and its adjacency. A search that reaches PackSteps reports false, so true is
// always correct and false can be wrong. Pack does not modify bins.
func Pack(bins []Bin, items []Shape) ([]Spread, bool) {
	return PackWithMinimum(bins, items, make([]Spread, len(items)))
}

// PackWithMinimum is Pack with the condition that item i has at least
// minimum[i][j] members on bin j. A nil minimum[i] sets no condition.
func PackWithMinimum(bins []Bin, items []Shape, minimum []Spread) ([]Spread, bool) {
	steps := PackSteps
	return PackWithBudget(bins, items, minimum, &steps)
}

// PackWithBudget is PackWithMinimum with at most *steps steps of work, and at most
// PackSteps. It subtracts the steps that it spends from *steps, so that several
// searches can share one bound.
func PackWithBudget(bins []Bin, items []Shape, minimum []Spread, steps *int) ([]Spread, bool) {
	p := packer{
		bins:    slices.Clone(bins),
		items:   items,
		order:   hardestFirst(items),
		spreads: make([]Spread, len(items)),
		minimum: minimum,
		steps:   min(*steps, PackSteps),
	}
	before := p.steps
	defer func() { *steps -= before - max(p.steps, 0) }()
	slices.SortStableFunc(p.order, func(a, b int) int { return cmp.Compare(len(minimum[b]), len(minimum[a])) })
	for _, m := range minimum {
		if m != nil {
			p.constrained++
		}
	}
	p.demand = make([]Resources, len(items)+1)
	for k := len(items) - 1; k >= 0; k-- {
		p.demand[k] = p.demand[k+1].Add(items[p.order[k]].Total())
	}
	for i := range p.spreads {
		p.spreads[i] = make(Spread, len(bins))
	}
	if !p.acceleratorsSuffice() || !p.placeItems(0) {
		return nil, false
	}
	return p.spreads, true
}

// hardestFirst returns the indexes of the items, the hardest to place first.
func hardestFirst(items []Shape) []int {
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareDifficulty(items[b], items[a]) })
	return order
}

// compareDifficulty orders shapes from the easiest to the hardest to place.
func compareDifficulty(a, b Shape) int {
	return cmp.Or(
		cmp.Compare(a.Total().Accelerators, b.Total().Accelerators),
		cmp.Compare(a.Member.Accelerators, b.Member.Accelerators),
		cmp.Compare(a.Adjacency, b.Adjacency),
		cmp.Compare(a.Total().Processors, b.Total().Processors),
		cmp.Compare(a.Total().Memory, b.Total().Memory),
	)
}

// acceleratorsSuffice reports whether the workers have enough free accelerators
// for all members. For each accelerator count n of a member it divides the
// members and the free accelerators of each worker into whole units of n, and
// compares the numbers of units. This is a necessary condition for a placement
// and far cheaper than the search.
func (p *packer) acceleratorsSuffice() bool {
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

// placeItems places the items from order[k] on and reports whether they fit.
func (p *packer) placeItems(k int) bool {
	if k == len(p.order) {
		return true
	}
	if p.steps -= len(p.bins); p.steps <= 0 || !p.demand[k].Fits(p.totalFree()) {
		return false
	}
	if k >= p.constrained && len(p.infeasible) > 0 {
		if _, ok := p.infeasible[p.stateKey(k)]; ok {
			return false
		}
	}
	for _, g := range p.groups(p.order[k]) {
		if p.placeMembers(k, &g, 0, p.items[p.order[k]].Members) {
			return true
		}
		if p.steps <= 0 {
			return false
		}
	}
	if k >= p.constrained {
		if p.infeasible == nil {
			p.infeasible = make(map[string]struct{})
		}
		p.infeasible[p.stateKey(k)] = struct{}{}
	}
	return false
}

// placeMembers places the remaining members of item order[k] on the bins of g
// from index from on, and then the later items. On each bin it tries the
// largest number of members first.
func (p *packer) placeMembers(k int, g *group, from, members int) bool {
	if members == 0 {
		return p.meetsMinimum(k) && p.placeItems(k+1)
	}
	if from == len(g.bins) || members > g.roomFrom[from] {
		return false
	}
	if p.steps--; p.steps <= 0 {
		return false
	}
	i, item := g.bins[from], p.order[k]
	size := p.items[item].Member
	before := p.bins[i].Free
	for n := min(g.counts[from], members, p.symmetryLimit(k, g, from)); n >= p.minMembers(item, i); n-- {
		if members-n > g.roomFrom[from+1] {
			break
		}
		p.bins[i].Free = before.Sub(size.Times(n))
		p.spreads[item][i] = n
		if p.placeMembers(k, g, from+1, members-n) {
			return true
		}
	}
	p.bins[i].Free = before
	p.spreads[item][i] = 0
	return false
}

// symmetryLimit bounds the members of item order[k] on bin from of g. If that
// bin equals the one before it and the item has no minimum, the bound is the
// number of members on the bin before: equal bins are interchangeable, so the
// search needs to try only one order of them. Otherwise it is all members.
func (p *packer) symmetryLimit(k int, g *group, from int) int {
	item := p.order[k]
	if from == 0 || p.minimum[item] != nil {
		return p.items[item].Members
	}
	prev, cur := g.bins[from-1], g.bins[from]
	n := p.spreads[item][prev]
	freeBefore := p.bins[prev].Free.Add(p.items[item].Member.Times(n))
	if p.bins[prev].Rack != p.bins[cur].Rack || freeBefore != p.bins[cur].Free {
		return p.items[item].Members
	}
	return n
}

// minMembers returns the least number of members of the item on the bin.
func (p *packer) minMembers(item, bin int) int {
	if p.minimum[item] == nil {
		return 0
	}
	return p.minimum[item][bin]
}

// meetsMinimum reports whether item order[k] has its minimum on each bin.
func (p *packer) meetsMinimum(k int) bool {
	item := p.order[k]
	for i, n := range p.minimum[item] {
		if p.spreads[item][i] < n {
			return false
		}
	}
	return true
}

// coversMinimum reports whether the set contains each bin on which the item
// has a minimum above 0.
func (p *packer) coversMinimum(set []int, item int) bool {
	for i, n := range p.minimum[item] {
		if n > 0 && !slices.Contains(set, i) {
			return false
		}
	}
	return true
}

// groups returns the groups of bins that can hold the item, those with the
// least room first.
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
		sets = p.singleBins(sorted, p.minimum[item] != nil)
	case SameRack:
		sets = p.byRack(sorted)
	default:
		sets = [][]int{sorted}
	}
	var groups []group
	for _, set := range sets {
		if g := p.newGroup(set, s); g.roomFrom[0] >= s.Members && p.coversMinimum(set, item) {
			groups = append(groups, g)
		}
	}
	slices.SortStableFunc(groups, func(a, b group) int { return cmp.Compare(a.roomFrom[0], b.roomFrom[0]) })
	return groups
}

// singleBins returns one set for each bin. Unless all is set, it omits bins that
// equal the one before them.
func (p *packer) singleBins(sorted []int, all bool) [][]int {
	var sets [][]int
	for n, i := range sorted {
		if all || n == 0 || p.bins[i] != p.bins[sorted[n-1]] {
			sets = append(sets, []int{i})
		}
	}
	return sets
}

// byRack returns one set of bins for each rack.
func (p *packer) byRack(sorted []int) [][]int {
	var sets [][]int
	setOfRack := make(map[string]int)
	for _, i := range sorted {
		rack := p.bins[i].Rack
		n, ok := setOfRack[rack]
		if !ok {
			n = len(sets)
			setOfRack[rack] = n
			sets = append(sets, nil)
		}
		sets[n] = append(sets[n], i)
	}
	return sets
}

// newGroup returns the group of the bins in set for items of shape s.
func (p *packer) newGroup(set []int, s Shape) group {
	g := group{bins: set, counts: make([]int, len(set)), roomFrom: make([]int, len(set)+1)}
	for n := len(set) - 1; n >= 0; n-- {
		g.counts[n] = s.Member.Count(p.bins[set[n]].Free, s.Members)
		g.roomFrom[n] = g.roomFrom[n+1] + g.counts[n]
	}
	return g
}

func (p *packer) totalFree() Resources {
	var sum Resources
	for _, b := range p.bins {
		sum = sum.Add(b.Free)
	}
	return sum
}

// stateKey returns a key for the free capacity of all bins when item order[k]
// is next. States that differ only in the order of bins in a rack or in the
// order of racks have the same key.
func (p *packer) stateKey(k int) string {
	racks := make(map[string][]string)
	for _, b := range p.bins {
		var buf [24]byte
		binary.BigEndian.PutUint64(buf[0:], uint64(b.Free.Accelerators))
		binary.BigEndian.PutUint64(buf[8:], uint64(b.Free.Processors))
		binary.BigEndian.PutUint64(buf[16:], uint64(b.Free.Memory))
		racks[b.Rack] = append(racks[b.Rack], string(buf[:]))
	}
	parts := make([]string, 0, len(racks))
	for _, rackBins := range racks {
		slices.Sort(rackBins)
		parts = append(parts, strings.Join(rackBins, ""))
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

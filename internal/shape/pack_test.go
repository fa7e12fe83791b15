package shape_test

import (
	"fmt"
	"testing"

	"github.com/baobabquay/baobabquay/internal/shape"
	"pgregory.net/rapid"
)

// bruteFits reports whether all items fit into the bins. It tries each member
// of each item on each bin, without pruning.
func bruteFits(bins []shape.Bin, items []shape.Shape) bool {
	if len(items) == 0 {
		return true
	}
	return bruteMember(bins, items, items[0].Members, -1, 0)
}

// bruteMember places the remaining members of items[0] on the bins from index
// from on, and then the other items. The first member is on bin first, or on
// none if first is negative.
func bruteMember(bins []shape.Bin, items []shape.Shape, remaining, first, from int) bool {
	if remaining == 0 {
		return bruteFits(bins, items[1:])
	}
	s := items[0]
	for i := from; i < len(bins); i++ {
		if !s.Member.Fits(bins[i].Free) {
			continue
		}
		if first >= 0 && s.Adjacency == shape.SameWorker && i != first {
			continue
		}
		if first >= 0 && s.Adjacency == shape.SameRack && bins[i].Rack != bins[first].Rack {
			continue
		}
		bins[i].Free = bins[i].Free.Sub(s.Member)
		at := first
		if at < 0 {
			at = i
		}
		ok := bruteMember(bins, items, remaining-1, at, i)
		bins[i].Free = bins[i].Free.Add(s.Member)
		if ok {
			return true
		}
	}
	return false
}

func drawCase(t *rapid.T) ([]shape.Bin, []shape.Shape) {
	var bins []shape.Bin
	for i := range rapid.IntRange(1, 6).Draw(t, "bins") {
		bins = append(bins, shape.Bin{
			Rack: fmt.Sprintf("r%d", i/2),
			Free: shape.Resources{Accelerators: rapid.IntRange(0, 4).Draw(t, "acc"), Processors: rapid.IntRange(2, 8).Draw(t, "proc")},
		})
	}
	var items []shape.Shape
	for range rapid.IntRange(0, 4).Draw(t, "items") {
		items = append(items, shape.Shape{
			Members:   rapid.IntRange(1, 4).Draw(t, "members"),
			Member:    shape.Resources{Accelerators: rapid.IntRange(0, 3).Draw(t, "macc"), Processors: rapid.IntRange(1, 3).Draw(t, "mproc")},
			Adjacency: shape.Adjacency(rapid.IntRange(0, 2).Draw(t, "adjacency")),
		})
	}
	return bins, items
}

// TestPackAgreesWithBruteForce guards against a Pack that reports a placement
// where none exists, or none where one exists, and against spreads that break
// an adjacency or overcommit a bin.
func TestPackAgreesWithBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bins, items := drawCase(t)
		spreads, ok := shape.Pack(bins, items)
		if want := bruteFits(bins, items); ok != want {
			t.Fatalf("Pack(%v, %v) = %v, want %v", bins, items, ok, want)
		}
		if ok {
			checkSpreads(t, bins, items, spreads)
		}
	})
}

// checkSpreads fails the test if a spread lacks members, breaks the adjacency
// of its item or overcommits a bin.
func checkSpreads(t *rapid.T, bins []shape.Bin, items []shape.Shape, spreads []shape.Spread) {
	free := make([]shape.Resources, len(bins))
	for i, b := range bins {
		free[i] = b.Free
	}
	for k, s := range items {
		members, racks, workers := 0, map[string]bool{}, 0
		for i, n := range spreads[k] {
			if n > 0 {
				members, workers = members+n, workers+1
				racks[bins[i].Rack] = true
				free[i] = free[i].Sub(s.Member.Times(n))
			}
		}
		if members != s.Members || (s.Adjacency == shape.SameRack && len(racks) > 1) || (s.Adjacency == shape.SameWorker && workers > 1) {
			t.Fatalf("spread %v of %v breaks the shape", spreads[k], s)
		}
	}
	for i, f := range free {
		if f.Accelerators < 0 || f.Processors < 0 {
			t.Fatalf("bin %d is overcommitted: %v", i, f)
		}
	}
}

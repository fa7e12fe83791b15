package quota

import (
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// Unmet returns the claims that do not fit, together with those before them,
// on the healthy workers when all lent capacity is reclaimed. A claim that
// fits in part is returned with the count that does not.
func Unmet(workers []fleet.Worker, claims []Claim) []Claim {
	b := NewBook(workers, claims)
	if b.Holds() {
		return nil
	}
	var unmet []Claim
	var fitting []shape.Shape
	for _, c := range claims {
		missing := 0
		for range c.Count {
			if _, ok := shape.Pack(b.bins, append(fitting[:len(fitting):len(fitting)], c.Shape)); !ok {
				missing++
				continue
			}
			fitting = append(fitting, c.Shape)
		}
		if missing > 0 {
			c.Count = missing
			unmet = append(unmet, c)
		}
	}
	return unmet
}

package quota

import (
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// Unmet returns the claims that do not fit on the healthy workers when all lent
// capacity is reclaimed. Claims are packed in order, each beside the preceding
// ones that fit. If only some shapes of a claim fit, its Count in the result is
// the number of those that do not.
func Unmet(workers []fleet.Worker, claims []Claim) []Claim {
	r := NewReservations(workers, claims)
	if r.AllFit() {
		return nil
	}
	var unmet []Claim
	var fitting []shape.Shape
	for _, c := range claims {
		unplaced := 0
		for range c.Count {
			if _, ok := shape.Pack(r.bins, append(fitting[:len(fitting):len(fitting)], c.Shape)); !ok {
				unplaced++
				continue
			}
			fitting = append(fitting, c.Shape)
		}
		if unplaced > 0 {
			c.Count = unplaced
			unmet = append(unmet, c)
		}
	}
	return unmet
}

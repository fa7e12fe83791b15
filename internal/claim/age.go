package claim

import "time"

type (
	// aged is an own claim that is deleted when it is due.
	aged struct {
		key     string
		version int64
		due     time.Time
	}

	// ageing lists own claims in the order in which they were made.
	ageing struct {
		list []aged
	}
)

// add appends a claim. Beyond the bound the claim is left to the Sweeper.
func (a *ageing) add(c aged, bound int) {
	if len(a.list) < bound {
		a.list = append(a.list, c)
	}
}

// due removes and returns at most n claims whose time has come.
func (a *ageing) due(now time.Time, n int) []aged {
	i := 0
	for i < len(a.list) && i < n && !now.Before(a.list[i].due) {
		i++
	}
	d := append([]aged(nil), a.list[:i]...)
	a.list = a.list[i:]
	if len(a.list) == 0 {
		a.list = nil
	}
	return d
}

func (a *ageing) putBack(d []aged) {
	if len(d) > 0 {
		a.list = append(append([]aged(nil), d...), a.list...)
	}
}

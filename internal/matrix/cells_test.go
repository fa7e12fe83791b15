package matrix

import "math/rand/v2"

// Pairs is the number of cells with two different faults.
const Pairs = 68

// Cells returns the cells of the matrix: each step with each fault alone and
// twice, and a random choice of pairs that depends only on the seed.
func Cells(seed uint64) []Cell {
	var all []Cell
	steps, faults := Steps(), Faults()
	for _, s := range steps {
		for _, f := range faults {
			all = append(all, Cell{Step: s.Name, Faults: []string{f.Name}})
		}
	}
	for _, s := range steps {
		for _, f := range faults {
			all = append(all, Cell{Step: s.Name, Faults: []string{f.Name, f.Name}})
		}
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	for i := range Pairs {
		a := rng.IntN(len(faults))
		b := (a + 1 + rng.IntN(len(faults)-1)) % len(faults)
		all = append(all, Cell{
			Step:     steps[i%len(steps)].Name,
			Faults:   []string{faults[a].Name, faults[b].Name},
			Together: rng.IntN(2) == 0,
		})
	}
	return all
}

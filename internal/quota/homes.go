package quota

import (
	"cmp"
	"slices"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// unit is one of the shapes of a guarantee, and its home. The numbers are
	// the indexes of the workspace, of the guarantee in it and of the shape.
	unit struct {
		workspace, guarantee, index int
		shape                       shape.Shape
		home                        ident.Domain
	}

	// domainCapacity is the capacity of a domain and the guaranteed shapes with
	// their home there.
	domainCapacity struct {
		domain   ident.Domain
		bins     []shape.Bin
		assigned []shape.Shape
		free     int // accelerators that no shape in assigned needs
	}
)

// HomesIn returns the guaranteed shapes whose home is the domain.
func HomesIn(c *config.Config, d ident.Domain) []Claim {
	var claims []Claim
	for _, ws := range c.Workspaces {
		for _, g := range ws.Guarantees {
			n := 0
			for _, home := range g.Homes {
				if home == d {
					n++
				}
			}
			if n > 0 {
				claims = append(claims, Claim{Workspace: ws.Name, Name: g.Name, Shape: g.Shape, Count: n})
			}
		}
	}
	return claims
}

// AssignHomes returns a copy of c in which each guaranteed shape has a home
// among the domains in service, or the empty name if it fits in none of them.
// The workers are those in service. The result depends only on the arguments.
// Homes are kept where the shape still fits. All homes are assigned anew only if
// that gives a home to more shapes.
func AssignHomes(c *config.Config, workers []worker.Spec) *config.Config {
	units := unitsOf(c)
	best := assign(c, workers, units, true)
	if countWithoutHome(best) > 0 {
		if reassigned := assign(c, workers, units, false); countWithoutHome(reassigned) < countWithoutHome(best) {
			best = reassigned
		}
	}
	return withHomes(c, best)
}

// assign returns the units with homes in domains in service. If keepHomes is
// set, units keep their home where they fit. The others are assigned in order,
// each to the domain with the most free capacity in which it fits.
func assign(c *config.Config, workers []worker.Spec, units []unit, keepHomes bool) []unit {
	domains := domainsInService(c, workers)
	units = slices.Clone(units)
	for i := range units {
		d := slices.IndexFunc(domains, func(s domainCapacity) bool { return s.domain == units[i].home })
		if !keepHomes || d < 0 || !domains[d].addHome(units[i].shape) {
			units[i].home = ""
		}
	}
	for i := range units {
		if units[i].home != "" {
			continue
		}
		for _, d := range byFreeCapacity(domains) {
			if domains[d].addHome(units[i].shape) {
				units[i].home = domains[d].domain
				break
			}
		}
	}
	return units
}

// unitsOf returns the units of all guarantees, the hardest to place first: by
// descending size, then by descending adjacency.
func unitsOf(c *config.Config) []unit {
	var units []unit
	for w, ws := range c.Workspaces {
		for g, guarantee := range ws.Guarantees {
			for n := range guarantee.Count {
				u := unit{workspace: w, guarantee: g, index: n, shape: guarantee.Shape}
				if n < len(guarantee.Homes) {
					u.home = guarantee.Homes[n]
				}
				units = append(units, u)
			}
		}
	}
	slices.SortStableFunc(units, func(a, b unit) int {
		return cmp.Or(
			cmp.Compare(b.shape.Total().Accelerators, a.shape.Total().Accelerators),
			cmp.Compare(b.shape.Adjacency, a.shape.Adjacency),
		)
	})
	return units
}

// domainsInService returns the capacity of the domains in service, with no
// shapes assigned.
func domainsInService(c *config.Config, workers []worker.Spec) []domainCapacity {
	var domains []domainCapacity
	for _, d := range c.Domains {
		if !d.InService {
			continue
		}
		s := domainCapacity{domain: d.Name}
		for _, w := range workers {
			if w.Domain == d.Name {
				s.bins = append(s.bins, shape.Bin{Rack: string(w.Rack), Free: w.Capacity})
				s.free += w.Capacity.Accelerators
			}
		}
		domains = append(domains, s)
	}
	return domains
}

// byFreeCapacity returns the indexes of the domains in descending order of free
// accelerators.
func byFreeCapacity(domains []domainCapacity) []int {
	order := make([]int, len(domains))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(domains[b].free, domains[a].free) })
	return order
}

// addHome makes the domain the home of the shape if it fits beside the others.
// It reports whether it fits.
func (s *domainCapacity) addHome(x shape.Shape) bool {
	assigned := append(slices.Clone(s.assigned), x)
	if _, ok := shape.Pack(s.bins, assigned); !ok {
		return false
	}
	s.assigned = assigned
	s.free -= x.Total().Accelerators
	return true
}

// countWithoutHome returns the number of units without a home.
func countWithoutHome(units []unit) int {
	n := 0
	for _, u := range units {
		if u.home == "" {
			n++
		}
	}
	return n
}

// withHomes returns a copy of c with the homes of the units.
func withHomes(c *config.Config, units []unit) *config.Config {
	next := *c
	next.Workspaces = slices.Clone(c.Workspaces)
	for i := range next.Workspaces {
		next.Workspaces[i].Guarantees = slices.Clone(next.Workspaces[i].Guarantees)
		for k := range next.Workspaces[i].Guarantees {
			g := &next.Workspaces[i].Guarantees[k]
			g.Homes = make([]ident.Domain, g.Count)
		}
	}
	for _, u := range units {
		next.Workspaces[u.workspace].Guarantees[u.guarantee].Homes[u.index] = u.home
	}
	return &next
}

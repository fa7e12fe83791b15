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
	// part is one count of one guarantee, and its home.
	part struct {
		workspace, guarantee, count int
		shape                       shape.Shape
		home                        ident.Domain
	}

	// site is the capacity of a domain and the shapes that are homed there.
	site struct {
		domain ident.Domain
		bins   []shape.Bin
		homed  []shape.Shape
		free   int // accelerators that no homed shape needs
	}
)

// HomesIn returns the claims whose home is the domain.
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
// among the domains in service, or the empty name where it fits nowhere. The
// workers are those in service. The result depends only on the arguments. A
// home is kept where it still fits, and all homes are assigned anew only when
// that places more shapes.
func AssignHomes(c *config.Config, workers []worker.Spec) *config.Config {
	parts := partsOf(c)
	kept := assign(c, workers, parts, true)
	if missing(kept) > 0 {
		if fresh := assign(c, workers, parts, false); missing(fresh) < missing(kept) {
			kept = fresh
		}
	}
	return withHomes(c, kept)
}

// assign keeps the homes that fit if keep is set, and gives the other parts,
// largest first, to the domain with the most room.
func assign(c *config.Config, workers []worker.Spec, parts []part, keep bool) []part {
	sites := sitesOf(c, workers)
	parts = slices.Clone(parts)
	for i := range parts {
		at := slices.IndexFunc(sites, func(s site) bool { return s.domain == parts[i].home })
		if !keep || at < 0 || !sites[at].add(parts[i].shape) {
			parts[i].home = ""
		}
	}
	for i := range parts {
		if parts[i].home != "" {
			continue
		}
		for _, at := range byRoom(sites) {
			if sites[at].add(parts[i].shape) {
				parts[i].home = sites[at].domain
				break
			}
		}
	}
	return parts
}

// partsOf returns the parts of all guarantees, the hardest to place first.
func partsOf(c *config.Config) []part {
	var parts []part
	for w, ws := range c.Workspaces {
		for g, guarantee := range ws.Guarantees {
			for n := range guarantee.Count {
				p := part{workspace: w, guarantee: g, count: n, shape: guarantee.Shape}
				if n < len(guarantee.Homes) {
					p.home = guarantee.Homes[n]
				}
				parts = append(parts, p)
			}
		}
	}
	slices.SortStableFunc(parts, func(a, b part) int {
		return cmp.Or(
			cmp.Compare(b.shape.Total().Accelerators, a.shape.Total().Accelerators),
			cmp.Compare(b.shape.Adjacency, a.shape.Adjacency),
		)
	})
	return parts
}

func sitesOf(c *config.Config, workers []worker.Spec) []site {
	var sites []site
	for _, d := range c.Domains {
		if !d.InService {
			continue
		}
		s := site{domain: d.Name}
		for _, w := range workers {
			if w.Domain == d.Name {
				s.bins = append(s.bins, shape.Bin{Rack: string(w.Rack), Free: w.Capacity})
				s.free += w.Capacity.Accelerators
			}
		}
		sites = append(sites, s)
	}
	return sites
}

// byRoom returns the indexes of the sites, the one with the most room first.
func byRoom(sites []site) []int {
	order := make([]int, len(sites))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(sites[b].free, sites[a].free) })
	return order
}

// add homes the shape if it fits beside the others, and reports whether it did.
func (s *site) add(x shape.Shape) bool {
	with := append(slices.Clone(s.homed), x)
	if _, ok := shape.Pack(s.bins, with); !ok {
		return false
	}
	s.homed = with
	s.free -= x.Total().Accelerators
	return true
}

func missing(parts []part) int {
	n := 0
	for _, p := range parts {
		if p.home == "" {
			n++
		}
	}
	return n
}

func withHomes(c *config.Config, parts []part) *config.Config {
	n := *c
	n.Workspaces = slices.Clone(c.Workspaces)
	for i := range n.Workspaces {
		n.Workspaces[i].Guarantees = slices.Clone(n.Workspaces[i].Guarantees)
		for k := range n.Workspaces[i].Guarantees {
			g := &n.Workspaces[i].Guarantees[k]
			g.Homes = make([]ident.Domain, g.Count)
		}
	}
	for _, p := range parts {
		n.Workspaces[p.workspace].Guarantees[p.guarantee].Homes[p.count] = p.home
	}
	return &n
}

package bench

import (
	"fmt"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
)

const (
	accelerators  = 8
	workersInRack = 8
	workerMemory  = 256 * shape.GiB
)

// user is one of today's users: its capacity, guarantees and mix of work.
type user struct {
	name       string
	domains    []ident.Domain
	perDomain  []int
	processors int
	workspaces []config.Workspace
	// kinds are the kinds of job with their share of the offered work.
	kinds []kind
	// large is the largest guaranteed gang.
	large shape.Shape
}

// khangai returns the Khangai Type Licensing Consortium at today's size.
func khangai() user {
	return user{
		name:       "khangai",
		domains:    []ident.Domain{"ub1", "ub2", "erd1"},
		perDomain:  []int{17, 17, 16},
		processors: 60,
		workspaces: []config.Workspace{
			workspace("foundryA", guarantee("proof", gang(4, 8, shape.SameRack), 2)),
			workspace("foundryB", guarantee("proof", gang(4, 8, shape.SameRack), 2)),
			workspace("foundryC", guarantee("proof", gang(4, 8, shape.SameRack), 1), guarantee("check", gang(1, 8, shape.SameWorker), 2)),
			workspace("desk", guarantee("stamp", gang(1, 2, shape.SameWorker), 4)),
		},
		kinds: khangaiKinds(),
		large: gang(4, 8, shape.SameRack),
	}
}

// cedarline returns Cedarline Relief Routing at today's size.
func cedarline() user {
	return user{
		name:       "cedarline",
		domains:    []ident.Domain{"coast1", "coast2", "interior"},
		perDomain:  []int{17, 17, 16},
		processors: 130,
		workspaces: []config.Workspace{
			workspace("rebuilds", guarantee("corridor", gang(8, 8, shape.SameRack), 2)),
			workspace("dispatch", guarantee("reroute", gang(1, 2, shape.SameWorker), 8)),
			workspace("bands", guarantee("corridor", gang(4, 8, shape.SameDomain), 1)),
			workspace("depots", guarantee("refresh", gang(2, 4, shape.SameRack), 2)),
		},
		kinds: cedarlineKinds(),
		large: gang(8, 8, shape.SameRack),
	}
}

func workspace(name ident.Workspace, g ...config.Guarantee) config.Workspace {
	return config.Workspace{Name: name, Weight: 1, Guarantees: g}
}

func guarantee(name string, s shape.Shape, count int) config.Guarantee {
	return config.Guarantee{Name: name, Shape: s, Count: count}
}

// gang returns a shape whose members use processors and memory in proportion
// to their accelerators.
func gang(members, each int, a shape.Adjacency) shape.Shape {
	return shape.Shape{
		Members:   members,
		Member:    shape.Resources{Accelerators: each, Processors: 4 * each, Memory: shape.Bytes(each) * 24 * shape.GiB},
		Adjacency: a,
	}
}

func (u user) config() *config.Config {
	c := &config.Config{Version: 1, Site: u.name, Workspaces: u.workspaces}
	for _, d := range u.domains {
		c.Domains = append(c.Domains, config.Domain{Name: d, InService: true})
	}
	return c
}

func (u user) workers() []worker.Spec {
	var specs []worker.Spec
	for i, d := range u.domains {
		for n := range u.perDomain[i] {
			specs = append(specs, worker.Spec{
				ID:       ident.Worker(fmt.Sprintf("%s-%02d", d, n)),
				Domain:   d,
				Rack:     ident.Rack(fmt.Sprintf("%s-r%d", d, n/workersInRack)),
				Capacity: shape.Resources{Accelerators: accelerators, Processors: u.processors, Memory: workerMemory},
			})
		}
	}
	return specs
}

func (u user) accelerators() int {
	n := 0
	for _, w := range u.perDomain {
		n += w * accelerators
	}
	return n
}

package bench

import (
	"fmt"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
)

const (
	acceleratorsPerWorker = 8
	workersPerRack        = 8
	workerMemory          = 256 * shape.GiB
)

// cluster describes the installation of one user: capacity, guarantees and
// kinds of jobs.
type cluster struct {
	name             string
	domains          []ident.Domain
	workersPerDomain []int
	processors       int
	workspaces       []config.Workspace
	// jobKinds are the kinds of jobs with their shares of the offered work.
	jobKinds []jobKind
	// largestGang is the shape of the largest guaranteed gang.
	largestGang shape.Shape
}

// khangai returns the cluster of the Khangai Type Licensing Consortium at its
// current size: 50 workers in three domains.
func khangai() cluster {
	return cluster{
		name:             "khangai",
		domains:          []ident.Domain{"ub1", "ub2", "erd1"},
		workersPerDomain: []int{17, 17, 16},
		processors:       60,
		workspaces: []config.Workspace{
			workspace("foundryA", guarantee("proof", gangShape(4, 8, shape.SameRack), 2)),
			workspace("foundryB", guarantee("proof", gangShape(4, 8, shape.SameRack), 2)),
			workspace("foundryC", guarantee("proof", gangShape(4, 8, shape.SameRack), 1), guarantee("check", gangShape(1, 8, shape.SameWorker), 2)),
			workspace("desk", guarantee("stamp", gangShape(1, 2, shape.SameWorker), 4)),
		},
		jobKinds:    khangaiJobKinds(),
		largestGang: gangShape(4, 8, shape.SameRack),
	}
}

// cedarline returns the cluster of Cedarline Relief Routing at its current size:
// 50 workers in three domains.
func cedarline() cluster {
	return cluster{
		name:             "cedarline",
		domains:          []ident.Domain{"coast1", "coast2", "interior"},
		workersPerDomain: []int{17, 17, 16},
		processors:       130,
		workspaces: []config.Workspace{
			workspace("rebuilds", guarantee("corridor", gangShape(8, 8, shape.SameRack), 2)),
			workspace("dispatch", guarantee("reroute", gangShape(1, 2, shape.SameWorker), 8)),
			workspace("bands", guarantee("corridor", gangShape(4, 8, shape.SameDomain), 1)),
			workspace("depots", guarantee("refresh", gangShape(2, 4, shape.SameRack), 2)),
		},
		jobKinds:    cedarlineJobKinds(),
		largestGang: gangShape(8, 8, shape.SameRack),
	}
}

func workspace(name ident.Workspace, g ...config.Guarantee) config.Workspace {
	return config.Workspace{Name: name, Weight: 1, Guarantees: g}
}

func guarantee(name string, s shape.Shape, count int) config.Guarantee {
	return config.Guarantee{Name: name, Shape: s, Count: count}
}

// gangShape returns a shape whose members use processors and memory in
// proportion to their accelerators.
func gangShape(members, acceleratorsEach int, adjacency shape.Adjacency) shape.Shape {
	return shape.Shape{
		Members:   members,
		Member:    shape.Resources{Accelerators: acceleratorsEach, Processors: 4 * acceleratorsEach, Memory: shape.Bytes(acceleratorsEach) * 24 * shape.GiB},
		Adjacency: adjacency,
	}
}

func (c cluster) config() *config.Config {
	cfg := &config.Config{Version: 1, Site: c.name, Workspaces: c.workspaces}
	for _, d := range c.domains {
		cfg.Domains = append(cfg.Domains, config.Domain{Name: d, InService: true})
	}
	return cfg
}

func (c cluster) workers() []worker.Spec {
	var specs []worker.Spec
	for i, d := range c.domains {
		for n := range c.workersPerDomain[i] {
			specs = append(specs, worker.Spec{
				ID:       ident.Worker(fmt.Sprintf("%s-%02d", d, n)),
				Domain:   d,
				Rack:     ident.Rack(fmt.Sprintf("%s-r%d", d, n/workersPerRack)),
				Capacity: shape.Resources{Accelerators: acceleratorsPerWorker, Processors: c.processors, Memory: workerMemory},
			})
		}
	}
	return specs
}

func (c cluster) totalAccelerators() int {
	n := 0
	for _, workers := range c.workersPerDomain {
		n += workers * acceleratorsPerWorker
	}
	return n
}

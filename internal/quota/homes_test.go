package quota_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/golden"
)

// workerSpecs returns n workers of 8 accelerators for each domain, 8 to a rack.
func workerSpecs(n int, domains ...ident.Domain) []worker.Spec {
	var specs []worker.Spec
	for _, d := range domains {
		for i := range n {
			specs = append(specs, worker.Spec{
				ID:     ident.Worker(fmt.Sprintf("%s-%d", d, i)),
				Domain: d, Rack: ident.Rack(fmt.Sprintf("r%d", i/8)),
				Capacity: shape.Resources{Accelerators: 8, Processors: 60, Memory: 256 * shape.GiB},
			})
		}
	}
	return specs
}

// formatHomes returns the guarantees of c with their homes, one a line.
func formatHomes(c *config.Config) string {
	var out strings.Builder
	for _, ws := range c.Workspaces {
		for _, g := range ws.Guarantees {
			fmt.Fprintf(&out, "%s %s %v: %q\n", ws.Name, g.Name, g.Shape, g.Homes)
		}
	}
	return out.String()
}

// TestAssignHomes guards against homes that move unnecessarily when a domain
// goes out of service and returns, and against assigning a home to a shape that
// fits in no domain.
func TestAssignHomes(t *testing.T) {
	rackGang := shape.Shape{Members: 8, Member: shape.Resources{Accelerators: 8}, Adjacency: shape.SameRack}
	small := shape.Shape{Members: 1, Member: shape.Resources{Accelerators: 2}, Adjacency: shape.SameWorker}
	c := &config.Config{
		Domains: []config.Domain{{Name: "ub1", InService: true}, {Name: "ub2", InService: true}, {Name: "erd1", InService: true}},
		Workspaces: []config.Workspace{
			{Name: "foundryA", Guarantees: []config.Guarantee{{Name: "proof", Shape: rackGang, Count: 3}}},
			{Name: "desk", Guarantees: []config.Guarantee{{Name: "stamp", Shape: small, Count: 4}}},
		},
	}
	specs := workerSpecs(9, "ub1", "ub2", "erd1")
	all := quota.AssignHomes(c, specs)
	out, _ := all.WithDomain("ub1", false)
	without := quota.AssignHomes(out, specs)
	back, _ := without.WithDomain("ub1", true)
	golden.Assert(t, "# all in service\n"+formatHomes(all)+"# ub1 out\n"+formatHomes(without)+"# ub1 back\n"+formatHomes(quota.AssignHomes(back, specs)), "homes.golden")
}

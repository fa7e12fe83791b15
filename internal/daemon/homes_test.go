package daemon

import (
	"testing"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/assert"
)

// TestHasUnassignedHome guards against guarantees that stay without a home
// because the platform listed no workers when the configuration was committed.
func TestHasUnassignedHome(t *testing.T) {
	one := shape.Shape{Members: 1, Member: shape.Resources{Accelerators: 8}, Adjacency: shape.SameWorker}
	c := &config.Config{
		Domains: []config.Domain{{Name: "ub1", InService: true}},
		Workspaces: []config.Workspace{{
			Name: "foundryA", Guarantees: []config.Guarantee{{Name: "proofs", Shape: one, Count: 1}},
		}},
	}
	workers := []worker.Spec{{ID: "w0", Domain: "ub1", Rack: "r1", Capacity: shape.Resources{Accelerators: 8}}}
	tests := []struct {
		name string
		c    *config.Config
		want bool
	}{
		{"never assigned", c, true},
		{"no workers listed", quota.AssignHomes(c, nil), true},
		{"assigned", quota.AssignHomes(c, workers), false},
		{"assigned, then no workers listed", quota.AssignHomes(quota.AssignHomes(c, workers), nil), true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, hasUnassignedHome(tc.c), tc.want)
		})
	}
}

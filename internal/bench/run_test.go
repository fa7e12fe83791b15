package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunIsRepeatable guards against a measurement that depends on map order or
// on the clock of the machine.
func TestRunIsRepeatable(t *testing.T) {
	load := Workload{Name: "short", horizon: 3 * time.Minute, load: constant(1)}
	for _, p := range Policies() {
		first, second := Run(load, p, 1), Run(load, p, 1)
		assert.DeepEqual(t, first, second)
	}
}

// TestFitsFindsOverlap guards against a judge that accepts everything.
func TestFitsFindsOverlap(t *testing.T) {
	gang := piece{members: 2, each: 8, adjacency: 1}
	assert.Assert(t, fits([]shelf{{8, 8}, {8, 8}}, []piece{gang, gang}, packBudget))
	assert.Assert(t, !fits([]shelf{{8, 8}, {8, 4}}, []piece{gang, gang}, packBudget))
	assert.Assert(t, !fits([]shelf{{8}, {8}}, []piece{gang}, packBudget))
}

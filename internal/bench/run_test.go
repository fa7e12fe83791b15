package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunIsRepeatable guards against results that depend on map order or on the
// clock of the machine.
func TestRunIsRepeatable(t *testing.T) {
	workload := Workload{Name: "short", horizon: 3 * time.Minute, loadFactor: constantLoad(1)}
	for _, p := range Policies() {
		first, second := Run(workload, p, 1), Run(workload, p, 1)
		assert.DeepEqual(t, first, second)
	}
}

// TestFitsFindsOverlap guards against a packing search that accepts gangs which
// do not fit together or do not fit into one rack.
func TestFitsFindsOverlap(t *testing.T) {
	item := packItem{members: 2, acceleratorsEach: 8, adjacency: 1}
	assert.Assert(t, fits([]rackFree{{8, 8}, {8, 8}}, []packItem{item, item}, packBudget))
	assert.Assert(t, !fits([]rackFree{{8, 8}, {8, 4}}, []packItem{item, item}, packBudget))
	assert.Assert(t, !fits([]rackFree{{8}, {8}}, []packItem{item}, packBudget))
}

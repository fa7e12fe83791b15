package matrix

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// defaultSeed selects the pairs of faults in docs/fault-matrix.md.
const defaultSeed = 20260412

// TestScriptWithoutFaults guards against a script that breaks a promise even
// without a fault.
func TestScriptWithoutFaults(t *testing.T) {
	r := runCell(t, Cell{})
	for _, b := range r.Breaches {
		t.Errorf("%s: %s", b.Promise, b.Detail)
	}
}

// TestMatrix runs every cell. It guards against a promise that is broken when a
// fault hits a step, and against a cell whose fault never takes effect. It runs
// only for `make matrix`, since it takes minutes. MATRIX_CELL limits it to the
// cells whose names contain the value, and MATRIX_SEED replaces the seed. The
// page docs/fault-matrix.md is compared only if neither is set.
func TestMatrix(t *testing.T) {
	filter, limited := os.LookupEnv("MATRIX_CELL")
	if !limited && os.Getenv("MATRIX") == "" {
		t.Skip("takes minutes; run it with make matrix")
	}
	seed, page := uint64(defaultSeed), !limited
	if s, ok := os.LookupEnv("MATRIX_SEED"); ok {
		n, err := strconv.ParseUint(s, 10, 64)
		assert.NilError(t, err)
		seed, page = n, false
	}
	var cells []Cell
	for _, c := range Cells(seed) {
		if strings.Contains(c.Name(), filter) {
			cells = append(cells, c)
		}
	}
	results := make([]Result, len(cells))
	t.Run("cells", func(t *testing.T) {
		for i, c := range cells {
			t.Run(c.Name(), func(t *testing.T) {
				t.Parallel()
				results[i] = runCell(t, c)
			})
		}
	})
	breaches, unreached := reportFailures(t, results)
	// The counts are printed first, because the comparison of the page ends the
	// test if the page differs.
	fmt.Printf("matrix: seed=%d\n", seed)
	fmt.Printf("matrix: cells=%d breaches=%d unreached=%d\n", len(cells), breaches, unreached)
	if page {
		// The page of the documentation is the golden file.
		golden.Assert(t, Page(seed, results), "../../../docs/fault-matrix.md")
		if len(cells) < MinCells {
			t.Errorf("matrix has %d cells, want at least %d", len(cells), MinCells)
		}
	}
}

// reportFailures reports every cell with a breach or a fault that never took
// effect, and returns the numbers of breaches and of such faults.
func reportFailures(t *testing.T, results []Result) (breaches, unreached int) {
	for _, r := range results {
		breaches += len(r.Breaches)
		unreached += len(r.Unreached)
		if len(r.Breaches)+len(r.Unreached) > 0 {
			t.Errorf("%s", r.Line())
		}
	}
	return breaches, unreached
}

// TestUnreached guards against cells that pass only because their fault never
// began: Result.Unreached must list such a fault.
func TestUnreached(t *testing.T) {
	r := runCell(t, Cell{Step: "nowhere", Faults: []string{"kill"}})
	assert.DeepEqual(t, r.Unreached, []string{"kill"})
}

func runCell(t *testing.T, c Cell) Result { return runSimulation(t, Setup{}, c) }

func runSimulation(t *testing.T, s Setup, c Cell) (r Result) {
	synctest.Test(t, func(*testing.T) { r = NewSimulation(s).Run(c) })
	return r
}

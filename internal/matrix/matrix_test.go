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

// defaultSeed chooses the pairs of faults of the page.
const defaultSeed = 20260412

// TestClean guards against a script that breaks a promise without any fault.
func TestClean(t *testing.T) {
	r := runCell(t, Cell{})
	for _, b := range r.Breaches {
		t.Errorf("%s: %s", b.Promise, b.Detail)
	}
}

// TestMatrix runs every cell and guards against a promise that a fault at a
// step breaks, and against a cell whose fault never takes effect. It runs only
// for `make matrix`, since it takes minutes. MATRIX_CELL limits it to the
// cells whose name contains the value, and MATRIX_SEED replaces the seed; the
// page is compared only without them.
func TestMatrix(t *testing.T) {
	only, limited := os.LookupEnv("MATRIX_CELL")
	if !limited && os.Getenv("MATRIX") == "" {
		t.Skip("run by make matrix")
	}
	seed, page := uint64(defaultSeed), !limited
	if s, ok := os.LookupEnv("MATRIX_SEED"); ok {
		n, err := strconv.ParseUint(s, 10, 64)
		assert.NilError(t, err)
		seed, page = n, false
	}
	var cells []Cell
	for _, c := range Cells(seed) {
		if strings.Contains(c.Name(), only) {
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
	breaches, unreached := count(t, results)
	// The counts are printed before the page is compared, which ends the test.
	fmt.Printf("matrix: seed=%d\n", seed)
	fmt.Printf("matrix: cells=%d breaches=%d unreached=%d\n", len(cells), breaches, unreached)
	if page {
		// The page of the fault matrix is the golden file.
		golden.Assert(t, Page(seed, results), "../../../docs/fault-matrix.md")
		if len(cells) < MinCells {
			t.Errorf("%d cells, at least %d are wanted", len(cells), MinCells)
		}
	}
}

// count reports the cells that are not clean.
func count(t *testing.T, results []Result) (breaches, unreached int) {
	for _, r := range results {
		breaches += len(r.Breaches)
		unreached += len(r.Unreached)
		if len(r.Breaches)+len(r.Unreached) > 0 {
			t.Errorf("%s", r.Line())
		}
	}
	return breaches, unreached
}

// TestUnreached guards against cells that hold only because their fault never
// began.
func TestUnreached(t *testing.T) {
	r := runCell(t, Cell{Step: "nowhere", Faults: []string{"kill"}})
	assert.DeepEqual(t, r.Unreached, []string{"kill"})
}

func runCell(t *testing.T, c Cell) Result { return runWorld(t, Setup{}, c) }

func runWorld(t *testing.T, s Setup, c Cell) (r Result) {
	synctest.Test(t, func(*testing.T) { r = NewWorld(s).Run(c) })
	return r
}

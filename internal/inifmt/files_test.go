package inifmt

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// examples is the directory of the example files.
const examples = "../../examples"

// readExample reads the base file of an example with the given overlays.
func readExample(t *testing.T, dir string, overlays ...string) *Result {
	t.Helper()
	var sources []Source
	for _, name := range append([]string{"base"}, overlays...) {
		file := filepath.Join(examples, dir, name+".ini")
		b, err := os.ReadFile(file)
		assert.NilError(t, err)
		sources = append(sources, Source{name + ".ini", string(b)})
	}
	r, err := Read(t.Context(), sources[0], sources[1:]...)
	assert.NilError(t, err)
	return r
}

// TestExampleFiles guards against mistakes in the example files, with and
// without overlays, and against unintended changes of the configurations that
// they describe.
func TestExampleFiles(t *testing.T) {
	for dir, overlays := range map[string][]string{
		"khangai": {"ulaanbaatar", "erdenet"}, "cedarline": {"coast", "interior"},
	} {
		readExample(t, dir)
		readExample(t, dir, overlays...)
		for _, overlay := range overlays {
			golden.Assert(t, renderOrigins(readExample(t, dir, overlay)), dir+"-"+overlay+".golden")
		}
	}
}

// TestExampleGuaranteesFit guards against example guarantees that do not fit
// into two of the three domains when the third is out of service.
func TestExampleGuaranteesFit(t *testing.T) {
	for dir, processors := range map[string]int{"khangai": 60, "cedarline": 130} {
		c := readExample(t, dir).Config
		for _, out := range c.Domains {
			var free [][]fleet.Worker
			for _, d := range c.Domains {
				if d.Name != out.Name {
					free = append(free, workersOf(d.Name, processors))
				}
			}
			for _, s := range guaranteedShapes(c) {
				assert.Assert(t, reserve(free, s), "%s without %s: no place for %v", dir, out.Name, s)
			}
		}
	}
}

// TestExampleKeys guards against differences between the example keys listed in
// the README and the key hashes in the example files.
func TestExampleKeys(t *testing.T) {
	b, err := os.ReadFile(filepath.Join(examples, "README.md"))
	assert.NilError(t, err)
	configs := map[string]*config.Config{
		"khangai":   readExample(t, "khangai", "ulaanbaatar", "erdenet").Config,
		"cedarline": readExample(t, "cedarline", "coast", "interior").Config,
	}
	// The README has other tables; the table of keys follows this heading.
	_, table, ok := strings.Cut(string(b), "## Example keys")
	assert.Assert(t, ok)
	found := 0
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || configs[strings.TrimSpace(cells[1])] == nil {
			continue
		}
		c, name, key := configs[strings.TrimSpace(cells[1])], strings.Trim(cells[2], " `"), strings.Trim(cells[3], " `")
		w, _ := c.WorkspaceOfKey(key)
		o, _ := c.OperatorOfKey(key)
		assert.Equal(t, string(w.Name)+o.Name, name)
		found++
	}
	want := 0
	for _, c := range configs {
		want += len(c.Workspaces) + len(c.Operators)
	}
	assert.Equal(t, found, want)
}

// workersOf returns 17 workers of the domain in racks of 8 workers.
func workersOf(d ident.Domain, processors int) []fleet.Worker {
	capacity := shape.Resources{Accelerators: 8, Processors: processors, Memory: 256_000_000_000}
	var workers []fleet.Worker
	for i := range 17 {
		spec := worker.Spec{
			ID: ident.Worker(fmt.Sprintf("%s-%02d", d, i)), Domain: d,
			Rack: ident.Rack(fmt.Sprintf("r%d", i/8)), Capacity: capacity,
		}
		workers = append(workers, fleet.Worker{Spec: spec, Free: capacity})
	}
	return workers
}

// guaranteedShapes returns all guaranteed shapes of c, the largest first.
func guaranteedShapes(c *config.Config) []shape.Shape {
	var shapes []shape.Shape
	for _, w := range c.Workspaces {
		for _, g := range w.Guarantees {
			shapes = append(shapes, slices.Repeat([]shape.Shape{g.Shape}, g.Count)...)
		}
	}
	slices.SortStableFunc(shapes, func(a, b shape.Shape) int { return b.Total().Accelerators - a.Total().Accelerators })
	return shapes
}

// reserve subtracts s from the free capacity of the first domain that it fits
// in, and reports whether there is one.
func reserve(free [][]fleet.Worker, s shape.Shape) bool {
	for _, workers := range free {
		slots, ok := fleet.Fit(workers, s, nil)
		if !ok {
			continue
		}
		for _, slot := range slots {
			i := slices.IndexFunc(workers, func(w fleet.Worker) bool { return w.Spec.ID == slot.Worker })
			workers[i].Free = workers[i].Free.Sub(s.Member.Times(slot.Members))
		}
		return true
	}
	return false
}

package expect

import (
	"hash/maphash"
	"math/bits"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
)

type (
	// Key is what the expected run time of a task or gang depends on.
	Key struct {
		Workspace string
		Queue     string
		Image     string
		// Accelerators is the demand of each task.
		Accelerators int64
		// Members is the number of tasks that end together, 1 for a single task.
		Members  int
		Declared time.Duration
	}

	// Run is a run that has ended.
	Run struct {
		Key
		// Elapsed is the time from the confirmed start, for a gang that of the last
		// member, to the end.
		Elapsed time.Duration
		// Far reports whether it ran away from its data.
		Far bool
		// Speed is that of the worker relative to a sound one, 0 if unknown.
		Speed float64
		// Partial reports whether it did only a part of the work: it was stopped
		// before its end, or had resumed from a checkpoint. Elapsed is then a lower
		// bound.
		Partial bool
	}

	// Model is what finished runs tell about the run times of later ones.
	Model struct {
		all        cell
		queues     map[string]*cell
		workspaces map[string]*workspace
		imageSeed  maphash.Seed
		// uses counts the observations. It orders what is evicted.
		uses uint64
	}

	// workspace has the cells of a workspace.
	workspace struct {
		cells   map[cellKey]*cell
		lastUse uint64
	}

	// cell is a histogram with the number of its last observation.
	cell struct {
		histogram
		lastUse uint64
		// median is the median ratio of the runs for which this is the narrowest cell,
		// as of the observation medianAt.
		median   float64
		medianAt uint64
	}

	// cellKey identifies a cell of a workspace. Those of the level Own have the queue
	// and undeclared only.
	cellKey struct {
		queue        string
		image        uint64
		accelerators uint8
		members      uint8
		undeclared   bool
		narrow       bool
	}
)

const (
	// Limits of what is kept. A workspace cannot evict the cells of another one. The
	// sites have 10 workspaces with a few queues each, and up to 250 and 1,000.
	maxQueues         = 1024
	maxWorkspaces     = 512
	maxWorkspaceCells = 48

	// The number of observations after which older ones have lost a factor of e of
	// their weight. Narrow levels follow a shift of the work within a few dozen runs.
	// At 40, the 90% quantile rests on four observations beyond it.
	ownMemory  = 40
	wideMemory = 400

	// priorWeight is the number of observations at which a level counts as much as
	// the wider one.
	priorWeight = 8
	// maxPooledRatio and its inverse bound the ratios in the levels that mix
	// workspaces. Its square is the factor by which the runs of other workspaces can
	// change an expectation.
	maxPooledRatio = 2
	// farWeight is the weight of a run away from its data: the factor is a rule of
	// thumb.
	farWeight = 0.25
	// minUndeclared is the number of observations from which on the run time of tasks
	// that declare none is known. There is no declared time to shrink it towards.
	minUndeclared = 4
	// undeclaredUnit is the run time of a ratio of one where nothing is declared.
	undeclaredUnit = time.Second
)

// declaredBins are the bins over which the ratio is spread evenly as long as nothing is
// known: those of maxPooledRatio and its inverse.
var firstDeclaredBin, lastDeclaredBin = binOf(1.0 / maxPooledRatio), binOf(maxPooledRatio) - 1

// NewModel returns a model without observations.
func NewModel() *Model {
	return &Model{
		queues: make(map[string]*cell), workspaces: make(map[string]*workspace), imageSeed: maphash.MakeSeed(),
	}
}

// KeyOf returns the key of a unit.
func KeyOf(u graph.Unit) Key {
	job, step := u.Progress.Job, u.Spec()
	return Key{
		Workspace: job.Workspace, Queue: job.Queue, Image: step.Image, Accelerators: step.Demand.Accelerators,
		Members: len(u.Members), Declared: step.Estimate,
	}
}

// Observe adds a run. A run that did a part of its work only counts as a lower bound,
// in the levels of its workspace, and by the share of the runs that are expected to end
// before it: a stop soon after the start tells nothing.
func (m *Model) Observe(r Run) {
	if r.Elapsed <= 0 {
		return
	}
	ratio, weight := r.ratio()
	m.uses++
	if r.Partial {
		m.observeBound(r.Key, binOf(ratio), weight)
		return
	}
	own, narrow := m.cellsFor(r.Key)
	own.add(binOf(ratio), weight, ownMemory)
	narrow.add(binOf(ratio), weight, ownMemory)
	if r.Declared <= 0 {
		return
	}
	bin := min(max(binOf(ratio), firstDeclaredBin), lastDeclaredBin)
	m.queueCell(r.Queue).add(bin, weight, wideMemory)
	m.all.add(bin, weight, wideMemory)
}

// observeBound adds a run of which the bin of a lower bound is known.
func (m *Model) observeBound(k Key, bin int, weight float64) {
	d := m.Expect(k)
	if !d.known {
		return
	}
	before := 0.0
	for _, share := range d.shares[:bin] {
		before += float64(share)
	}
	if weight *= before; weight < minTailShare {
		return
	}
	own, narrow := m.cellsFor(k)
	own.addBeyond(bin, weight, ownMemory, &d)
	narrow.addBeyond(bin, weight, ownMemory, &d)
}

// ratio returns the ratio of the run time on a sound worker near the data to the
// declared one, and the weight of the observation.
func (r *Run) ratio() (ratio, weight float64) {
	ratio, weight = float64(r.Elapsed)/float64(r.unit()), 1
	if r.Speed > 0 {
		ratio *= r.Speed
	}
	if r.Far {
		ratio, weight = ratio/graph.FarFactor, farWeight
	}
	return ratio, weight
}

// unit returns the run time of a ratio of one.
func (k *Key) unit() time.Duration {
	if k.Declared <= 0 {
		return undeclaredUnit
	}
	return k.Declared
}

// Expect returns what is expected of a run. It does not change the model.
func (m *Model) Expect(k Key) Distribution {
	d := Distribution{unit: k.unit(), declared: k.Declared}
	d.blend(m.cells(k))
	return d
}

// Median returns Expect(k).Median(). It is faster where many keys differ in their declared
// time only.
func (m *Model) Median(k Key) time.Duration {
	cells := m.cells(k)
	var narrowest *cell
	for _, c := range cells {
		if c != nil {
			narrowest = c
			break
		}
	}
	if narrowest == nil || m.uses == 0 {
		return k.Declared
	}
	if narrowest.medianAt != m.uses {
		d := Distribution{unit: undeclaredUnit, declared: k.Declared}
		d.blend(cells)
		narrowest.median, narrowest.medianAt = 0, m.uses
		if d.known {
			narrowest.median = d.Median().Seconds() / undeclaredUnit.Seconds()
		}
	}
	if narrowest.median == 0 {
		return k.Declared
	}
	return time.Duration(min(narrowest.median*float64(k.unit()), float64(maxDuration)))
}

// cells returns the cells that the expectation of a key depends on, by level. Those
// without observations may be nil.
func (m *Model) cells(k Key) [Levels]*cell {
	var cells [Levels]*cell
	if w := m.workspaces[k.Workspace]; w != nil {
		cells[Size], cells[Own] = w.cells[m.cellKey(k, true)], w.cells[m.cellKey(k, false)]
	}
	if k.Declared > 0 {
		cells[Queue], cells[All] = m.queues[k.Queue], &m.all
	}
	return cells
}

// blend sets the shares from the cells of the levels, each of which is shrunk towards
// the wider one by priorWeight, as in a hierarchy of Dirichlet priors (MacKay and Peto
// 1995), and the widest towards the declared time.
func (d *Distribution) blend(cells [Levels]*cell) {
	rest := 1.0
	var factors [Levels]float32
	for level, c := range cells {
		if c == nil {
			continue
		}
		n := c.observations()
		d.Observations[level] = n
		if n == 0 {
			continue
		}
		share := rest * n / (n + priorWeight)
		if d.declared <= 0 && Level(level) == Own {
			share = rest
		}
		rest -= share
		factors[level] = float32(share / c.total)
	}
	if d.declared <= 0 && d.Observations[Own] < minUndeclared || rest == 1 {
		return
	}
	d.known = true
	for level, c := range cells {
		if factors[level] == 0 {
			continue
		}
		for i, w := range c.weights {
			d.shares[i] += factors[level] * w
		}
	}
	for i := firstDeclaredBin; i <= lastDeclaredBin; i++ {
		d.shares[i] += float32(rest) / float32(lastDeclaredBin-firstDeclaredBin+1)
	}
}

// cellKey returns the key of the cell of the level Size, or else of Own.
func (m *Model) cellKey(k Key, narrow bool) cellKey {
	key := cellKey{queue: k.Queue, undeclared: k.Declared <= 0}
	if narrow {
		key.narrow = true
		if k.Image != "" {
			key.image = maphash.String(m.imageSeed, k.Image)
		}
		key.accelerators = uint8(bits.Len64(uint64(max(k.Accelerators, 0))))
		key.members = uint8(bits.Len(uint(max(k.Members, 0))))
	}
	return key
}

// cellsFor returns the cells of the levels Own and Size for an observation.
func (m *Model) cellsFor(k Key) (own, narrow *cell) {
	w := m.workspaces[k.Workspace]
	if w == nil {
		evict(m.workspaces, maxWorkspaces, func(w *workspace) uint64 { return w.lastUse })
		w = &workspace{cells: make(map[cellKey]*cell)}
		m.workspaces[k.Workspace] = w
	}
	w.lastUse = m.uses
	return w.cell(m.cellKey(k, false), m.uses), w.cell(m.cellKey(k, true), m.uses)
}

// cell returns a cell of the workspace for an observation.
func (w *workspace) cell(key cellKey, use uint64) *cell {
	c := w.cells[key]
	if c == nil {
		evict(w.cells, maxWorkspaceCells, func(c *cell) uint64 { return c.lastUse })
		c = new(cell)
		w.cells[key] = c
	}
	c.lastUse = use
	return c
}

// queueCell returns the cell of a queue for an observation.
func (m *Model) queueCell(name string) *cell {
	c := m.queues[name]
	if c == nil {
		evict(m.queues, maxQueues, func(c *cell) uint64 { return c.lastUse })
		c = new(cell)
		m.queues[name] = c
	}
	c.lastUse = m.uses
	return c
}

// evict deletes the entry that was used longest ago if there are limit of them.
func evict[K comparable, V any](entries map[K]V, limit int, lastUse func(V) uint64) {
	if len(entries) < limit {
		return
	}
	var oldest K
	first := true
	var least uint64
	for k, v := range entries {
		if use := lastUse(v); first || use < least {
			oldest, least, first = k, use, false
		}
	}
	delete(entries, oldest)
}

package lead

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestCommitRowLimit guards against a transaction with more rows than the store
// takes, after which the leader could store nothing any more. Such a transaction
// came about when many workers left and joined at once while jobs changed.
func TestCommitRowLimit(t *testing.T) {
	const many = 250
	now := time.Unix(1000, 0)
	leader := &term{
		Scheduler: New(Deps{Log: event.New(logr.Discard())}), jobs: make(map[graph.ID]*job),
		workers: make(map[pool.WorkerID]*worker), dirtySince: now,
	}
	for i := range many {
		leader.pending.removed = append(leader.pending.removed, pool.WorkerID(fmt.Sprint("gone", i)))
		id := pool.WorkerID(fmt.Sprint("new", i))
		leader.workers[id] = &worker{info: ListedWorker{ID: id}}
		j := &graph.Job{ID: graph.ID(fmt.Sprint("job", i)), Steps: []graph.Step{{Count: 1}}}
		leader.jobs[j.ID] = &job{progress: graph.NewProgress(j), dirty: true}
	}
	leader.pending.acks = []ack{{number: 1}}
	puts, deletes, acks, batches := 0, 0, 0, 0
	for !leader.dirtySince.IsZero() {
		c := leader.collectCommit(now)
		batches++
		assert.Assert(t, batches <= many, "a transaction stores nothing")
		assert.Assert(t, len(c.batch.Puts)+len(c.batch.Deletes) <= ledger.MaxBatch)
		puts, deletes, acks = puts+len(c.batch.Puts), deletes+len(c.batch.Deletes), acks+len(c.acks)
	}
	assert.Equal(t, puts, 2*many)
	assert.Equal(t, deletes, many)
	assert.Equal(t, acks, 1)
}

// termWithPlacedTasks returns a term and its only job, all tasks of which are placed
// and have checkpoints.
func termWithPlacedTasks(tasks int, now time.Time) (*term, *job) {
	leader := &term{
		Scheduler: New(Deps{Log: event.New(logr.Discard())}), jobs: make(map[graph.ID]*job),
		workers: make(map[pool.WorkerID]*worker), dirtySince: now,
	}
	spec := &graph.Job{ID: "wide", Steps: []graph.Step{{Count: tasks, Checkpoints: true}}}
	p := graph.NewProgress(spec)
	p.Open(now)
	j := &job{progress: p, dirty: true, placements: make(map[*placement]bool)}
	leader.jobs[spec.ID] = j
	random := rand.New(rand.NewPCG(1, 2))
	for i := range tasks {
		id := graph.TaskID{Job: spec.ID, Index: i}
		p.Save(id, fmt.Sprintf("%016x", random.Uint64()))
		placed := &placement{job: j, run: 5<<20 + random.Int64N(int64(2*tasks)), remaining: 1}
		w := &worker{info: ListedWorker{ID: pool.WorkerID(fmt.Sprintf("i-%010x", 1<<36+random.IntN(350)*98765431))}}
		placed.members = []*member{{task: id, placement: placed, worker: w}}
		j.placements[placed] = true
	}
	return leader, j
}

// TestRowTooLarge guards against starts and acknowledgements that depend on a row
// which is too large to be stored, and against a row that the store refuses although
// it would fit without checkpoints.
func TestRowTooLarge(t *testing.T) {
	now := time.Unix(1000, 0)
	var b strings.Builder
	for _, tasks := range []int{100, 1000, maxPlacedTasks, 2 * maxPlacedTasks, 5 * maxPlacedTasks} {
		leader, j := termWithPlacedTasks(tasks, now)
		leader.pending.acks = []ack{{number: 1}}
		c := leader.collectCommit(now)
		runs, checkpoints := 0, 0
		for _, put := range c.batch.Puts {
			assert.Assert(t, len(put.Value) <= ledger.MaxValue)
			var stored graph.Snapshot
			assert.NilError(t, ledger.Decode(store.Row{Value: put.Value}, &stored))
			runs, checkpoints = len(stored.Placed), len(stored.Occurrences[0].Steps[0].Saved)
		}
		fmt.Fprintf(&b, "%d tasks: %d stored, %d checkpoints, %d to start, %d acknowledgements, dirty %v, retry %v\n",
			tasks, runs, checkpoints, len(c.placements), len(c.acks), j.dirty, !leader.dirtySince.IsZero())
	}
	golden.Assert(t, b.String(), "rowTooLarge.golden")
}

// TestTimedRowTooLarge guards against a timed job of which so many occurrences are due
// that its row is larger than the store accepts, so that nothing can be stored any more.
func TestTimedRowTooLarge(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, steps := range []int{1, 4, 100} {
		spec := &graph.Job{ID: "timed", MaxAttempts: 3, Times: 10_000, First: time.Unix(1000, 0), Interval: time.Second}
		for range steps {
			spec.Steps = append(spec.Steps, graph.Step{Count: 1, Checkpoints: true})
		}
		p := graph.NewProgress(spec)
		p.Open(time.Unix(1<<31, 0))
		j := &job{progress: p, placements: make(map[*placement]bool)}
		open := len(p.Occurrences)
		for _, o := range p.Occurrences {
			for step := range steps {
				id := graph.TaskID{Job: spec.ID, Occurrence: o.Number, Step: step}
				run := 5<<20 + random.Int64N(1<<16)
				p.End(id, run, graph.Failed, fmt.Sprintf("%016x", random.Uint64()))
				placed := &placement{job: j, run: run + 1, remaining: 1}
				placed.Unit = graph.Unit{Progress: p, Occurrence: o.Number, Step: step, Members: []int{0}}
				w := &worker{info: ListedWorker{ID: pool.WorkerID(fmt.Sprintf("i-%010x", 1<<36+random.IntN(350)*98765431))}}
				placed.members = []*member{{task: id, placement: placed, worker: w}}
				j.placements[placed] = true
			}
		}
		value, err := j.row()
		assert.NilError(t, err)
		t.Logf("%d occurrences of %d steps: %d bytes", open, steps, len(value))
	}
}

// TestLimitPlaced guards against a job with more placed tasks than fit into its
// row, and against a gang larger than the limit that is never placed.
func TestLimitPlaced(t *testing.T) {
	units := make([]graph.Unit, 3*maxPlacedTasks)
	for i := range units {
		units[i].Members = []int{i}
	}
	j := &job{placements: make(map[*placement]bool)}
	assert.Equal(t, len(j.limitPlaced(units)), maxPlacedTasks)
	assert.Equal(t, len(j.limitPlaced([]graph.Unit{{Members: make([]int, 2*maxPlacedTasks)}})), 1)
	j.placements[&placement{remaining: maxPlacedTasks - 1}] = true
	assert.Equal(t, len(j.limitPlaced(units)), 1)
}

// TestAcknowledgedAfterCommit guards against an acknowledgement that is sent before
// the end it covers is stored. That can happen when the changed jobs need several
// transactions and some of them change again while one is under way.
func TestAcknowledgedAfterCommit(t *testing.T) {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		name string
		jobs int
		// tasks is the number of tasks in each job. Each has a checkpoint, which adds to
		// the size of the row.
		tasks int
	}{{"one transaction", 20, 1}, {"too many rows for one transaction", 400, 1}, {"too many bytes for one transaction", 36, 2000}} {
		leader := &term{
			Scheduler: New(Deps{Log: event.New(logr.Discard())}), jobs: make(map[graph.ID]*job),
			workers: make(map[pool.WorkerID]*worker), dirtySince: now,
		}
		for i := range c.jobs {
			j := &graph.Job{ID: graph.ID(fmt.Sprint("job", i)), Steps: []graph.Step{{Count: c.tasks, Checkpoints: true}}}
			p := graph.NewProgress(j)
			p.Open(now)
			for n := range c.tasks {
				p.Save(graph.TaskID{Job: j.ID, Index: n}, fmt.Sprintf("%016x", random.Uint64()))
			}
			leader.jobs[j.ID] = &job{progress: p, dirty: true}
		}
		leader.pending.acks = []ack{{number: 1}}
		unstored, transactions := maps.Clone(leader.jobs), 0
		for acked := 0; acked < 2; transactions++ {
			assert.Assert(t, transactions < c.jobs, "%s: no acknowledgement", c.name)
			batch := leader.collectCommit(now)
			for _, j := range batch.jobs {
				delete(unstored, j.progress.Job.ID)
			}
			for _, a := range batch.acks {
				assert.Equal(t, len(unstored), 0, "%s: acknowledged before all jobs are stored", c.name)
				acked = int(a.number)
			}
			if acked == 1 && len(leader.pending.acks) == 0 {
				// A job in this transaction changes again while it is under way.
				again := batch.jobs[0]
				again.dirty, unstored[again.progress.Job.ID] = true, again
				leader.pending.acks, leader.dirtySince = []ack{{number: 2}}, now
			}
		}
		t.Logf("%s: %d transactions", c.name, transactions)
	}
}

// TestLargeWorkerRows guards against a transaction beyond the size that the store takes,
// or with a row that it does not take, because of entries with long texts, after which
// no leader could store anything any more.
func TestLargeWorkerRows(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	text := func(bytes int) string {
		b := make([]byte, bytes)
		for i := range b {
			b[i] = byte('a' + random.IntN(26))
		}
		return string(b)
	}
	const many = 40
	leader := &term{
		Scheduler: New(Deps{Log: event.New(logr.Discard())}), jobs: make(map[graph.ID]*job),
		workers: make(map[pool.WorkerID]*worker), dirtySince: now,
	}
	for i := range many {
		id := pool.WorkerID(fmt.Sprint("w", i))
		leader.workers[id] = &worker{info: ListedWorker{ID: id, Attributes: pool.Attributes{Rack: text(60 << 10)}}}
	}
	leader.workers["huge"] = &worker{info: ListedWorker{ID: "huge", Attributes: pool.Attributes{Rack: text(200 << 10)}}}
	stored := make(map[string]bool)
	for batches := 0; !leader.dirtySince.IsZero(); batches++ {
		assert.Assert(t, batches <= many, "a transaction stores nothing")
		c := leader.collectCommit(now)
		bytes := 0
		for _, p := range c.batch.Puts {
			assert.Assert(t, len(p.Value) <= ledger.MaxValue)
			bytes += len(p.Value)
			stored[p.Key] = true
		}
		assert.Assert(t, bytes <= maxBatchBytes+ledger.MaxValue, "%d bytes", bytes)
	}
	assert.Equal(t, len(stored), many)
}

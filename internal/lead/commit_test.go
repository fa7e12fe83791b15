package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// TestGather guards against a transaction of more entries than the store takes,
// after which the leader stored nothing any more: many workers leave at once,
// new ones come, and jobs change meanwhile.
func TestGather(t *testing.T) {
	const many = 250
	now := time.Unix(1000, 0)
	x := &term{
		Scheduler: New(Deps{Log: event.New(logr.Discard())}), jobs: make(map[graph.ID]*job),
		workers: make(map[pool.WorkerID]*worker), since: now,
	}
	for i := range many {
		x.pending.removed = append(x.pending.removed, pool.WorkerID(fmt.Sprint("gone", i)))
		id := pool.WorkerID(fmt.Sprint("new", i))
		x.workers[id] = &worker{info: pool.Worker{ID: id}}
		j := &graph.Job{ID: graph.ID(fmt.Sprint("job", i)), Steps: []graph.Step{{Count: 1}}}
		x.jobs[j.ID] = &job{progress: graph.NewProgress(j), dirty: true}
	}
	x.pending.acks = []ack{{number: 1}}
	puts, deletes, acks, batches := 0, 0, 0, 0
	for !x.since.IsZero() {
		c := x.gather(now)
		batches++
		assert.Assert(t, batches <= many, "a transaction stores nothing")
		assert.Assert(t, len(c.batch.Puts)+len(c.batch.Deletes) <= ledger.MaxBatch)
		puts, deletes, acks = puts+len(c.batch.Puts), deletes+len(c.batch.Deletes), acks+len(c.acks)
	}
	assert.Equal(t, puts, 2*many)
	assert.Equal(t, deletes, many)
	assert.Equal(t, acks, 1)
}

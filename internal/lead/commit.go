package lead

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// commit is the content of one transaction, with the state to update after
	// it.
	commit struct {
		batch ledger.Batch
		// number is that of the transaction within the term.
		number int64
		// ended lists the jobs whose end is in the batch.
		ended []*job
		// jobs lists the jobs whose progress or end is in the batch.
		jobs []*job
		// placements lists the placements that are in the batch.
		placements []*placement
		// acks are sent to the workers once the batch is stored.
		acks []ack
		// workers lists the workers whose rows are in the batch.
		workers []*worker
		// removed lists the workers whose rows are to be deleted.
		removed []pool.WorkerID
		// bytes is the size of the values in the batch.
		bytes int
		// incomplete reports whether a job's row is missing because it could not
		// be encoded or is too large.
		incomplete bool
	}

	// ack is an acknowledgement of ends that is sent after a commit.
	ack struct {
		worker *worker
		// incarnationStart is the start of the worker's incarnation that has
		// listed the ends.
		incarnationStart time.Time
		// number is the highest acknowledged end.
		number int64
		// ends counts the ends that no earlier report has listed.
		ends int
	}

	// committed is the event that reports the result of a commit.
	committed struct {
		commit
		err error
	}
)

const (
	// rowsPerEndedJob is the number of rows that the end of a job takes: one put
	// and two deletes.
	rowsPerEndedJob = 3
	// maxBatchBytes bounds the values of one transaction before the last row is
	// added, which has up to 64 KiB. The platform takes 1 MB, with values in
	// base 64.
	maxBatchBytes = 600 << 10
)

var (
	// commitSeconds is the duration of the leader's transactions.
	commitSeconds  = metrics.NewHistogram("baobabquay_commit_seconds")
	errRowTooLarge = errors.New("progress row too large")
)

// flush sends the next transaction if changes are due and none is under way.
func (t *term) flush(now time.Time) {
	if t.inFlight || t.dirtySince.IsZero() || now.Before(t.commitDue()) {
		return
	}
	c := t.collectCommit(now)
	if len(c.batch.Puts) == 0 && len(c.batch.Deletes) == 0 {
		t.finishCommit(c)
		return
	}
	t.inFlight, t.sentAt, c.number = true, now, t.Writer.Next()
	t.goroutines.Go(func() { t.post(committed{c, t.writeBatch(t.ctx, c.batch)}) })
}

// commitDue returns the instant at which the pending changes are to be sent.
func (t *term) commitDue() time.Time {
	if t.startPending {
		return t.dirtySince.Add(startCommitDelay)
	}
	return t.dirtySince.Add(commitDelay)
}

// collectCommit collects the changes of jobs and workers, as many as one
// transaction takes. Acknowledgements go with the last transaction of the
// pending changes, so that the ends they cover are stored by then.
func (t *term) collectCommit(now time.Time) commit {
	c := commit{}
	full := false
	for _, j := range t.dirtyJobs() {
		if c.freeRows() < rowsPerEndedJob || c.bytes > maxBatchBytes {
			full = true
			break
		}
		t.addJobRows(&c, j, now)
	}
	for _, w := range t.workers {
		if w.rowStored || w.rowPending || full {
			continue
		}
		if full = c.freeRows() < 1 || c.bytes > maxBatchBytes; !full {
			t.addWorkerRow(&c, w)
		}
	}
	if c.incomplete {
		// Acknowledgements may depend on the missing row.
		t.dirtySince = now
		return c
	}
	if !full {
		c.acks, t.pending.acks = t.pending.acks, nil
		full = t.addWorkerDeletes(&c)
	}
	if !full {
		t.dirtySince, t.startPending = time.Time{}, false
	}
	return c
}

// freeRows returns the number of rows that the transaction can still take.
func (c *commit) freeRows() int { return ledger.MaxBatch - len(c.batch.Puts) - len(c.batch.Deletes) }

// addWorkerDeletes deletes the rows of removed workers that were not listed again.
// It reports whether some of them have to wait for the next transaction.
func (t *term) addWorkerDeletes(c *commit) bool {
	for i, id := range t.pending.removed {
		if c.freeRows() < 1 {
			t.pending.removed = t.pending.removed[i:]
			return true
		}
		if t.workers[id] == nil {
			c.batch.Deletes = append(c.batch.Deletes, ledger.WorkerKey(string(id)))
		}
	}
	t.pending.removed = nil
	return false
}

// addJobRows adds the progress of a job, or the end of one that has ended.
func (t *term) addJobRows(c *commit, j *job, now time.Time) {
	p := j.progress
	id := p.Job.ID
	live := j.live()
	var value []byte
	var err error
	if live {
		value, err = j.row()
	} else {
		value, err = ledger.Encode(ledger.Ended{Phase: p.Ended, Reason: p.Reason, Queue: p.Job.Queue, At: now})
	}
	if err != nil {
		// The job stays dirty: its placements are not started, and no end is
		// acknowledged or published before its row is stored.
		t.Log.Write(event.CommitFailed, "job", string(id), "reason", err.Error())
		c.incomplete = true
		return
	}
	j.dirty = false
	c.jobs = append(c.jobs, j)
	c.bytes += len(value)
	if live {
		c.batch.Puts = append(c.batch.Puts, store.Put{Key: ledger.ProgressKey(id), Value: value})
		c.placements = slices.AppendSeq(c.placements, maps.Keys(j.placements))
		return
	}
	c.batch.Puts = append(c.batch.Puts, store.Put{Key: ledger.EndedKey(id), Value: value})
	c.batch.Deletes = append(c.batch.Deletes, ledger.JobKey(id), ledger.ProgressKey(id))
	c.ended = append(c.ended, j)
}

// requestCommit has the pending changes stored within commitDelay.
func (t *term) requestCommit() {
	if t.dirtySince.IsZero() {
		t.dirtySince = time.Now()
	}
}

// row returns the progress row of a job that has not ended. Checkpoints are left
// out if the row would be too large; then tasks that a later leader places again
// start from the beginning.
func (j *job) row() ([]byte, error) {
	stored := j.progress.Snapshot()
	for p := range j.placements {
		stored.Placed = append(stored.Placed, p.storedRun())
	}
	value, err := ledger.Encode(stored)
	if err == nil && len(value) > ledger.MaxValue {
		value, err = ledger.Encode(stored.WithoutCheckpoints())
	}
	if err == nil && len(value) > ledger.MaxValue {
		return nil, fmt.Errorf("%w: %d bytes for %d placed units", errRowTooLarge, len(value),
			len(j.placements))
	}
	return value, err
}

// addWorkerRow adds the row of a worker.
func (t *term) addWorkerRow(c *commit, w *worker) {
	value, err := ledger.Encode(ledger.Worker{
		Address: w.info.Address, Service: w.info.Service, Domain: w.info.Domain, Rack: w.info.Rack,
	})
	if err != nil {
		t.Log.Write(event.CommitFailed, "worker", string(w.info.ID), "reason", err.Error())
		return
	}
	if len(value) > ledger.MaxValue {
		// The worker stays closed to tasks.
		t.Log.Write(event.CommitFailed, "worker", string(w.info.ID), "reason", fmt.Sprintf("row of %d bytes", len(value)))
		return
	}
	w.rowPending, w.rowAddress = true, w.info.Address
	c.bytes += len(value)
	c.batch.Puts = append(c.batch.Puts, store.Put{Key: ledger.WorkerKey(string(w.info.ID)), Value: value})
	c.workers = append(c.workers, w)
}

// writeBatch stores a batch. It has no time limit of its own.
func (t *term) writeBatch(ctx context.Context, b ledger.Batch) error {
	if err := t.Writer.Commit(ctx, b); err != nil {
		return fmt.Errorf("store %d rows: %w", len(b.Puts)+len(b.Deletes), err)
	}
	return nil
}

func (t *term) applyCommitted(e committed) error {
	t.inFlight = false
	commitSeconds.Update(time.Since(t.sentAt).Seconds())
	if e.err != nil {
		if errors.Is(e.err, ledger.ErrDeposed) || t.ctx.Err() != nil {
			return e.err
		}
		t.Log.Write(event.CommitFailed, "reason", e.err.Error())
		return e.err
	}
	t.finishCommit(e.commit)
	return nil
}

// finishCommit updates the state after a commit is stored: it publishes ends,
// allows placements to start and acknowledges ends to the workers.
func (t *term) finishCommit(c commit) {
	t.mu.Lock()
	for _, j := range c.jobs {
		if !j.dirty {
			delete(t.unstored, j.progress.Job.ID)
			delete(t.inherited, j.progress.Job.ID)
		}
	}
	t.mu.Unlock()
	t.resolveInherited()
	for _, j := range c.ended {
		p := j.progress
		t.statuses.Store(p.Job.ID, Status{Phase: p.Ended, Queue: p.Job.Queue})
		t.logFinalPhase(j, p.Ended, true)
		delete(t.jobs, p.Job.ID)
		t.Log.Write(event.JobOver, "job", string(p.Job.ID), "phase", string(p.Ended), "reason", p.Reason,
			"age", time.Since(p.Job.Accepted).String())
	}
	for _, p := range c.placements {
		p.stored = true
	}
	for _, w := range c.workers {
		// The address may have changed while the transaction was under way.
		w.rowStored, w.rowPending = w.rowAddress == w.info.Address, false
		if !w.rowStored {
			t.requestCommit()
		}
		t.updateClosed(w)
	}
	for _, a := range c.acks {
		a.worker.agent.Acknowledge(a.incarnationStart, a.number)
	}
	t.logAcks(c)
}

// logAcks logs the acknowledgements of a commit, one line for each worker
// incarnation with ends that were not listed before.
func (t *term) logAcks(c commit) {
	type incarnation struct {
		worker *worker
		start  int64
	}
	byIncarnation := make(map[incarnation]ack, len(c.acks))
	for _, a := range c.acks {
		k := incarnation{a.worker, a.incarnationStart.UnixNano()}
		a.ends += byIncarnation[k].ends
		a.number = max(a.number, byIncarnation[k].number)
		byIncarnation[k] = a
	}
	for _, a := range byIncarnation {
		if a.ends > 0 {
			t.Log.Write(event.EndsAcked, "worker", string(a.worker.info.ID),
				"life", a.incarnationStart, "last", a.number, "ends", a.ends, "epoch", t.Epoch, "commit", c.number)
		}
	}
}

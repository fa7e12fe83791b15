package lead

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

// handOverAnswer is the answer of a former leader to HandOver.
type handOverAnswer struct {
	progress map[graph.ID]graph.Snapshot
	err      error
}

const (
	// readTimeout bounds the time until an answer begins in an attempt to read a
	// table, and between two parts of it, and maxLoadTime the whole attempt.
	// readRetryInterval is the pause before the next one.
	readTimeout       = 2 * time.Second
	maxLoadTime       = time.Minute
	readRetryInterval = 100 * time.Millisecond
	// lookUpTimeout bounds one transaction that looks up rows.
	lookUpTimeout = time.Second
	// followWait is how long one call waits for changes of the jobs or the
	// workers. A call that gets no answer is noticed after this time.
	followWait = 1500 * time.Millisecond
)

// load restores the state that earlier terms have stored.
func (t *term) load(ctx context.Context) error {
	termVersion := func() int64 { return t.Version }
	progress, err := t.readTable(ctx, ledger.ProgressTable, termVersion)
	if err != nil {
		return err
	}
	workers, err := t.readTable(ctx, ledger.WorkerTable, termVersion)
	if err != nil {
		return err
	}
	// Jobs may be cancelled while the tables are read, and a cancelled job must not
	// be started. So the jobs are read last.
	jobs, err := t.readTable(ctx, ledger.JobTable, t.LeaseVersion)
	if err != nil {
		return err
	}
	t.loadedVersion = jobs.Version
	t.loadWorkers(workers)
	t.loadJobs(jobs, t.decodeProgress(progress))
	t.requestHandOvers(ctx)
	t.Log.Write(event.StateLoaded, "jobs", len(t.jobs), "workers", t.unresolvedWorkers,
		"age", time.Since(t.startedAt).String())
	return nil
}

// requestHandOvers merges the unstored progress of this instance's earlier terms
// and that of the former leaders, which it asks all at once. They may have received
// ends from workers that have left since.
func (t *term) requestHandOvers(ctx context.Context) {
	t.inherited = make(map[graph.ID]bool)
	t.mergeEarlierTerms()
	if t.HandOver != nil {
		answers := make([]handOverAnswer, len(t.FormerLeaders))
		var wg sync.WaitGroup
		for i, former := range t.FormerLeaders {
			wg.Go(func() { answers[i].progress, answers[i].err = t.HandOver(ctx, former, t.Epoch) })
		}
		wg.Wait()
		for i, a := range answers {
			if a.err != nil {
				t.Log.Write(event.HandOver, "former", t.FormerLeaders[i].String(), "reason", a.err.Error())
				continue
			}
			t.merge(t.FormerLeaders[i].String(), a.progress)
		}
	}
	t.resolveInherited()
}

// mergeEarlierTerms merges the unstored progress of this instance's earlier terms.
func (t *term) mergeEarlierTerms() {
	t.mu.Lock()
	unmerged := t.unmerged
	t.mu.Unlock()
	if len(unmerged) == 0 {
		return
	}
	t.merge("this instance", unmerged)
	t.mu.Lock()
	t.unmerged = nil
	t.mu.Unlock()
}

// merge merges the unstored progress of a former leader or of an earlier term of
// this instance.
func (t *term) merge(former string, progress map[graph.ID]graph.Snapshot) {
	tasks, known := 0, 0
	for id, unstored := range progress {
		j, ok := t.jobs[id]
		if !ok {
			continue
		}
		known++
		done, changed := j.progress.Merge(unstored)
		tasks += done
		if changed {
			t.inherited[id] = true
			t.openDue(j, time.Now())
			t.markDirty(j)
			t.finishJob(j)
		}
	}
	t.Log.Write(event.HandOver, "former", former, "jobs", len(progress), "live", known, "newTasks", tasks)
}

// resolveInherited notifies the elector once all progress from former leaders is
// stored.
func (t *term) resolveInherited() {
	if t.inherited != nil && len(t.inherited) == 0 {
		t.inherited = nil
		t.MarkFormerSettled()
	}
}

// readTable reads a table at minVersion or later, and tries again until ctx ends.
// minVersion is called for each attempt, since it may rise. The rows of earlier
// terms have versions below the term's first write.
func (t *term) readTable(ctx context.Context, table string, minVersion func() int64) (store.Changes, error) {
	behind := false
	for {
		start := time.Now()
		callCtx, cancel := store.AnswerTimeout{First: readTimeout, Stall: readTimeout, Transfer: maxLoadTime}.Context(ctx)
		changes, err := t.Feed.ReadSince(callCtx, table, minVersion())
		cancel()
		switch {
		case err == nil:
			t.logRead(table, "load", changes, time.Since(start))
			return changes, nil
		case !errors.Is(err, store.ErrStale):
			t.Log.Write(event.StoreDown, "table", table, "reason", err.Error())
		case !behind:
			behind = true
			t.Log.Write(event.StoreBehind, "table", table, "reason", err.Error())
		}
		select {
		case <-ctx.Done():
			return store.Changes{}, fmt.Errorf("read table %s: %w", table, errors.Wrap(err, ctx.Err().Error()))
		case <-time.After(readRetryInterval):
		}
	}
}

// logRead logs that a whole table was read.
func (t *term) logRead(table, reader string, c store.Changes, took time.Duration) {
	t.Log.Write(event.TableRead, "table", table, "reader", reader, "version", c.Version, "termVersion", t.Version,
		"epoch", t.Epoch, "rows", len(c.Rows), "took", took.String())
}

func (t *term) decodeProgress(c store.Changes) map[graph.ID]graph.Snapshot {
	stored := make(map[graph.ID]graph.Snapshot, len(c.Rows))
	for _, ch := range c.Rows {
		var progress graph.Snapshot
		if err := ledger.Decode(ch.Row, &progress); err != nil {
			t.Log.Write(event.RowUnread, "key", ch.Row.Key, "reason", err.Error())
			continue
		}
		stored[graph.ID(store.RowName(ch.Row.Key))] = progress
	}
	return stored
}

func (t *term) loadJobs(c store.Changes, stored map[graph.ID]graph.Snapshot) {
	for _, ch := range c.Rows {
		var spec graph.Job
		if err := decodeJob(ch.Row, &spec); err != nil {
			t.Log.Write(event.RowUnread, "key", ch.Row.Key, "reason", err.Error())
			continue
		}
		progress := stored[spec.ID]
		j := t.registerJob(&spec, graph.Restore(&spec, progress))
		for i := range progress.Placed {
			t.takeOverRun(j, &progress.Placed[i])
		}
		t.openDue(j, time.Now())
		if j.progress.Job.Cancelled {
			t.stopJob(j, "cancelled")
		}
		t.finishJob(j)
	}
}

// takeOverRun restores a run that an earlier term has placed. Each of its tasks
// may be running until its worker has answered. The answer lists it as running
// or as ended; otherwise it is lost, since the worker refuses the former leader's
// orders from then on.
func (t *term) takeOverRun(j *job, stored *graph.RunPlacement) {
	p := &placement{job: j, run: stored.Run, stored: true}
	p.Unit = graph.Unit{Progress: j.progress, Occurrence: stored.Occurrence,
		Step: stored.Step, Members: stored.Members}
	p.Since = t.startedAt
	if !j.progress.HasUnit(p.Unit) || len(stored.Workers) != len(stored.Members) {
		t.Log.Write(event.RowUnread, "key", ledger.ProgressKey(j.progress.Job.ID),
			"reason", "stored run does not match the job")
		t.addMismatchedRun(stored, p.Unit.Tasks())
		return
	}
	for i, id := range p.Unit.Tasks() {
		w := t.workers[pool.WorkerID(stored.Workers[i])]
		if w == nil {
			// A worker without a row has no runs: its row is deleted only after
			// they have ended.
			continue
		}
		if j.progress.Task(id).Done || t.members[id] != nil {
			// Another run has done the task, or is placed, but this one may go on.
			t.addUnplaced(w, id, p.run, t.startedAt)
			continue
		}
		t.takeOverTask(p, id, w)
	}
	if p.remaining == 0 {
		return
	}
	if step := p.Unit.Spec(); step.Gang {
		p.Unit.Members = j.progress.GangMembers(stored.Step)
	}
	p.Unit.SetBusy(true)
	t.placements[p], j.placements[p] = true, true
	if p.remaining < len(p.Unit.Members) {
		// A member of the gang has ended without being done, or else the whole gang
		// would be done. So the others have to stop.
		t.stopPlacement(p, "gang")
	}
}

// takeOverTask restores one task of a run. It counts as confirmed from the start of
// the term, so the worker's first full report has to list it.
func (t *term) takeOverTask(p *placement, id graph.TaskID, w *worker) {
	m := &member{task: id, placement: p, worker: w, startSent: true,
		confirmedAt: t.startedAt, progressedAt: t.startedAt}
	entry := t.pool.Worker(w.info.ID)
	entry.Occupied = entry.Occupied.Plus(p.Unit.Spec().Footprint())
	p.members, p.Workers = append(p.members, m), append(p.Workers, entry)
	p.remaining++
	t.members[id], w.members[id] = m, m
	w.updateExpectedRuns()
	u := t.usageOf(p)
	u.Occupied = u.Occupied.Plus(p.Unit.Spec().Demand)
}

// loadWorkers restores the workers that earlier terms have stored.
func (t *term) loadWorkers(c store.Changes) {
	for _, ch := range c.Rows {
		var row ledger.Worker
		if err := ledger.Decode(ch.Row, &row); err != nil {
			t.Log.Write(event.RowUnread, "key", ch.Row.Key, "reason", err.Error())
			continue
		}
		w := t.addWorker(ListedWorker{ID: pool.WorkerID(store.RowName(ch.Row.Key)), Attributes: pool.Attributes{
			Address: row.Address, Service: row.Service, Domain: row.Domain, Rack: row.Rack,
		}})
		w.rowStored, w.unresolved = true, true
		t.unresolvedWorkers++
		t.updatePool(w)
	}
}

// follow starts goroutines that follow the job table and the list of workers.
func (t *term) follow(ctx context.Context) {
	logResult := func(table string) func(error) {
		down, behind := false, false
		return func(err error) {
			if errors.Is(err, store.ErrStale) && !behind {
				behind = true
				t.Log.Write(event.StoreBehind, "table", table, "reason", err.Error())
			}
			behind = behind && err != nil
			if (err != nil) == down || store.IsLagging(err) || ctx.Err() != nil {
				return
			}
			down = err != nil
			if down {
				t.Log.Write(event.StoreDown, "table", table, "reason", err.Error())
				return
			}
			t.Log.Write(event.StoreBack, "table", table)
		}
	}
	run := func(f store.Follower, post func(store.Changes, bool)) {
		var took time.Duration
		f.Feed, f.KnownVersion, f.MaxWait, f.OnResult = t.Feed, t.LeaseVersion, followWait, logResult(f.Table)
		f.ObserveLatency = func(d time.Duration) { took = d }
		f.Apply = func(c store.Changes, snapshot bool) {
			if snapshot {
				t.logRead(f.Table, "follower", c, took)
			}
			post(c, snapshot)
		}
		t.goroutines.Go(func() { f.Run(ctx) })
	}
	run(store.Follower{Table: ledger.JobTable, StartVersion: t.loadedVersion, ReadSkipped: t.readLiveJobs},
		func(c store.Changes, snapshot bool) { t.post(jobChanges{c, snapshot}) })
	run(store.Follower{Table: t.WorkerList, MinVersion: t.Version},
		func(c store.Changes, snapshot bool) { t.post(workerChanges{c, snapshot}) })
}

// readLiveJobs reads the rows of the jobs that have not ended from transactions,
// which are never stale, and posts those that exist. So a job that was cancelled in
// a gap of the followed changes is not started.
func (t *term) readLiveJobs(ctx context.Context) error {
	var keys []string
	t.statuses.Range(func(id graph.ID, s Status) bool {
		if !isFinal(s.Phase) {
			keys = append(keys, ledger.JobKey(id))
		}
		return true
	})
	for batch := range slices.Chunk(keys, ledger.MaxBatch) {
		callCtx, cancel := context.WithTimeout(ctx, lookUpTimeout)
		rows, err := t.Table.ReadCurrent(callCtx, batch...)
		cancel()
		if err != nil {
			t.Log.Write(event.StoreDown, "table", ledger.JobTable, "reason", err.Error())
			return fmt.Errorf("read rows of live jobs: %w", err)
		}
		var changes store.Changes
		for _, row := range rows {
			if row.Version > 0 {
				changes.Rows = append(changes.Rows, store.Change{Row: row})
			}
		}
		t.post(jobChanges{changes, false})
	}
	return nil
}

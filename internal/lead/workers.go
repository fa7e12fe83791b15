package lead

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// workerChanges is the event for changes of the platform's list of workers.
	// A snapshot has all rows of the list.
	workerChanges struct {
		store.Changes
		snapshot bool
	}

	// worker is the state of a worker in the term.
	worker struct {
		// info is the worker's entry in the list as last read. Before that, it is
		// what the row of the worker says.
		info  ListedWorker
		agent *agent.Agent
		// stop ends the goroutine of agent.
		stop context.CancelFunc
		// listed reports whether the worker is in the platform's list.
		listed bool
		// answered reports whether the worker has answered in this term at its
		// present address, and unreachable whether its last calls have failed.
		answered    bool
		unreachable bool
		// rowStored reports whether its row is stored, so that a later leader
		// finds the worker. rowPending reports whether a transaction with the row
		// is under way.
		rowStored  bool
		rowPending bool
		// rowAddress is the address in the last written row.
		rowAddress netip.AddrPort
		// version is that of the last applied change of its entry in the list.
		version int64
		// unresolved workers have a row from an earlier term, and what runs there
		// is not known yet: they have neither sent a full report nor been
		// unreachable until all leases have expired.
		unresolved bool
		members    map[graph.TaskID]*member
		// unplaced has the runs that may be under way on the worker and are not placed
		// in this term.
		unplaced map[runKey]unplacedRun
		// generation is the generation of starts in which the worker reported last.
		// The worker carries out no start of an earlier one.
		generation int64
		// incarnationStart is the start of the incarnation that reported last, and
		// fencedIncarnation that of the last one known to have seen its fencing
		// token. They are zero before the first report.
		incarnationStart  time.Time
		fencedIncarnation time.Time
		// failures counts the failed runs since the last successful one.
		failures int
		// quarantines counts the quarantines since the last successful run.
		quarantines int
		// stalledJobs has the jobs of which a task has stalled on the worker since
		// any of its tasks has made progress, at advancedAt.
		stalledJobs map[graph.ID]bool
		advancedAt  time.Time
		// suspected reports whether the last quarantine was by suspect.
		suspected bool
		// lastReport is logged with runs that are given up as lost.
		lastReport reportSummary
		// lastEndNumber is the highest number of an end that was listed by the
		// incarnation that started at lastEndIncarnationStart.
		lastEndNumber           int64
		lastEndIncarnationStart time.Time
	}

	// reportSummary has the request time and the counts of a report.
	reportSummary struct {
		requestedAt time.Time
		running     int
		ended       int
	}
)

const (
	// quarantineAfter is the number of failed runs, without a successful one
	// between them, after which a worker is quarantined.
	quarantineAfter = 2
	// minQuarantine is the duration of a worker's first quarantine. It doubles
	// with each further one up to maxQuarantine. The users' workers that fail all
	// runs do so for 4 to 7 s.
	minQuarantine = 3 * time.Second
	maxQuarantine = 30 * time.Second
)

// Reasons of a quarantine.
const (
	quarantinedForFailures = "failures"
	quarantinedForStalls   = "stalled"
)

// applyWorkers applies changes of the platform's list.
func (t *term) applyWorkers(c workerChanges) {
	present := make(map[pool.WorkerID]bool, len(c.Rows))
	for _, ch := range c.Rows {
		id := pool.WorkerID(store.RowName(ch.Row.Key))
		if w := t.workers[id]; w != nil && ch.Row.Version < w.version {
			// A snapshot may be older than changes that were applied before it.
			present[id] = true
			continue
		}
		if ch.Deleted {
			t.applyUnlisted(id, ch.Row.Version)
			continue
		}
		listed, err := t.ReadWorker(ch.Row)
		if err != nil {
			// The entry names no worker to use until its worker writes it again.
			t.Log.Write(event.RowUnread, "key", ch.Row.Key, "reason", err.Error())
			t.applyUnlisted(id, ch.Row.Version)
			continue
		}
		present[id] = true
		t.applyListed(listed)
		t.workers[id].version = ch.Row.Version
	}
	if !c.snapshot {
		return
	}
	t.listRead = true
	for id, w := range t.workers {
		if w.listed && !present[id] && c.Version >= w.version {
			t.applyUnlisted(id, c.Version)
		}
	}
}

// applyListed adds a worker that is in the list, or updates it.
func (t *term) applyListed(l ListedWorker) {
	w, known := t.workers[l.ID]
	if !known {
		w = t.addWorker(l)
		t.Log.Write(event.WorkerListed, "worker", string(l.ID), "domain", l.Domain, "rack", l.Rack, "service", l.Service)
		t.requestCommit()
	}
	former, wasListed := w.info, w.listed
	w.info, w.listed = l, true
	if known && former.Address != l.Address {
		t.changeAddress(w, former.Address)
	}
	if !wasListed || !former.Equal(l.Attributes) {
		t.updatePool(w)
		t.stopUnstartedOn(w)
	}
	if w.listedInOtherIncarnation() &&
		(!l.IncarnationStart.Equal(former.IncarnationStart) || l.IncarnationStart.After(w.incarnationStart)) {
		// The new incarnation has to see its fencing token before a late order to a
		// former one arrives. An idle worker is not called otherwise. Entries that are
		// behind the reports cause no call.
		w.agent.RequestReport()
	}
	if l.Draining && (!wasListed || !former.Draining) {
		t.Log.Write(event.WorkerDrains, "worker", string(l.ID), "remaining", l.Remaining.String(), "runs", len(w.members))
	}
	t.noteDraining(w, time.Now())
	t.updateClosed(w)
}

// listedInOtherIncarnation reports whether the entry in the list is of another
// incarnation than the last report, so that the worker's attributes may be others.
func (w *worker) listedInOtherIncarnation() bool {
	return !w.info.IncarnationStart.IsZero() && !w.incarnationStart.IsZero() && !w.info.IncarnationStart.Equal(w.incarnationStart)
}

// changeAddress follows a change of the address of a worker. Its runs stay until an
// incarnation of it has answered at the new address, or until their leases have
// expired.
func (t *term) changeAddress(w *worker, former netip.AddrPort) {
	t.Log.Write(event.WorkerMoved, "worker", string(w.info.ID), "former", former.String(),
		"address", w.info.Address.String(), "runs", len(w.members))
	w.answered, w.rowStored = false, false
	w.agent.SetAddress(w.info.Address)
	t.requestCommit()
}

// addWorker adds a worker and starts its agent.
func (t *term) addWorker(info ListedWorker) *worker {
	w := &worker{info: info, members: make(map[graph.TaskID]*member)}
	t.workers[info.ID] = w
	a := agent.New(agent.Deps{
		Calls: t.Calls, Target: agent.Target{ID: info.ID, Address: info.Address}, Limits: t.Limits,
		Epoch: t.Epoch, InitialToken: t.nextToken[info.ID], LastRenewal: t.LastRenewal,
		Go: t.goroutines.Go, Emit: func(e agent.Event) { t.post(e) }, Log: t.Log,
	})
	ctx, stop := context.WithCancel(t.ctx)
	w.agent, w.stop = a, stop
	t.goroutines.Go(func() { a.Run(ctx) })
	return w
}

// updatePool adds the worker to the pool, or updates its entry there.
func (t *term) updatePool(w *worker) {
	if pooled := t.pool.Worker(w.info.ID); pooled != nil {
		// Placements hold pointers to the pool's entry, so it is updated in place.
		t.pool.SetAttributes(pooled, w.info.Attributes)
		t.pacer.changed = true
		return
	}
	t.pool.Put(&pool.Worker{ID: w.info.ID, Attributes: w.info.Attributes, Closed: true})
}

// updateClosed updates whether the worker is closed to new tasks.
func (t *term) updateClosed(w *worker) {
	p := t.pool.Worker(w.info.ID)
	if p == nil {
		return
	}
	closed := !w.listed || w.info.Draining || !w.answered || w.unreachable || !w.rowStored ||
		w.listedInOtherIncarnation() || t.outOfService[w.info.Domain]
	if closed != p.Closed {
		p.Closed = closed
		t.pacer.changed = true
	}
}

// applyOutOfService closes the workers of failure domains that are out of service.
func (t *term) applyOutOfService() {
	outOfService := t.Queues.OutOfService()
	if maps.Equal(outOfService, t.outOfService) {
		return
	}
	t.outOfService = outOfService
	for _, w := range t.workers {
		t.updateClosed(w)
	}
}

// applyUnlisted records that a worker has left the list. The worker may continue
// to run for a while, so its runs stay until their leases have expired.
func (t *term) applyUnlisted(id pool.WorkerID, version int64) {
	w, ok := t.workers[id]
	if !ok || !w.listed {
		return
	}
	w.version = version
	w.listed = false
	t.Log.Write(event.WorkerUnlisted, "worker", string(id), "runs", len(w.members))
	t.updateClosed(w)
	if w.idle() && w.answered {
		t.removeWorker(w, "unlisted")
	}
}

// removeWorker removes a worker on which nothing can run any more.
func (t *term) removeWorker(w *worker, reason string) {
	t.loseRuns(w, reason)
	t.endAllUnplaced(w)
	w.stop()
	t.resolveWorker(w)
	delete(t.workers, w.info.ID)
	// The worker may be listed again, in the same incarnation or in another.
	t.nextToken[w.info.ID] = w.agent.NextToken()
	t.pool.Remove(w.info.ID)
	t.pending.removed = append(t.pending.removed, w.info.ID)
	t.requestCommit()
}

// loseRuns ends all runs on a worker as lost.
func (t *term) loseRuns(w *worker, reason string) {
	for _, m := range w.members {
		t.logLost(w, m, reason)
		t.endMember(m, graph.Lost, "")
	}
}

// logLost logs that a run is given up, with the facts behind the decision: the time
// from the worker's confirmation of the start to the request of its last report,
// the generations of the start and of the last report, and the counts of that
// report.
func (t *term) logLost(w *worker, m *member, reason string) {
	askedAfter := "unconfirmed"
	switch {
	case w.lastReport.requestedAt.IsZero():
		askedAfter = "no report"
	case !m.confirmedAt.IsZero():
		askedAfter = w.lastReport.requestedAt.Sub(m.confirmedAt).String()
	}
	t.Log.Write(event.TaskLost, "task", m.task.String(), "run", m.placement.run,
		"worker", string(w.info.ID), "reason", reason,
		"askedAfter", askedAfter, "sent", m.startSent, "orderLife", m.generation, "workerLife", w.generation,
		"running", w.lastReport.running, "ended", w.lastReport.ended, "silent", w.unreachable, "listed", w.listed)
}

// resolveWorker records that the runs of earlier terms on a worker are known.
func (t *term) resolveWorker(w *worker) {
	if !w.unresolved {
		return
	}
	w.unresolved = false
	t.unresolvedWorkers--
	if t.unresolvedWorkers == 0 {
		t.Log.Write(event.StateRead, "jobs", len(t.jobs), "workers", len(t.workers), "runs", len(t.members),
			"age", time.Since(t.startedAt).String())
	}
}

// quarantine excludes a worker from new tasks for a while, which grows each time.
func (t *term) quarantine(w *worker, now time.Time, reason string) {
	p := t.pool.Worker(w.info.ID)
	if p == nil || now.Before(p.QuarantinedUntil) && !w.suspected {
		return
	}
	duration := min(minQuarantine<<min(w.quarantines, 4), maxQuarantine)
	w.quarantines++
	// After the quarantine, a single failure starts the next one.
	w.failures = quarantineAfter - 1
	w.suspected = false
	t.exclude(w, p, now.Add(duration), reason)
}

// suspect excludes a worker, which may be sound, from new tasks for a short time.
func (t *term) suspect(w *worker, now time.Time) {
	p := t.pool.Worker(w.info.ID)
	if p == nil || now.Before(p.QuarantinedUntil) {
		return
	}
	w.suspected = true
	t.exclude(w, p, now.Add(suspicionQuarantine), quarantinedForStalls)
}

// exclude excludes a worker from new tasks until the given time.
func (t *term) exclude(w *worker, p *pool.Worker, until time.Time, reason string) {
	p.QuarantinedUntil, p.Stalled = until, reason == quarantinedForStalls
	t.Log.Write(event.WorkerBarred, "worker", string(w.info.ID), "reason", reason, "for", time.Until(until).String())
}

// forgetFailures ends the quarantine of a worker that has restarted: the failures and
// stalls were those of a former incarnation.
func (t *term) forgetFailures(w *worker) {
	w.resetFailures()
	w.suspected = false
	if p := t.pool.Worker(w.info.ID); p != nil && !p.QuarantinedUntil.IsZero() {
		p.QuarantinedUntil, p.Stalled = time.Time{}, false
		t.pacer.changed = true
	}
}

// resetFailures resets the counts after a successful run.
func (w *worker) resetFailures() { w.failures, w.quarantines, w.stalledJobs = 0, 0, nil }

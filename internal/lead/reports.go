package lead

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/ledger"
)

const (
	// recheckShare is the share of its stall limit that a task is without progress
	// before its worker is asked again soon.
	recheckShare = 3
	// fullPercent is the progress of a task that is about to end. It does not
	// count as stalled.
	fullPercent = 100
)

// applyAgent applies an event from a worker's agent. Events from agents of removed
// workers are ignored.
func (t *term) applyAgent(e agent.Event) error {
	w, ok := t.workers[e.Agent.Target.ID]
	if !ok || w.agent != e.Agent {
		return nil
	}
	switch e.Kind {
	case agent.Reported:
		t.steps.noteReport()
		t.applyReport(w, e)
	case agent.Started:
		if m := t.memberOf(w, e.Order); m != nil {
			m.confirmedAt = e.At
			t.markBegun(m.placement, e.At)
		}
	case agent.Refused:
		return t.applyRefusal(w, e)
	case agent.Dropped:
		t.applyDropped(w, e)
	case agent.Silent:
		if !w.unreachable {
			w.unreachable = true
			t.Log.Write(event.WorkerSilent, "worker", string(w.info.ID), "runs", len(w.members), "reason", e.Reason)
			t.updateClosed(w)
		}
	case agent.Gone:
		t.applyGone(w, e)
	}
	return nil
}

// applyGeneration records the generation in which a worker reports. A restart shows in
// the first report of a later generation.
func (t *term) applyGeneration(w *worker, e agent.Event) {
	later := e.Generation > w.generation
	if later || w.fencedIncarnation.IsZero() {
		restarted := !w.fencedIncarnation.IsZero() && !e.Report.IncarnationStart.Equal(w.fencedIncarnation)
		w.generation, w.fencedIncarnation = e.Generation, e.Report.IncarnationStart
		if restarted {
			t.forgetFailures(w)
			t.Log.Write(event.WorkerReborn, "worker", string(w.info.ID), "runs", len(w.members), "running", len(e.Report.Running))
		}
	}
}

// memberOf returns the member for which an order was sent, or nil if it has ended.
func (t *term) memberOf(w *worker, o agent.Order) *member {
	m := w.members[o.Task]
	if m == nil || m.placement.run != o.Run {
		return nil
	}
	return m
}

// applyRefusal applies a worker's refusal of a start. It returns an error if the
// worker has accepted the fencing token of a later leader.
func (t *term) applyRefusal(w *worker, e agent.Event) error {
	t.Log.Write(event.TaskRefused, "task", e.Order.Task.String(), "run", e.Order.Run, "worker", string(w.info.ID),
		"reason", e.Reason, "tries", e.Tries, "unanswered", e.Unanswered)
	if e.Deposed {
		return fmt.Errorf("worker %s has seen a higher epoch: %w", w.info.ID, ledger.ErrDeposed)
	}
	m := t.memberOf(w, e.Order)
	if m == nil {
		return nil
	}
	t.countRefusal(m, e.Reason)
	t.endMember(m, graph.Lost, "")
	return nil
}

// countRefusal makes the step avoid the worker. It also counts the refusal as a
// failure of the worker, unless the worker refused the start as old or late.
func (t *term) countRefusal(m *member, reason string) {
	t.avoidForStep(m.placement, m.worker)
	if reason != agent.RefusedOld && reason != agent.RefusedLate {
		t.countFailure(m.worker, time.Now())
	}
}

// applyDropped applies that the agent has given up a start and stopped the run. A
// worker that has refused one try may have carried out an earlier one, so the
// member stays until the next report.
func (t *term) applyDropped(w *worker, e agent.Event) {
	m := t.memberOf(w, e.Order)
	if m == nil {
		return
	}
	m.confirmedAt = e.At
	if e.Reason != "" {
		t.Log.Write(event.TaskRefused, "task", e.Order.Task.String(), "run", e.Order.Run, "worker", string(w.info.ID),
			"reason", e.Reason)
		t.countRefusal(m, e.Reason)
	}
}

// applyGone ends the runs of an unreachable worker whose leases have expired, except
// for those of a later generation of starts.
func (t *term) applyGone(w *worker, e agent.Event) {
	if len(w.members) > 0 || w.unresolved {
		t.Log.Write(event.WorkerGone, "worker", string(w.info.ID), "runs", len(w.members), "reason", e.Reason)
	}
	for _, m := range w.members {
		if m.startSent && m.generation > e.Generation {
			continue
		}
		t.logLost(w, m, "leases ended")
		t.endMember(m, graph.Lost, "")
	}
	w.unreachable = true
	t.updateClosed(w)
	t.endAllUnplaced(w)
	t.resolveWorker(w)
	if !w.listed && w.idle() {
		t.removeWorker(w, "gone")
	}
}

// applyReport compares the runs that a worker lists with those placed there.
func (t *term) applyReport(w *worker, e agent.Event) {
	if w.unreachable {
		t.Log.Write(event.WorkerBack, "worker", string(w.info.ID))
	}
	w.answered, w.unreachable, w.incarnationStart = true, false, e.Report.IncarnationStart
	w.lastReport = reportSummary{e.RequestedAt, len(e.Report.Running), len(e.Report.Ended)}
	running := make(map[runKey]bool, len(e.Report.Running))
	for _, r := range e.Report.Running {
		running[runKey{r.Task, r.Run}] = true
	}
	t.applyEnds(w, e.Report)
	recheck := false
	for _, r := range e.Report.Running {
		recheck = t.applyRunning(w, r, e.At) || recheck
	}
	w.agent.SetInDoubt(recheck)
	t.applyGeneration(w, e)
	if !e.Report.Partial {
		t.endMissing(w, running, e.RequestedAt)
		t.endMissingUnplaced(w, running, e.RequestedAt)
		t.resolveWorker(w)
	}
	t.updateClosed(w)
	if !e.Report.Partial && !w.listed && w.idle() && !w.unresolved && t.listRead {
		t.removeWorker(w, "unlisted")
	}
}

// applyEnds applies the ends that a report lists and queues their acknowledgement.
func (t *term) applyEnds(w *worker, r agent.Report) {
	if !r.IncarnationStart.Equal(w.lastEndIncarnationStart) {
		w.lastEndIncarnationStart, w.lastEndNumber = r.IncarnationStart, 0
	}
	last, newEnds := int64(0), 0
	for _, end := range r.Ended {
		last = max(last, end.Number)
		if end.Number > w.lastEndNumber {
			newEnds++
		}
		t.endUnplaced(w, runKey{end.Task, end.Run})
		m := w.members[end.Task]
		switch {
		case m != nil && m.placement.run == end.Run:
			m.endNumber = end.Number
			t.markBegun(m.placement, time.Now())
			t.endMember(m, end.Outcome, end.Saved)
		default:
			t.applyUnmatchedEnd(end)
		}
	}
	if last > 0 {
		w.lastEndNumber = max(w.lastEndNumber, last)
		t.pending.acks = append(t.pending.acks, ack{w, r.IncarnationStart, last, newEnds})
		t.requestCommit()
	}
}

// applyUnmatchedEnd applies the end of a run that is not placed in this term: the
// run is from an earlier term, or its end was applied before and is listed again.
func (t *term) applyUnmatchedEnd(end agent.RunEnd) {
	j, ok := t.jobs[end.Task.Job]
	if !ok {
		return
	}
	t.openDue(j, time.Now())
	j.progress.Begun = true
	if m := t.members[end.Task]; m != nil && end.Outcome == graph.Done {
		// The run was given up as lost, but its task was done.
		t.stopPlacement(m.placement, "task already done")
	}
	if j.progress.End(end.Task, end.Run, end.Outcome, end.Saved) {
		t.markDirty(j)
		t.Log.Write(event.TaskEnded, "task", end.Task.String(), "run", end.Run, "how", string(end.Outcome),
			"number", end.Number, "earlier", true)
		t.openDue(j, time.Now())
	}
	t.finishJob(j)
	t.publishStatus(j)
}

// applyRunning records the progress of a run, or stops a run that is not placed. It
// reports whether the run may soon count as stalled.
func (t *term) applyRunning(w *worker, r agent.Run, now time.Time) bool {
	m := w.members[r.Task]
	if m != nil && m.placement.run == r.Run {
		if m.recordPercent(r.Percent, now) {
			t.clearStalls(w, now)
		}
		if r.Saved != "" && r.Saved != m.placement.job.progress.Saved(r.Task) {
			m.placement.job.progress.Save(r.Task, r.Saved)
		}
		if m.confirmedAt.IsZero() {
			m.confirmedAt = now
		}
		t.markBegun(m.placement, now)
		return m.idle() > m.stallLimit()/recheckShare
	}
	// A newer placement of the task may wait for what the run uses, so that its start cannot
	// be relied on to end the run.
	t.addUnplaced(w, r.Task, r.Run, now)
	t.Log.Write(event.RunUnknown, "task", r.Task.String(), "run", r.Run, "worker", string(w.info.ID))
	w.agent.Stop(t.ctx, agent.Order{Task: r.Task, Run: r.Run})
	return false
}

// endMissing ends members that the report has to list and does not: the report was
// requested after the worker had confirmed the start, or in a later generation, in
// which the worker does not carry out the start any more.
func (t *term) endMissing(w *worker, running map[runKey]bool, requestedAt time.Time) {
	for id, m := range w.members {
		expected := !m.confirmedAt.IsZero() && m.confirmedAt.Before(requestedAt)
		if !m.startSent || !expected && m.generation >= w.generation {
			continue
		}
		if running[runKey{id, m.placement.run}] {
			continue
		}
		t.logLost(w, m, "not listed")
		t.endMember(m, graph.Lost, "")
	}
}

package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/share"
)

// The usage of a workspace counts whatever may be running: placements, and runs that
// are not placed in this term. Starts are sent later than they are decided, so that the
// cap is checked again with the configuration that is in force then.

type (
	// runKey identifies a run.
	runKey struct {
		task graph.TaskID
		run  int64
	}

	// unplacedRun is a run that may be under way on a worker and that this term has not
	// placed.
	unplacedRun struct {
		workspace string
		demand    graph.Demand
		// footprint is what it occupies on its worker.
		footprint graph.Demand
		// seenAt is the time at which it became known. It has ended if a later full
		// report does not list it.
		seenAt time.Time
	}
)

// usageOf returns the usage of the workspace of a placement.
func (t *term) usageOf(p *placement) *share.Usage { return t.usage.Usage(p.job.progress.Job.Workspace) }

// limits returns the weights and caps in force at this instance.
func (t *term) limits() map[string]share.Limit {
	if c := t.Queues.Current(); c != nil {
		return c.Limits()
	}
	return nil
}

// releaseUsage takes a member that has ended out of the usage of its workspace.
func (t *term) releaseUsage(m *member) {
	u, demand := t.usageOf(m.placement), m.placement.Unit.Spec().Demand
	switch {
	case !m.startSent:
		u.Reserved = u.Reserved.Minus(demand)
		return
	case m.placement.Stopping:
		u.Stopping = u.Stopping.Minus(demand)
	}
	u.Occupied = u.Occupied.Minus(demand)
}

// addUnplaced counts a run that this term has not placed, as far as its job is known, in
// the usage of its workspace and on its worker. The worker is called until a full report
// shows that the run has ended.
func (t *term) addUnplaced(w *worker, id graph.TaskID, run int64, now time.Time) {
	j, key := t.jobs[id.Job], runKey{id, run}
	if j == nil || id.Step < 0 || id.Step >= len(j.progress.Job.Steps) {
		return
	}
	if _, known := w.unplaced[key]; known {
		return
	}
	if w.unplaced == nil {
		w.unplaced = make(map[runKey]unplacedRun)
	}
	step := &j.progress.Job.Steps[id.Step]
	r := unplacedRun{j.progress.Job.Workspace, step.Demand, step.Footprint(), now}
	w.unplaced[key] = r
	t.countUnplaced(w, &r, 1)
	w.updateExpectedRuns()
}

// countUnplaced counts a run that is not placed, or if sign is negative, its end.
func (t *term) countUnplaced(w *worker, r *unplacedRun, sign int) {
	u, demand := t.usage.Usage(r.workspace), r.demand.Times(sign)
	u.Occupied, u.Stopping = u.Occupied.Plus(demand), u.Stopping.Plus(demand)
	entry, footprint := t.pool.Worker(w.info.ID), r.footprint.Times(sign)
	entry.Occupied, entry.Stopping = entry.Occupied.Plus(footprint), entry.Stopping.Plus(footprint)
}

// addMismatchedRun counts the tasks of a stored run that cannot be taken over.
func (t *term) addMismatchedRun(stored *graph.RunPlacement, tasks []graph.TaskID) {
	for i, id := range tasks[:min(len(tasks), len(stored.Workers))] {
		if w := t.workers[pool.WorkerID(stored.Workers[i])]; w != nil {
			t.addUnplaced(w, id, stored.Run, t.startedAt)
		}
	}
}

// endUnplaced records the end of a run, if it was not placed.
func (t *term) endUnplaced(w *worker, key runKey) {
	r, known := w.unplaced[key]
	if !known {
		return
	}
	delete(w.unplaced, key)
	t.countUnplaced(w, &r, -1)
	t.pacer.changed = true
	w.updateExpectedRuns()
}

// endMissingUnplaced records the end of the runs that are not placed and that a full report
// does not list.
func (t *term) endMissingUnplaced(w *worker, running map[runKey]bool, requestedAt time.Time) {
	for key, r := range w.unplaced {
		if !running[key] && !r.seenAt.After(requestedAt) {
			t.endUnplaced(w, key)
		}
	}
}

// endAllUnplaced records the end of all runs of a worker that are not placed, since nothing
// runs there any more.
func (t *term) endAllUnplaced(w *worker) {
	for key := range w.unplaced {
		t.endUnplaced(w, key)
	}
}

// idle reports whether no run is known that may be under way on the worker.
func (w *worker) idle() bool { return len(w.members) == 0 && len(w.unplaced) == 0 }

// updateExpectedRuns tells the agent how many runs the worker may have.
func (w *worker) updateExpectedRuns() { w.agent.SetExpectedRuns(len(w.members) + len(w.unplaced)) }

// withdrawOverCap stops unstarted placements of workspaces that exceed their cap, since
// the cap was lowered or runs have appeared after the decision: the least urgent ones
// first, then those placed last. What stops already does not count: a placement on its
// capacity waits for its end.
func (t *term) withdrawOverCap(limits map[string]share.Limit) {
	if len(limits) == 0 {
		return
	}
	over := func(p *placement) bool {
		workspace := p.job.progress.Job.Workspace
		return !limits[workspace].Fits(t.usage.Usage(workspace).Soon())
	}
	var list []*placement
	for p := range t.unstarted {
		if over(p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(b.job.progress.Job.Priority, a.job.progress.Job.Priority), b.placedAt.Compare(a.placedAt),
			cmp.Compare(b.job.progress.Job.ID, a.job.progress.Job.ID), cmp.Compare(b.run, a.run))
	})
	for _, p := range list {
		if over(p) {
			t.stopPlacement(p, "cap")
		}
	}
}

// capPermits reports whether the tasks of p may start beside whatever may be running of
// its workspace.
func (t *term) capPermits(p *placement, limits map[string]share.Limit) bool {
	workspace := p.job.progress.Job.Workspace
	limit, ok := limits[workspace]
	return !ok || limit.Fits(t.usage.Usage(workspace).Occupied.Plus(p.Unit.Spec().Demand.Times(p.remaining)))
}

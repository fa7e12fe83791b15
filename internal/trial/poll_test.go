package trial

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/accept"
	"github.com/baobabquay/baobabquay/internal/elect"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/lead"
)

type (
	// finalPhase is the first final phase of a job that a caller was shown, and
	// when.
	finalPhase struct {
		phase graph.Phase
		at    time.Time
		// contradicted reports whether a later answer had another phase.
		contradicted bool
	}

	// phaseQuery is a query for the phase of a job.
	phaseQuery struct {
		at time.Time
		// upToDate reports whether the instance knew of the latest term. An
		// instance that was frozen shows the last phases that it knew until it
		// learns of the next term and has ended its own.
		upToDate bool
	}

	// pollKey marks the context of calls made for polling, into which no faults
	// are injected.
	pollKey struct{}
)

const (
	// pollInterval is the time between two queries for the phases of all jobs,
	// a fraction of the shortest task and of the shortest outage.
	pollInterval = 50 * time.Millisecond
	// pollTimeout bounds one query, like the time-out of a caller.
	pollTimeout = 500 * time.Millisecond
)

// startPolling starts to query all instances for the phases of all jobs, both as
// callers and as other instances do.
func (h *harness) startPolling() {
	for _, inst := range h.instances {
		go func() {
			previous := int64(0)
			for h.ctx.Err() == nil {
				epoch := inst.current().elector.Leader().Epoch
				h.pollInstance(inst, min(previous, epoch))
				previous = epoch
				select {
				case <-h.ctx.Done():
				case <-time.After(pollInterval):
				}
			}
		}()
	}
}

// pollInstance queries an instance for the phases of all jobs unless it is frozen.
// The instance has known of the given epoch since the poll before.
func (h *harness) pollInstance(inst *instance, epoch int64) {
	current := inst.current()
	h.mu.Lock()
	ids := slices.Collect(maps.Keys(h.jobs))
	h.mu.Unlock()
	for _, id := range ids {
		if current.link.isFrozen() {
			return
		}
		query := phaseQuery{at: time.Now(), upToDate: h.isLatestEpoch(epoch)}
		if s, ok := current.scheduler.Status(id); ok {
			h.recordPhase(inst, id, s.Phase, query)
		}
		ctx, cancel := context.WithTimeout(context.WithValue(h.ctx, pollKey{}, true), pollTimeout)
		a := current.leaderService.State(ctx, accept.Call{Host: "h", Path: "/normal/" + string(id), Key: "kn"})
		cancel()
		if current.link.isFrozen() {
			return
		}
		switch a.Outcome {
		case accept.Shown:
			if a.Phase == graph.Pending && h.table.Faults.Stale() {
				// Without an answer of the leader, the instance derives the phase
				// from the rows, and reads of these are stale.
				continue
			}
			h.recordPhase(inst, id, a.Phase, query)
		case accept.NoJob:
			h.recordPhase(inst, id, "", query)
		}
	}
}

// isLatestEpoch reports whether no instance knows of a later epoch.
func (h *harness) isLatestEpoch(epoch int64) bool {
	return !slices.ContainsFunc(h.instances, func(inst *instance) bool { return inst.current().elector.Leader().Epoch > epoch })
}

// recordPhase records the first final phase of a job, and compares the answers to
// later queries with it. An empty phase means that there is no such job.
func (h *harness) recordPhase(inst *instance, id graph.ID, phase graph.Phase, query phaseQuery) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first, ok := h.finalPhases[id]
	switch {
	case !ok && (phase == graph.Completed || phase == graph.FailedJob):
		h.finalPhases[id] = finalPhase{phase: phase, at: time.Now()}
	case ok && query.upToDate && query.at.After(first.at) && phase != first.phase && !first.contradicted:
		first.contradicted = true
		h.finalPhases[id] = first
		h.breach("MIXED %s is %q at %s after it was shown as %s", id, phase, inst.name, first.phase)
	}
}

// checkFinalPhase guards against runs that start after a caller was shown that the
// job is completed.
func (h *harness) checkFinalPhase(runs []fakes.TaskRun) {
	for _, r := range runs {
		if final, ok := h.finalPhases[r.Task.Job]; ok && final.phase == graph.Completed && r.Begun.After(final.at) {
			h.breach("TWICE %s run %d begins %v after the job was shown as completed", r.Task, r.Run, r.Begun.Sub(final.at))
		}
	}
}

// leaderPhase returns the function with which an instance looks up the phase of a
// job: in its own scheduler if it leads, or else at the leader that it knows.
func (h *harness) leaderPhase(own *lead.Scheduler, e *elect.Elector) func(context.Context, graph.ID) (graph.Phase, bool) {
	return func(_ context.Context, id graph.ID) (graph.Phase, bool) {
		if s, ok := own.Status(id); ok {
			return s.Phase, true
		}
		leader := e.Leader()
		for _, inst := range h.instances {
			if current := inst.current(); leader.Epoch > 0 && inst.peer() == leader.Peer && !current.link.isFrozen() {
				s, ok := current.scheduler.Status(id)
				return s.Phase, ok
			}
		}
		return "", false
	}
}

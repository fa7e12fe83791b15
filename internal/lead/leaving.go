package lead

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/drain"
	"github.com/baobabquay/baobabquay/internal/event"
)

// runsMoved counts the placements that were stopped because a worker is about to leave.
var runsMoved = metrics.NewCounter("baobabquay_placements_moved_total")

// noteDraining records how long a draining worker stays, and asks it for the progress of
// its runs.
func (t *term) noteDraining(w *worker, now time.Time) {
	if !t.DrainRuns || !w.info.Draining || w.info.Remaining <= 0 {
		delete(t.leaving, w)
		return
	}
	if t.leaving == nil {
		t.leaving = make(map[*worker]time.Time)
	}
	t.leaving[w] = now.Add(w.info.Remaining)
	if len(w.members) > 0 {
		w.agent.RequestReport()
	}
}

// moveOffLeaving stops the placements that would be lost with a leaving worker, so that
// they are placed elsewhere.
func (t *term) moveOffLeaving(now time.Time) {
	for w, at := range t.leaving {
		if t.workers[w.info.ID] != w {
			delete(t.leaving, w)
			continue
		}
		for _, m := range w.members {
			t.moveOff(m, at.Sub(now), now)
		}
	}
}

// moveOff stops the placement of m if it would be lost with the worker of m, which stays
// for the given time.
func (t *term) moveOff(m *member, stays time.Duration, now time.Time) {
	p := m.placement
	if p.Stopping || p.Since.IsZero() {
		return
	}
	run := p.drainRun(now)
	if !drain.Move(run, stays) {
		return
	}
	t.Log.Write(event.RunMoved, "task", m.task.String(), "run", p.run, "worker", string(m.worker.info.ID),
		"stays", stays.String(), "remaining", run.Remaining().String(), "percent", run.Percent)
	runsMoved.Inc()
	t.stopPlacement(p, "leaving")
}

// drainRun returns the state of a placement that decides whether it leaves a draining
// worker: that of the member with the least progress.
func (p *placement) drainRun(now time.Time) drain.Run {
	step := p.Unit.Spec()
	run := drain.Run{Elapsed: now.Sub(p.Since), Expected: step.Estimate, Checkpoints: step.Checkpoints, Endless: step.LongRunning}
	var slowest *member
	for _, m := range p.members {
		if !m.ended && (slowest == nil || m.percent < slowest.percent) {
			slowest = m
		}
	}
	if slowest == nil {
		return run
	}
	run.Percent, run.Age = slowest.percent, now.Sub(slowest.progressedAt)
	if gained := slowest.percent - slowest.firstPercent; gained > 0 {
		run.PerPercent = slowest.progressedAt.Sub(slowest.firstListedAt) / time.Duration(gained)
	}
	return run
}

package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// span is the time for which an attempt ran on one worker.
type span struct {
	worker   ident.Worker
	attempt  worker.Attempt
	from, to time.Time
}

// spans returns when attempts ran, from the logs of the workers.
func (g *rig) spans() []span {
	var all []span
	for _, w := range g.workers {
		id := w.Machine.Spec().ID
		// A machine notes the end of a lease when it is called.
		w.Machine.Report(time.Now())
		open := make(map[worker.Attempt]int)
		for _, e := range w.Log() {
			i, isOpen := open[e.Attempt]
			switch {
			case e.Event == worker.EventStarted:
				open[e.Attempt] = len(all)
				all = append(all, span{id, e.Attempt, e.At, time.Now()})
			case isOpen:
				all[i].to = e.At
				delete(open, e.Attempt)
			}
		}
	}
	return all
}

// assertNoOverlap checks that no two attempts of a job ran at the same time.
func (g *rig) assertNoOverlap() {
	g.t.Helper()
	all := g.spans()
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.attempt.Job != b.attempt.Job || a.attempt.Number == b.attempt.Number {
				continue
			}
			overlap := a.from.Before(b.to) && b.from.Before(a.to)
			assert.Assert(g.t, !overlap, "%v ran on %s until %v, %v on %s from %v",
				a.attempt, a.worker, a.to.Sub(g.begin), b.attempt, b.worker, b.from.Sub(g.begin))
		}
	}
}

// loseTask ends an attempt on a worker without the owner's doing.
func (g *rig) loseTask(i int, j jobs.Job) {
	w := g.workers[i]
	now := time.Now()
	assert.NilError(g.t, w.Machine.Stop(worker.Stop{
		Header:   worker.Header{Epoch: w.Machine.Report(now).Epoch},
		Attempts: []worker.Attempt{{Workspace: j.Workspace, Job: j.ID, Number: 1}},
	}, now))
}

// TestOverlap takes gangs down while one of their workers does not answer. Each
// case guards against a next attempt that starts while a task of the last one
// can still run under its lease.
func TestOverlap(t *testing.T) {
	tests := []struct {
		name string
		run  func(g *rig, j jobs.Job)
	}{
		{"silentAndGone", func(g *rig, j jobs.Job) {
			// One worker is cut off, another loses its task.
			g.workers[0].Faults.Set(fakes.Fault{Kind: fakes.Down})
			time.Sleep(100 * time.Millisecond)
			g.loseTask(1, j)
		}},
		{"renewedUnheard", func(g *rig, _ jobs.Job) {
			// Renewals still arrive for a while after the last answer.
			g.workers[0].Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: 450 * time.Millisecond})
			time.Sleep(3 * time.Second)
			g.workers[0].Faults.Set(fakes.Fault{Kind: fakes.Down})
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newRig(t, 4)
				g.start("i1", 0)
				j := g.submit("a", 3, `{"runFor":"30s","result":"proof"}`)
				time.Sleep(5 * time.Second)
				tc.run(g, j)
				j = g.wait(j.ID, 90*time.Second)
				g.assertNoOverlap()
				golden.Assert(t, g.history(j), "overlap-"+tc.name+".golden")
			})
		})
	}
}

// TestSavedSurvives guards against progress that was saved and is forgotten
// because a stopped or lost task is no longer reported when the record is written.
func TestSavedSurvives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, 4)
		g.start("i1", 0)
		j := g.submit("a", 3, `{"runFor":"60s","result":"proof"}`)
		time.Sleep(30 * time.Second)
		for _, w := range g.workers[:3] {
			assert.NilError(t, w.Machine.Checkpoint(worker.Checkpoint{
				Header:  worker.Header{Epoch: 1},
				Attempt: worker.Attempt{Workspace: workspace, Job: j.ID, Number: 1},
			}, time.Now()))
		}
		time.Sleep(3 * time.Second)
		g.workers[0].Faults.Set(fakes.Fault{Kind: fakes.Down})
		g.loseTask(1, j)
		j = g.wait(j.ID, 120*time.Second)
		assert.Assert(t, j.Saved > 25*time.Second, "saved %v", j.Saved)
	})
}

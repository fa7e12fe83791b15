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

// runInterval is the time during which an attempt ran on one worker.
type runInterval struct {
	worker   ident.Worker
	attempt  worker.Attempt
	from, to time.Time
}

// runIntervals returns the run intervals of all attempts from the logs of the
// workers. The interval of an attempt that still runs ends at the current time.
func (f *fixture) runIntervals() []runInterval {
	var intervals []runInterval
	for _, w := range f.workers {
		id := w.Simulator.Spec().ID
		// A Simulator logs the expiry of a lease only at the next call.
		w.Simulator.Report(time.Now())
		running := make(map[worker.Attempt]int)
		for _, e := range w.Log() {
			i, isRunning := running[e.Attempt]
			switch {
			case e.Event == worker.EventStarted:
				running[e.Attempt] = len(intervals)
				intervals = append(intervals, runInterval{id, e.Attempt, e.At, time.Now()})
			case isRunning:
				intervals[i].to = e.At
				delete(running, e.Attempt)
			}
		}
	}
	return intervals
}

// assertNoOverlap checks that no two attempts of a job ran at the same time.
func (f *fixture) assertNoOverlap() {
	f.t.Helper()
	intervals := f.runIntervals()
	for i, a := range intervals {
		for _, b := range intervals[i+1:] {
			if a.attempt.Job != b.attempt.Job || a.attempt.Number == b.attempt.Number {
				continue
			}
			overlap := a.from.Before(b.to) && b.from.Before(a.to)
			assert.Assert(f.t, !overlap, "%v ran on %s until %v, %v on %s from %v",
				a.attempt, a.worker, a.to.Sub(f.startedAt), b.attempt, b.worker, b.from.Sub(f.startedAt))
		}
	}
}

// stopTask ends the first attempt of a job on a worker without a call from the
// owner.
func (f *fixture) stopTask(i int, j jobs.Job) {
	w := f.workers[i]
	now := time.Now()
	assert.NilError(f.t, w.Simulator.Stop(worker.Stop{
		Header:   worker.Header{Epoch: w.Simulator.Report(now).Epoch},
		Attempts: []worker.Attempt{{Workspace: j.Workspace, Job: j.ID, Number: 1}},
	}, now))
}

// TestOverlap guards against two attempts of a job that run at the same time. The
// owner takes a gang down while one of its workers does not answer. It must not
// start the next attempt while a task of the last one may still run under its
// lease.
func TestOverlap(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *fixture, j jobs.Job)
	}{
		{"unreachableAndTaskLost", func(f *fixture, j jobs.Job) {
			// One worker becomes unreachable and another one loses its task.
			f.workers[0].Faults.Set(fakes.Fault{Kind: fakes.Down})
			time.Sleep(100 * time.Millisecond)
			f.stopTask(1, j)
		}},
		{"renewedWithoutAnswer", func(f *fixture, _ jobs.Job) {
			// For a while after the last answer, renewals still reach the
			// worker, but its answers take longer than the call timeout.
			f.workers[0].Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: 450 * time.Millisecond})
			time.Sleep(3 * time.Second)
			f.workers[0].Faults.Set(fakes.Fault{Kind: fakes.Down})
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 4)
				f.startInstance("i1", 0)
				j := f.submitJob("a", 3, `{"runFor":"30s","result":"proof"}`)
				time.Sleep(5 * time.Second)
				tc.run(f, j)
				j = f.waitForJob(j.ID, 90*time.Second)
				f.assertNoOverlap()
				golden.Assert(t, f.history(j), "overlap-"+tc.name+".golden")
			})
		})
	}
}

// TestSavedProgressKept guards against the loss of saved progress. A stopped or lost
// task is no longer reported when the job record is written, so the owner must
// keep the saved progress from earlier reports.
func TestSavedProgressKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		f.startInstance("i1", 0)
		j := f.submitJob("a", 3, `{"runFor":"60s","result":"proof"}`)
		time.Sleep(30 * time.Second)
		for _, w := range f.workers[:3] {
			assert.NilError(t, w.Simulator.Checkpoint(worker.Checkpoint{
				Header:  worker.Header{Epoch: 1},
				Attempt: worker.Attempt{Workspace: workspace, Job: j.ID, Number: 1},
			}, time.Now()))
		}
		time.Sleep(3 * time.Second)
		f.workers[0].Faults.Set(fakes.Fault{Kind: fakes.Down})
		f.stopTask(1, j)
		j = f.waitForJob(j.ID, 120*time.Second)
		assert.Assert(t, j.Saved > 25*time.Second, "saved %v", j.Saved)
	})
}

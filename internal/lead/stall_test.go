package lead

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/plan"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/store"
	"gotest.tools/v3/assert"
)

// stallTerm is a term with workers w1 to w8, whose reports the test makes.
type stallTerm struct {
	*listTerm
	percents map[graph.ID]int
}

func newStallTerm(ctx context.Context, t *testing.T) *stallTerm {
	t.Helper()
	l := &stallTerm{newListTerm(ctx), make(map[graph.ID]int)}
	l.Calls.Stop = func(context.Context, agent.Target, agent.Order, int64) (agent.Answer, error) {
		return agent.Answer{}, nil
	}
	var changes store.Changes
	for i := 1; i <= 8; i++ {
		c := listChange(1, "10.0.0.1:80")
		c.Row.Key = fmt.Sprintf("list/w%d", i)
		changes.Rows = append(changes.Rows, c)
	}
	changes.Version = 1
	l.applyWorkers(workerChanges{changes, true})
	l.applyEvents(t)
	return l
}

// run places the only step of a job on workers, as if they had confirmed its starts.
func (l *stallTerm) run(id graph.ID, step graph.Step, workers ...pool.WorkerID) *placement {
	spec := &graph.Job{ID: id, MaxAttempts: 3, Steps: []graph.Step{step}}
	j := l.addJob(spec, graph.NewProgress(spec))
	var entries []*pool.Worker
	for _, w := range workers {
		entries = append(entries, l.pool.Worker(w))
	}
	l.place(time.Now(), plan.Start{Unit: j.progress.Ready()[0], Workers: entries})
	for p := range j.placements {
		delete(l.unstarted, p)
		p.Since = time.Now()
		for _, m := range p.members {
			m.startSent, m.confirmedAt, m.progressedAt = true, time.Now(), time.Now()
		}
		return p
	}
	return nil
}

// report has all workers report their runs each 100 ms for a time, in which the tasks
// of the given jobs advance by a percent each time, and stops what has stalled.
func (l *stallTerm) report(duration time.Duration, advancing ...graph.ID) {
	const interval = 100 * time.Millisecond
	for range duration / interval {
		time.Sleep(interval)
		for _, id := range advancing {
			l.percents[id]++
		}
		for _, w := range l.workers {
			r := agent.Report{IncarnationStart: time.Unix(100, 0)}
			for id, m := range w.members {
				r.Running = append(r.Running, agent.Run{Task: id, Run: m.placement.run, Percent: l.percents[id.Job]})
			}
			l.applyReport(w, agent.Event{Agent: w.agent, Report: r, RequestedAt: time.Now(), At: time.Now()})
		}
		l.stopStalled(time.Now())
	}
}

func (l *stallTerm) quarantined() string {
	ids := ""
	l.pool.Each(func(w *pool.Worker) {
		if time.Now().Before(w.QuarantinedUntil) {
			ids += " " + string(w.ID)
		}
	})
	return ids
}

// TestStandingWorker guards against a worker on which all tasks stand still that gets
// more tasks, and against others that get none because a gang with a member on that
// worker stands still, too.
func TestStandingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newStallTerm(ctx, t)
		task := graph.Step{Count: 1, Estimate: 8 * time.Second}
		first, second := l.run("first", task, "w1"), l.run("second", task, "w1")
		gang := l.run("gang", graph.Step{Count: 2, Gang: true, Estimate: 8 * time.Second}, "w1", "w2")
		sound := l.run("sound", task, "w2")
		l.report(2*time.Second, "sound")
		assert.Equal(t, l.quarantined(), " w1")
		assert.Assert(t, first.Stopping && second.Stopping && gang.Stopping && !sound.Stopping)
		assert.DeepEqual(t, gang.job.avoid[stepKey{}], map[pool.WorkerID]bool{"w1": true})
		cancel()
		l.goroutines.Wait()
	})
}

// TestStallOfOneJob guards against workers that get no tasks because tasks of a
// single job, or tasks that use only idle processors, make no progress there.
func TestStallOfOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newStallTerm(ctx, t)
		l.run("first", graph.Step{Count: 1}, "w1")
		l.run("backfill1", graph.Step{Count: 1, Backfill: true}, "w2")
		l.run("backfill2", graph.Step{Count: 1, Backfill: true}, "w2")
		l.report(2 * time.Second)
		assert.Equal(t, l.quarantined(), "")
		cancel()
		l.goroutines.Wait()
	})
}

// TestStallsEverywhere guards against tasks that are slower than estimated and have
// more than a quarter of the workers quarantined, and against a quarantine that goes
// on although a task on the worker makes progress.
func TestStallsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newStallTerm(ctx, t)
		for i := 1; i <= 8; i++ {
			for j := range 2 {
				l.run(graph.ID(fmt.Sprintf("job%d.%d", i, j)), graph.Step{Count: 1}, pool.WorkerID(fmt.Sprintf("w%d", i)))
			}
			l.run(graph.ID(fmt.Sprintf("lasting%d", i)), graph.Step{Count: 1, LongRunning: true}, pool.WorkerID(fmt.Sprintf("w%d", i)))
		}
		l.report(2 * time.Second)
		assert.Equal(t, len(l.quarantined()), 2*len(" w1"), "quarantined%s", l.quarantined())
		var lasting []graph.ID
		for i := 1; i <= 8; i++ {
			lasting = append(lasting, graph.ID(fmt.Sprintf("lasting%d", i)))
		}
		l.report(200*time.Millisecond, lasting...)
		assert.Equal(t, l.quarantined(), "")
		cancel()
		l.goroutines.Wait()
	})
}

// TestStallLimit guards against slow tasks that count as stalled, and against stalled
// ones of the users' sites that are found late.
func TestStallLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newStallTerm(ctx, t)
		limit := func(id graph.ID, estimate time.Duration) time.Duration {
			return l.run(id, graph.Step{Count: 1, Estimate: estimate}, "w1").members[0].stallLimit()
		}
		assert.Equal(t, limit("none", 0), minStallLimit)
		assert.Equal(t, limit("short", 8500*time.Millisecond), minStallLimit)
		assert.Equal(t, limit("long", time.Hour), 8*36*time.Second)
		assert.Equal(t, limit("longest", 1<<63-1), maxStallLimit)
		p := l.run("underestimated", graph.Step{Count: 1}, "w2")
		p.job.stalls[p.key()] = 2
		assert.Equal(t, p.members[0].stallLimit(), 4*minStallLimit)
		p.job.stalls[p.key()] = 1000
		assert.Equal(t, p.members[0].stallLimit(), minStallLimit<<maxStallDoublings)
		// Its pace of a percent in 2 s counts once it is known.
		slow := l.run("slow", graph.Step{Count: 1}, "w3")
		slow.job.stalls[slow.key()] = 1
		m := slow.members[0]
		m.recordPercent(50, time.Now())
		for range 3 {
			time.Sleep(2 * time.Second)
			m.recordPercent(m.percent+1, time.Now())
		}
		assert.Equal(t, m.stallLimit(), 2*8*2*time.Second)
		cancel()
		l.goroutines.Wait()
	})
}

package trial

import (
	"net/netip"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"gotest.tools/v3/assert"
)

type (
	// attributeChange is a change of the attributes of restartedWorker by its
	// restart.
	attributeChange struct {
		name   string
		change func(*listEntry)
		// Only the new attributes suit newJob, and only the former ones, or those of
		// other workers, suit formerJob.
		newJob, formerJob queuedStep
	}

	// queuedStep is the only step of a job, and the job's queue.
	queuedStep struct {
		queue string
		step  graph.Step
	}

	// restartMoment is what happens around the restart.
	restartMoment struct {
		name string
		// beforeCrash, whileDown and afterRestart may be nil.
		beforeCrash, whileDown, afterRestart func(*harness)
		// jobsWait reports whether the jobs are submitted while the worker is down.
		jobsWait bool
	}
)

const (
	restartedWorker pool.WorkerID = "w3"
	newJob          graph.ID      = "1111111111111111"
	formerJob       graph.ID      = "2222222222222222"
	busyJob         graph.ID      = "3333333333333333"

	// formerAccelerators is the capacity before the restart.
	formerAccelerators = workerAccelerators / 2

	restartTime = 2500 * time.Millisecond
	// maxWait is the time for which the platform lets a job wait beside idle workers.
	maxWait = 3 * time.Second
)

var (
	attributeChanges = []attributeChange{
		{
			"label", func(e *listEntry) { e.Labels = []string{"b", "r1"} },
			queuedStep{"normal", graph.Step{Count: 1, Demand: gpu(1), Label: "b"}},
			queuedStep{"normal", graph.Step{Count: 4, Demand: gpu(formerAccelerators), Label: "a"}},
		},
		{
			"labelOfGang", func(e *listEntry) { e.Labels = []string{"b", "r1"} },
			queuedStep{"urgent", graph.Step{Count: 2, Demand: gpu(2), Label: "b", Gang: true, SameRack: true}},
			queuedStep{"urgent", graph.Step{Count: 2, Demand: gpu(formerAccelerators), Label: "a", Gang: true, SameRack: true}},
		},
		{
			"rack", func(e *listEntry) { e.Rack, e.Labels = "r7", []string{"a", "r7"} },
			queuedStep{"normal", graph.Step{Count: 1, Demand: gpu(1), Label: "r7"}},
			queuedStep{"normal", graph.Step{Count: 2, Demand: gpu(formerAccelerators), Label: "r0"}},
		},
		{
			"service", func(e *listEntry) { e.Service = "audit" },
			queuedStep{"audit", graph.Step{Count: 1, Demand: gpu(1)}},
			queuedStep{"normal", graph.Step{Count: 4, Demand: gpu(formerAccelerators)}},
		},
		{
			"moreCapacity", func(e *listEntry) { e.Capacity = gpu(workerAccelerators) },
			queuedStep{"normal", graph.Step{Count: 1, Demand: gpu(workerAccelerators)}},
			queuedStep{"normal", graph.Step{Count: 1, Demand: gpu(1), Label: "r0"}},
		},
		{
			"lessCapacity", func(e *listEntry) { e.Capacity, e.Labels = gpu(1), []string{"b", "r1"} },
			queuedStep{"normal", graph.Step{Count: 1, Demand: gpu(1), Label: "b"}},
			queuedStep{"normal", graph.Step{Count: 3, Demand: gpu(formerAccelerators)}},
		},
	}

	restartMoments = []restartMoment{
		{name: "idle"},
		{name: "jobsWait", jobsWait: true},
		{name: "busy", beforeCrash: (*harness).occupyWorkers},
		{name: "busyJobsWait", beforeCrash: (*harness).occupyWorkers, jobsWait: true},
		{name: "leaderLostBefore", whileDown: (*harness).restartLeader},
		{name: "leaderLostAfter", afterRestart: (*harness).restartLeader},
		{name: "leaderLostJobsWait", whileDown: (*harness).restartLeader, jobsWait: true},
		{name: "unlisted", whileDown: func(h *harness) { h.unregisterWorker(restartedWorker) }},
		{name: "secondRestart", whileDown: func(h *harness) {
			h.bootAs(func(e *listEntry) { e.Labels = []string{"c", "r1"} })
			time.Sleep(time.Second)
			h.workers.Crash(restartedWorker)
		}},
	}
)

// entryOf returns the entry of a worker before the restart.
func entryOf(w pool.WorkerID) listEntry {
	rack := "r1"
	if w != restartedWorker {
		rack = "r0"
	}
	return listEntry{Attributes: pool.Attributes{
		Service: "render", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "d1", Rack: rack, Labels: []string{"a", rack},
		Capacity: gpu(formerAccelerators),
	}}
}

// listWorkersBeforeRestart lists w1, w2 and restartedWorker with their attributes
// before the restart, and waits for a leader.
func (h *harness) listWorkersBeforeRestart() {
	for _, w := range []pool.WorkerID{"w1", "w2", restartedWorker} {
		h.registerEntry(w, entryOf(w))
	}
	h.workers.Crash("w4")
	h.unregisterWorker("w4")
	time.Sleep(2 * time.Second)
}

// bootAs starts the crashed restartedWorker with changed attributes.
func (h *harness) bootAs(change func(*listEntry)) {
	h.workers.Boot(restartedWorker)
	e := entryOf(restartedWorker)
	change(&e)
	h.registerEntry(restartedWorker, e)
}

// occupyWorkers has tasks run on all workers.
func (h *harness) occupyWorkers() {
	h.submit(0, "normal", "ks", busyJob, graph.Step{Count: 6, Demand: gpu(2), Estimate: time.Second})
	time.Sleep(200 * time.Millisecond)
}

func (h *harness) restartLeader() {
	l := h.leader()
	l.kill()
	l.start()
}

// TestFormerAttributesUsed guards against a leader that goes by the attributes that a
// worker had before its restart, so that a job which only its new ones suit never
// starts, and others are started there that require the former ones.
func TestFormerAttributesUsed(t *testing.T) {
	for _, c := range attributeChanges {
		for _, m := range restartMoments {
			t.Run(c.name+"/"+m.name, func(t *testing.T) {
				runHarness(t, func(h *harness) { c.play(h, m) })
			})
		}
	}
}

func (c *attributeChange) play(h *harness, m restartMoment) {
	h.listWorkersBeforeRestart()
	call := func(f func(*harness)) {
		if f != nil {
			f(h)
		}
	}
	call(m.beforeCrash)
	h.workers.Crash(restartedWorker)
	call(m.whileDown)
	if m.jobsWait {
		c.submit(h)
	}
	time.Sleep(restartTime)
	restartedAt := time.Now()
	h.bootAs(c.change)
	call(m.afterRestart)
	startableAt := restartedAt
	if !m.jobsWait {
		time.Sleep(8 * time.Second)
		startableAt = time.Now()
		c.submit(h)
	}
	time.Sleep(30 * time.Second)
	c.check(h, restartedAt, startableAt)
}

func (c *attributeChange) submit(h *harness) {
	h.submit(1, c.newJob.queue, "ks", newJob, c.newJob.step)
	h.submit(2, c.formerJob.queue, "ks", formerJob, c.formerJob.step)
}

// check checks where and when the tasks of the jobs have run. newJob could start at
// startableAt.
func (c *attributeChange) check(h *harness, restartedAt, startableAt time.Time) {
	begun := false
	for _, r := range h.workers.Runs() {
		switch r.Task.Job {
		case newJob:
			assert.Equal(h.t, r.Worker, restartedWorker)
			assert.Assert(h.t, r.Begun.Sub(startableAt) < maxWait, "task %s begins after %v", r.Task, r.Begun.Sub(startableAt))
			begun = true
		case formerJob:
			assert.Assert(h.t, r.Worker != restartedWorker || r.Begun.Before(restartedAt), "task %s begins on the restarted worker", r.Task)
		}
	}
	assert.Assert(h.t, begun, "no task begins on the restarted worker")
	assert.Equal(h.t, h.phase(c.newJob.queue, "ks", newJob), "completed")
	assert.Equal(h.t, h.phase(c.formerJob.queue, "ks", formerJob), "completed")
	assert.DeepEqual(h.t, h.check(), []string(nil))
}

// TestPlacedOnFormerAttributes guards against a start on a worker that was chosen by
// the attributes that it had before its restart. The placement is stored only after
// the restart.
func TestPlacedOnFormerAttributes(t *testing.T) {
	for _, c := range attributeChanges {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				h.listWorkersBeforeRestart()
				h.setHook(func(_ *link, s step) fault {
					if s == stepCommit {
						return fault{delay: restartTime + 500*time.Millisecond}
					}
					return fault{}
				})
				c.submit(h)
				h.workers.Crash(restartedWorker)
				time.Sleep(restartTime)
				h.setHook(nil)
				restartedAt := time.Now()
				h.bootAs(c.change)
				time.Sleep(30 * time.Second)
				c.check(h, restartedAt, restartedAt)
			})
		})
	}
}

// TestFormerEntryUsed guards against a start on a worker that has restarted and whose
// entry is still the one from before, since the worker has not written it again.
func TestFormerEntryUsed(t *testing.T) {
	for _, c := range attributeChanges {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				h.listWorkersBeforeRestart()
				// The tasks of formerJob occupy the other workers beyond the restart.
				h.durations = map[graph.ID]time.Duration{formerJob: 6 * time.Second}
				c.submit(h)
				time.Sleep(200 * time.Millisecond)
				h.workers.Crash(restartedWorker)
				time.Sleep(restartTime)
				restartedAt := time.Now()
				h.workers.Boot(restartedWorker)
				time.Sleep(heartbeat)
				e := entryOf(restartedWorker)
				c.change(&e)
				h.registerEntry(restartedWorker, e)
				time.Sleep(30 * time.Second)
				c.check(h, restartedAt, restartedAt.Add(heartbeat))
			})
		})
	}
}

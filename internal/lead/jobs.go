package lead

import (
	"fmt"
	"maps"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/queues"
	"github.com/baobabquay/baobabquay/internal/store"
)

// jobChanges is the event for changes of the table of accepted jobs. A snapshot
// has all rows of the table.
type jobChanges struct {
	store.Changes
	snapshot bool
}

// applyJobs applies new and cancelled jobs.
func (t *term) applyJobs(c jobChanges) {
	for _, ch := range c.Rows {
		if !ch.Deleted {
			t.applyJob(ch.Row)
		}
	}
}

func (t *term) applyJob(row store.Row) {
	t.pacer.changed = true
	var spec graph.Job
	if err := decodeJob(row, &spec); err != nil {
		t.Log.Write(event.RowUnread, "key", row.Key, "reason", err.Error())
		return
	}
	j, ok := t.jobs[spec.ID]
	if !ok {
		if s, known := t.statuses.Load(spec.ID); known && isFinal(s.Phase) {
			// The row was read before the job's end was stored.
			return
		}
		j = t.addJob(&spec, graph.NewProgress(&spec))
	}
	if spec.Cancelled && !j.progress.Job.Cancelled {
		j.progress.Job.Cancelled = true
		t.stopJob(j, "cancelled")
	}
	t.finishJob(j)
	t.publishStatus(j)
}

// decodeJob decodes the row of a job. A job that cannot be run is an error: an
// earlier version may have accepted it.
func decodeJob(row store.Row, spec *graph.Job) error {
	if err := ledger.Decode(row, spec); err != nil {
		return fmt.Errorf("job: %w", err)
	}
	return spec.Check()
}

// addJob adds a job to the term and opens its occurrences.
func (t *term) addJob(spec *graph.Job, p *graph.Progress) *job {
	j := t.registerJob(spec, p)
	t.openDue(j, time.Now())
	return j
}

// registerJob adds a job to the term. Its occurrences are opened later, by openDue.
func (t *term) registerJob(spec *graph.Job, p *graph.Progress) *job {
	j := &job{
		progress: p, placements: make(map[*placement]bool), idleSince: time.Now(),
		avoid:       make(map[stepKey]map[pool.WorkerID]bool),
		failedOn:    make(map[stepKey]map[pool.WorkerID]bool),
		preemptions: make(map[stepKey]int),
		stalls:      make(map[unitKey]int),
		lastRun:     (t.Epoch - 1) * runsPerEpoch,
	}
	t.jobs[spec.ID] = j
	t.unrated = append(t.unrated, j)
	if c := t.Queues.Current(); c != nil {
		t.followQueue(j, c)
	}
	t.Log.Write(event.JobSeen, "job", string(spec.ID), "queue", spec.Queue, "workspace", spec.Workspace,
		"steps", len(spec.Steps), "age", time.Since(spec.Accepted).String())
	return j
}

// followQueues has the tasks of all jobs that have not begun run by the services that
// run their queues now.
func (t *term) followQueues(c *queues.Config) {
	if c.Version == t.queuesVersion {
		return
	}
	t.queuesVersion = c.Version
	for _, j := range t.jobs {
		t.followQueue(j, c)
	}
}

// followQueue replaces the service of a job if its queue is run by another one. The job
// of a queue that has been removed keeps its service.
func (t *term) followQueue(j *job, c *queues.Config) {
	spec := j.progress.Job
	q, ok := c.QueueNamed(spec.Queue)
	if !ok || c.Version <= spec.ConfigVersion || q.Service == spec.Service {
		return
	}
	t.Log.Write(event.JobRerouted, "job", string(spec.ID), "queue", spec.Queue, "former", spec.Service, "service", q.Service,
		"version", c.Version)
	spec.Service = q.Service
}

// isFinal reports whether p is the phase of a job that has ended.
func isFinal(p graph.Phase) bool {
	return p == graph.Completed || p == graph.FailedJob || p == graph.Cancelled
}

// openOccurrences opens the occurrences that have become due.
func (t *term) openOccurrences(now time.Time) {
	for _, j := range t.jobs {
		if !j.nextDue.IsZero() && !now.Before(j.nextDue) {
			t.openDue(j, now)
		}
	}
}

// openDue opens the occurrences of a job that are due, and drops what is known of the
// units of completed ones.
func (t *term) openDue(j *job, now time.Time) {
	j.nextDue = j.progress.Open(now)
	t.pacer.changed = true
	if j.progress.Job.Times == 0 {
		return
	}
	maps.DeleteFunc(j.avoid, func(k stepKey, _ map[pool.WorkerID]bool) bool { return !j.progress.IsOpen(k.occurrence) })
	maps.DeleteFunc(j.failedOn, func(k stepKey, _ map[pool.WorkerID]bool) bool { return !j.progress.IsOpen(k.occurrence) })
	maps.DeleteFunc(j.preemptions, func(k stepKey, _ int) bool { return !j.progress.IsOpen(k.occurrence) })
	maps.DeleteFunc(j.stalls, func(k unitKey, _ int) bool { return !j.progress.IsOpen(k.occurrence) })
}

// stopJob stops all placements of a job.
func (t *term) stopJob(j *job, reason string) {
	for p := range j.placements {
		t.stopPlacement(p, reason)
	}
}

// finishJob marks a job whose end is decided, so that the end is stored. Failed
// and cancelled jobs first have to wait for the end of their placements; those of
// a failed job are stopped.
func (t *term) finishJob(j *job) {
	p := j.progress
	switch {
	case p.Ended == "" && !p.Job.Cancelled:
		return
	case len(j.placements) > 0:
		if p.Ended == graph.FailedJob {
			t.stopJob(j, "failed")
		}
		if p.Ended != graph.Completed {
			return
		}
	}
	if p.Ended == "" {
		p.Ended = graph.Cancelled
	}
	t.markDirty(j)
}

// markDirty marks a job whose progress has to be stored.
func (t *term) markDirty(j *job) {
	j.dirty = true
	t.mu.Lock()
	t.unstored[j.progress.Job.ID] = j.progress.Snapshot()
	t.mu.Unlock()
	t.requestCommit()
}

// publishStatus publishes the phase of a job. Completed and failed are published
// only by finishCommit, once they are stored: before that, the worker and this
// instance may both fail, and the end would be lost. Until then the job is
// published as running.
func (t *term) publishStatus(j *job) {
	phase := j.progress.Phase()
	if s, ok := t.statuses.Load(j.progress.Job.ID); ok && s.Phase == graph.Completed {
		t.logFinalPhase(j, s.Phase, false)
		return
	}
	if isFinal(phase) && phase != graph.Cancelled {
		phase = graph.Running
	}
	t.statuses.Store(j.progress.Job.ID, Status{Phase: phase, Queue: j.progress.Job.Queue})
	if isFinal(phase) {
		t.logFinalPhase(j, phase, false)
	}
}

// logFinalPhase logs that a final phase of a job is published, once in each term.
func (t *term) logFinalPhase(j *job, phase graph.Phase, stored bool) {
	if j.loggedPhase == phase {
		return
	}
	j.loggedPhase = phase
	age := time.Duration(0)
	if t.inFlight || stored {
		age = time.Since(t.sentAt)
	}
	t.Log.Write(event.JobShown, "job", string(j.progress.Job.ID), "phase", string(phase), "stored", stored,
		"age", age.String(), "epoch", t.Epoch)
}

// publishAll publishes the phases of all jobs and the counts of waiting ones.
func (t *term) publishAll() {
	for _, j := range t.jobs {
		t.publishStatus(j)
	}
	t.publishWaiting()
}

// publishWaiting publishes the number of waiting jobs by queue.
func (t *term) publishWaiting() {
	waiting := make(map[string]int)
	for _, j := range t.jobs {
		p := j.progress
		if !p.Begun && p.Ended == "" && !p.Job.Cancelled {
			waiting[p.Job.Queue]++
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waitingByQueue = waiting
}

package graph

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

const (
	testID ID = "0123456789abcdef"
	// allTasks is a bound for Ready that no job reaches.
	allTasks = maxTasks
)

// chainJob returns a job of a gang of three tasks, followed by a step of four.
func chainJob() *Job {
	return &Job{
		ID: testID, MaxAttempts: 2, Slack: 2, Objective: time.Second,
		Accepted: time.Unix(1000, 0).UTC(),
		Steps: []Step{
			{Count: 3, Gang: true, Estimate: 2 * time.Second, Checkpoints: true},
			{Count: 4, After: []int{0}, Estimate: 3 * time.Second},
		},
	}
}

func task(step, index int) TaskID { return TaskID{Job: testID, Step: step, Index: index} }

// render writes the phase, the ready units and the snapshot of p.
func render(b *strings.Builder, title string, p *Progress) {
	fmt.Fprintf(b, "%s: phase %s, ready", title, p.Phase())
	for _, u := range p.Ready(allTasks) {
		fmt.Fprintf(b, " %d%v", u.Step, u.Members)
	}
	encoded, err := json.Marshal(p.Snapshot())
	if err != nil {
		encoded = []byte(err.Error())
	}
	fmt.Fprintf(b, "\n  kept %s\n", encoded)
}

// TestProgress guards against a step that becomes ready before its dependencies
// are done, a gang of which only some members are done, and a failed run that is
// counted more than once.
func TestProgress(t *testing.T) {
	var b strings.Builder
	p := NewProgress(chainJob())
	p.Open(time.Unix(1000, 0))
	render(&b, "accepted", p)
	p.Ready(allTasks)[0].SetBusy(true)
	render(&b, "gang placed", p)
	p.End(task(0, 1), 1, Failed, "c1")
	p.End(task(0, 2), 1, Failed, "")
	p.End(task(0, 2), 1, Failed, "")
	p.gangUnit(0).SetBusy(false)
	render(&b, "gang failed once, reported three times", p)
	p.End(task(0, 0), 2, Done, "")
	render(&b, "one member done", p)
	p.End(task(1, 0), 1, Done, "")
	p.End(task(1, 2), 1, Done, "")
	p.End(task(1, 3), 1, Lapsed, "")
	render(&b, "two tasks done, one lapsed", p)
	p.End(task(1, 1), 1, Failed, "")
	p.End(task(1, 1), 5, Failed, "")
	render(&b, "a task failed twice", p)
	golden.Assert(t, b.String(), "progress.golden")
}

func (p *Progress) gangUnit(step int) Unit {
	return Unit{Progress: p, Step: step, Members: p.GangMembers(step)}
}

// TestRestoreExhausted guards against a new leader that restarts a task which had
// used up its attempts while other tasks of the job were still running.
func TestRestoreExhausted(t *testing.T) {
	p := NewProgress(chainJob())
	p.Open(time.Unix(1000, 0))
	p.End(task(0, 1), 1, Failed, "")
	p.End(task(0, 1), 2, Failed, "")
	assert.Equal(t, p.Phase(), FailedJob)
	assert.Equal(t, Restore(p.Job, p.Snapshot()).Phase(), FailedJob)
}

// TestSnapshotRestore guards against progress that changes when it is stored and restored,
// for any sequence of ends of runs.
func TestSnapshotRestore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := NewProgress(chainJob())
		p.Open(time.Unix(1000, 0))
		for i := range rapid.IntRange(0, 12).Draw(r, "ends") {
			step := rapid.IntRange(0, 1).Draw(r, "step")
			id := task(step, rapid.IntRange(0, p.Job.Steps[step].Count-1).Draw(r, "index"))
			outcome := rapid.SampledFrom([]RunOutcome{Done, Failed, Stopped, Lapsed, Broken}).Draw(r, "how")
			p.End(id, int64(i/2+1), outcome, rapid.SampledFrom([]string{"", "s1"}).Draw(r, "saved"))
		}
		q := Restore(p.Job, p.Snapshot())
		assert.Equal(r, q.Phase(), p.Phase())
		assert.Equal(r, fmt.Sprint(readyTasks(q)), fmt.Sprint(readyTasks(p)))
		assert.DeepEqual(r, q.Snapshot(), p.Snapshot())
	})
}

func readyTasks(p *Progress) []TaskID {
	var ids []TaskID
	for _, u := range p.Ready(allTasks) {
		ids = append(ids, u.Tasks()...)
	}
	return ids
}

// TestOpen guards against occurrences that open early or never.
func TestOpen(t *testing.T) {
	j := chainJob()
	j.Times, j.First, j.Interval = 3, time.Unix(2000, 0), 10*time.Second
	p := NewProgress(j)
	var b strings.Builder
	for _, s := range []int64{1990, 1999, 2000, 2009, 2025} {
		next := p.Open(time.Unix(s, 0))
		fmt.Fprintf(&b, "at %d: %d open, next %d\n", s, len(p.Occurrences), max(next.Unix(), 0))
	}
	golden.Assert(t, b.String(), "open.golden")
}

// TestCheck guards against accepting jobs that can never run.
func TestCheck(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name   string
		change func(*Job)
	}{
		{"valid", func(*Job) {}},
		{"no steps", func(j *Job) { j.Steps = nil }},
		{"unknown step", func(j *Job) { j.Steps[1].After = []int{7} }},
		{"cycle", func(j *Job) { j.Steps[0].After = []int{1} }},
		{"step after itself", func(j *Job) { j.Steps[1].After = []int{1} }},
		{"no tasks", func(j *Job) { j.Steps[0].Count = 0 }},
		{"negative demand", func(j *Job) { j.Steps[0].Demand.MemoryMiB = -1 }},
		{"too many tasks", func(j *Job) { j.Steps[0].Count = maxTasks }},
		{"sum of tasks overflows", func(j *Job) { j.Steps[0].Count, j.Steps[1].Count = math.MaxInt/2+1, math.MaxInt/2+1 }},
		{"demand overflows", func(j *Job) { j.Steps[0].Demand.Accelerators = math.MaxInt64 }},
		{"too many occurrences", func(j *Job) { j.Times, j.Interval = math.MaxInt, time.Millisecond }},
		{"too many tasks in all", func(j *Job) { j.Times, j.Interval = maxScheduledTasks, time.Millisecond }},
		{"schedule overflows", func(j *Job) { j.Times, j.Interval = 3, math.MaxInt64 }},
		{"long spec", func(j *Job) { j.Spec = strings.Repeat("x", maxSpec+1) }},
		{"times without interval", func(j *Job) { j.Times = 2 }},
	} {
		j := chainJob()
		c.change(j)
		fmt.Fprintf(&b, "%s: %v\n", c.name, j.Check())
	}
	golden.Assert(t, b.String(), "check.golden")
}

// FuzzParseTask guards against task identifiers that change when they are
// formatted for a worker and parsed again.
func FuzzParseTask(f *testing.F) {
	f.Add("0123456789abcdef.0.1.17")
	f.Add("...")
	f.Add("a.-1.0.0")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseTask(s)
		if err != nil {
			return
		}
		again, err := ParseTask(id.String())
		assert.NilError(t, err)
		assert.Equal(t, again, id)
	})
}

// TestMerge guards against losing or counting twice the ends of runs that a
// former leader had applied but could not store.
func TestMerge(t *testing.T) {
	former, successor := NewProgress(chainJob()), NewProgress(chainJob())
	former.Open(time.Unix(1000, 0))
	successor.Open(time.Unix(1000, 0))
	former.End(task(0, 0), 1, Done, "")
	former.End(task(1, 0), 1, Failed, "")
	former.End(task(1, 1), 2, Done, "")
	merge := func(wantTasks int, wantChanged bool) {
		t.Helper()
		tasks, changed := successor.Merge(former.Snapshot())
		assert.Equal(t, tasks, wantTasks)
		assert.Equal(t, changed, wantChanged)
	}
	merge(2, true)
	merge(0, false)
	assert.DeepEqual(t, successor.Snapshot(), former.Snapshot())
	former.End(task(1, 0), 5, Failed, "")
	merge(0, true)
	assert.Equal(t, successor.Phase(), FailedJob)
}

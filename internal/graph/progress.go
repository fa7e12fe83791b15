package graph

import (
	"time"
)

type (
	// Phase is the state of a job as its caller sees it.
	Phase string

	// Progress is what is known of a job's tasks. It is not safe for
	// concurrent use.
	Progress struct {
		Job *Job
		// Occurrences holds the occurrences that are due, by number.
		Occurrences []*Occurrence
		// Ended is the final phase once it is decided, else empty.
		Ended Phase
		// Reason explains a failure.
		Reason string
		// Begun reports whether a task of the job was ever started.
		Begun bool
	}

	// Occurrence is one run of the graph.
	Occurrence struct {
		Number int
		Steps  []StepState
		left   int
	}

	// StepState is the progress of a step.
	StepState struct {
		Tasks []Task
		left  int
		// gang counts the failed runs of a gang.
		gang Failures
		// saved is the newest checkpoint of a gang.
		saved string
	}

	// Task is the progress of a task.
	Task struct {
		Done     bool
		Failures Failures
		// Saved is the newest checkpoint, empty for none.
		Saved string
		// Busy reports whether the task is placed or may be running.
		Busy bool
	}

	// Failures counts failed runs.
	Failures struct {
		Count int `json:"count"`
		// Last is the last run that was counted. A run is reported until its
		// end is acknowledged, and counts once.
		Last int64 `json:"last"`
	}

	// Unit is what is placed at once: a whole gang or a single task.
	Unit struct {
		Progress   *Progress
		Occurrence int
		Step       int
		Members    []int
	}
)

// reasonAttempts is the reason of a job one of whose tasks has failed as often
// as it may.
const reasonAttempts = "attempts"

// The phases.
const (
	Pending   Phase = "pending"
	Running   Phase = "running"
	Completed Phase = "completed"
	FailedJob Phase = "failed"
	Cancelled Phase = "cancelled"
)

// NewProgress returns the progress of a job of which nothing has run.
func NewProgress(j *Job) *Progress {
	return &Progress{Job: j}
}

// Open adds the occurrences that are due at now, and returns the instant of
// the next one, which is zero if there is none.
func (p *Progress) Open(now time.Time) time.Time {
	for len(p.Occurrences) < p.Job.Occurrences() {
		k := len(p.Occurrences)
		if due := p.Job.Due(k); p.Job.Times > 0 && now.Before(due) {
			return due
		}
		p.Occurrences = append(p.Occurrences, newOccurrence(p.Job, k))
	}
	return time.Time{}
}

func newOccurrence(j *Job, k int) *Occurrence {
	o := &Occurrence{Number: k, Steps: make([]StepState, len(j.Steps)), left: len(j.Steps)}
	for i := range j.Steps {
		o.Steps[i] = StepState{Tasks: make([]Task, j.Steps[i].Count), left: j.Steps[i].Count}
	}
	return o
}

// Ready returns the units that could be placed: their steps' predecessors are
// done and their tasks are neither done nor busy.
func (p *Progress) Ready() []Unit {
	if p.Ended != "" || p.Job.Cancelled {
		return nil
	}
	var units []Unit
	for _, o := range p.Occurrences {
		for i := range o.Steps {
			if o.Steps[i].left == 0 || !p.open(o, i) {
				continue
			}
			units = p.readyOf(units, o, i)
		}
	}
	return units
}

func (p *Progress) open(o *Occurrence, step int) bool {
	for _, a := range p.Job.Steps[step].After {
		if o.Steps[a].left > 0 {
			return false
		}
	}
	return true
}

func (p *Progress) readyOf(units []Unit, o *Occurrence, step int) []Unit {
	s := &o.Steps[step]
	if p.Job.Steps[step].Gang {
		for i := range s.Tasks {
			if s.Tasks[i].Busy || s.Tasks[i].Done {
				return units
			}
		}
		return append(units, Unit{Progress: p, Occurrence: o.Number, Step: step, Members: p.Gang(step)})
	}
	for i := range s.Tasks {
		if !s.Tasks[i].Busy && !s.Tasks[i].Done {
			units = append(units, Unit{Progress: p, Occurrence: o.Number, Step: step, Members: []int{i}})
		}
	}
	return units
}

// Gang returns the indices of all tasks of a step.
func (p *Progress) Gang(step int) []int {
	members := make([]int, p.Job.Steps[step].Count)
	for i := range members {
		members[i] = i
	}
	return members
}

// Task returns the progress of a task, or nil if the job has no such task or
// its occurrence is not due yet.
func (p *Progress) Task(t TaskID) *Task {
	if t.Occurrence >= len(p.Occurrences) {
		return nil
	}
	o := p.Occurrences[t.Occurrence]
	if t.Step >= len(o.Steps) || t.Index >= len(o.Steps[t.Step].Tasks) {
		return nil
	}
	return &o.Steps[t.Step].Tasks[t.Index]
}

// Saved returns the checkpoint from which a task can resume. The checkpoint of
// any member of a gang is valid for all.
func (p *Progress) Saved(t TaskID) string {
	task := p.Task(t)
	if task == nil {
		return ""
	}
	if p.Job.Steps[t.Step].Gang {
		return p.Occurrences[t.Occurrence].Steps[t.Step].saved
	}
	return task.Saved
}

// Save notes a checkpoint. An empty one is ignored.
func (p *Progress) Save(t TaskID, saved string) {
	task := p.Task(t)
	if task == nil || saved == "" || !p.Job.Steps[t.Step].Checkpoints {
		return
	}
	task.Saved = saved
	if p.Job.Steps[t.Step].Gang {
		p.Occurrences[t.Occurrence].Steps[t.Step].saved = saved
	}
}

// End applies the end of a run and reports whether the progress changed in a
// way that must be kept. The caller makes the task free again.
func (p *Progress) End(t TaskID, run int64, how How, saved string) bool {
	task := p.Task(t)
	if task == nil || p.Ended != "" {
		return false
	}
	step := &p.Job.Steps[t.Step]
	p.Save(t, saved)
	switch {
	case step.LongRunning:
		return false
	case how == Done && !task.Done:
		p.done(t, step.Gang)
		return true
	case how == Failed && !task.Done:
		return p.fail(t, run, step.Gang)
	}
	return saved != "" && step.Checkpoints
}

// done marks the task, and in a gang all members, as done.
func (p *Progress) done(t TaskID, gang bool) {
	o := p.Occurrences[t.Occurrence]
	s := &o.Steps[t.Step]
	first, last := t.Index, t.Index
	if gang {
		first, last = 0, len(s.Tasks)-1
	}
	for i := first; i <= last; i++ {
		if !s.Tasks[i].Done {
			s.Tasks[i].Done = true
			s.left--
		}
	}
	if s.left == 0 {
		o.left--
	}
	if p.allDone() {
		p.Ended = Completed
	}
}

func (p *Progress) allDone() bool {
	if len(p.Occurrences) < p.Job.Occurrences() {
		return false
	}
	for _, o := range p.Occurrences {
		if o.left > 0 {
			return false
		}
	}
	return true
}

func (p *Progress) fail(t TaskID, run int64, gang bool) bool {
	s := &p.Occurrences[t.Occurrence].Steps[t.Step]
	f := &s.Tasks[t.Index].Failures
	if gang {
		f = &s.gang
	}
	if run <= f.Last {
		return false
	}
	f.Count++
	f.Last = run
	if f.Count >= p.Job.MaxAttempts {
		p.Ended = FailedJob
		p.Reason = reasonAttempts
	}
	return true
}

// Phase returns the state of the job.
func (p *Progress) Phase() Phase {
	switch {
	case p.Ended != "":
		return p.Ended
	case p.Job.Cancelled:
		return Cancelled
	case p.Begun:
		return Running
	}
	return Pending
}

// Tasks returns the names of the members.
func (u Unit) Tasks() []TaskID {
	ids := make([]TaskID, len(u.Members))
	for i, m := range u.Members {
		ids[i] = TaskID{Job: u.Progress.Job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: m}
	}
	return ids
}

// Spec returns the step of the unit.
func (u Unit) Spec() *Step { return &u.Progress.Job.Steps[u.Step] }

// Holds reports whether u is a unit of p whose occurrence is due.
func (p *Progress) Holds(u Unit) bool {
	for _, id := range u.Tasks() {
		if p.Task(id) == nil {
			return false
		}
	}
	return len(u.Members) > 0
}

// SetBusy marks the members as placed or free.
func (u Unit) SetBusy(busy bool) {
	s := &u.Progress.Occurrences[u.Occurrence].Steps[u.Step]
	for _, m := range u.Members {
		s.Tasks[m].Busy = busy
	}
}

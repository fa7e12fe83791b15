package graph

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Phase is the state of a job as reported to its caller.
	Phase string

	// Progress is the state of a job's tasks. It is not safe for concurrent use.
	Progress struct {
		Job *Job
		// Occurrences holds the open occurrences by ascending number: those that are
		// due and not completed. Of all that are due, only some are open at a time.
		Occurrences []*Occurrence
		// opened is the number of occurrences that have been opened. Those of them
		// that are not open any more are completed.
		opened int
		// Ended is the final phase of a job that has ended, else empty.
		Ended Phase
		// Reason is the reason of a failure.
		Reason string
		// Begun reports whether a task of the job was ever started.
		Begun bool
	}

	// Occurrence is the progress of one repetition of the graph.
	Occurrence struct {
		Number int
		Steps  []StepState
		// remaining is the number of steps that are not done.
		remaining int
		// busy is the number of tasks that are busy. The tasks of a completed gang
		// may be.
		busy int
	}

	// StepState is the progress of a step.
	StepState struct {
		Tasks []Task
		// remaining is the number of tasks that are not done.
		remaining int
		// gangFailures counts the failed runs of a gang.
		gangFailures Failures
		// gangCheckpoint is the newest checkpoint of a gang.
		gangCheckpoint string
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
		// Last is the number of the last run that was counted. A worker reports a
		// run until its end is acknowledged, and the run must count only once.
		Last int64 `json:"last"`
	}

	// Unit is the unit of placement: a whole gang or a single task.
	Unit struct {
		Progress   *Progress
		Occurrence int
		Step       int
		Members    []int
	}
)

const (
	// maxOpenTasks and maxOpenOccurrences bound the tasks and the occurrences of a
	// job that are open at a time, so that a job of which a million occurrences are
	// overdue takes no more memory and time, and no larger row, than others. One
	// occurrence is always open, whatever its number of tasks.
	maxOpenTasks       = 2000
	maxOpenOccurrences = 500
)

// reasonAttempts is the reason of a job that failed because a task or a gang has
// no attempts left.
const reasonAttempts = "attempts"

// Phases of a job.
const (
	Pending   Phase = "pending"
	Running   Phase = "running"
	Completed Phase = "completed"
	FailedJob Phase = "failed"
	Cancelled Phase = "cancelled"
)

// NewProgress returns the progress of a job that has no open occurrences yet.
func NewProgress(j *Job) *Progress {
	return &Progress{Job: j}
}

// Open opens the occurrences that are due at now, as many as the limits permit, and
// closes those that are completed. It returns the time at which the next one is due.
// The time is zero if there is none, or if the next one has to wait until a task ends.
func (p *Progress) Open(now time.Time) time.Time {
	p.closeCompleted()
	tasks := p.Job.taskCount()
	for p.opened < p.Job.Occurrences() {
		if due := p.Job.Due(p.opened); p.Job.Times > 0 && now.Before(due) {
			return due
		}
		if n := len(p.Occurrences); n > 0 && (n >= maxOpenOccurrences || (n+1)*tasks > maxOpenTasks) {
			break
		}
		p.Occurrences = append(p.Occurrences, newOccurrence(p.Job, p.opened))
		p.opened++
	}
	return time.Time{}
}

// closeCompleted closes the completed occurrences none of whose tasks is busy. The
// only occurrence of a job that runs once stays open.
func (p *Progress) closeCompleted() {
	if p.Job.Times == 0 {
		return
	}
	p.Occurrences = slices.DeleteFunc(p.Occurrences, func(o *Occurrence) bool { return o.remaining == 0 && o.busy == 0 })
}

// occurrence returns the open occurrence with a number, or nil.
func (p *Progress) occurrence(number int) *Occurrence {
	i, ok := slices.BinarySearchFunc(p.Occurrences, number, func(o *Occurrence, n int) int { return cmp.Compare(o.Number, n) })
	if !ok {
		return nil
	}
	return p.Occurrences[i]
}

// isCompleted reports whether an occurrence was completed and closed.
func (p *Progress) isCompleted(number int) bool {
	return number < p.opened && p.occurrence(number) == nil
}

// IsOpen reports whether an occurrence is open.
func (p *Progress) IsOpen(number int) bool { return p.occurrence(number) != nil }

func newOccurrence(j *Job, k int) *Occurrence {
	o := &Occurrence{Number: k, Steps: make([]StepState, len(j.Steps)), remaining: len(j.Steps)}
	for i := range j.Steps {
		o.Steps[i] = StepState{Tasks: make([]Task, j.Steps[i].Count), remaining: j.Steps[i].Count}
	}
	return o
}

// Ready returns the units that can be placed: the steps they depend on are done
// and their tasks are neither done nor busy.
func (p *Progress) Ready() []Unit {
	if p.Ended != "" || p.Job.Cancelled {
		return nil
	}
	var units []Unit
	for _, o := range p.Occurrences {
		for i := range o.Steps {
			if o.Steps[i].remaining == 0 || !p.dependenciesDone(o, i) {
				continue
			}
			units = p.appendReady(units, o, i)
		}
	}
	return units
}

func (p *Progress) dependenciesDone(o *Occurrence, step int) bool {
	for _, a := range p.Job.Steps[step].After {
		if o.Steps[a].remaining > 0 {
			return false
		}
	}
	return true
}

func (p *Progress) appendReady(units []Unit, o *Occurrence, step int) []Unit {
	s := &o.Steps[step]
	if p.Job.Steps[step].Gang {
		for i := range s.Tasks {
			if s.Tasks[i].Busy || s.Tasks[i].Done {
				return units
			}
		}
		return append(units, Unit{Progress: p, Occurrence: o.Number, Step: step,
			Members: p.GangMembers(step)})
	}
	for i := range s.Tasks {
		if !s.Tasks[i].Busy && !s.Tasks[i].Done {
			units = append(units, Unit{Progress: p, Occurrence: o.Number, Step: step, Members: []int{i}})
		}
	}
	return units
}

// GangMembers returns the indices of all tasks of a step, which are the members of its
// gang.
func (p *Progress) GangMembers(step int) []int {
	members := make([]int, p.Job.Steps[step].Count)
	for i := range members {
		members[i] = i
	}
	return members
}

// Task returns the progress of a task, or nil if the job has no such task or
// its occurrence is not open.
func (p *Progress) Task(t TaskID) *Task {
	s := p.step(t)
	if s == nil || t.Index >= len(s.Tasks) {
		return nil
	}
	return &s.Tasks[t.Index]
}

// IsDone reports whether a task is done.
func (p *Progress) IsDone(t TaskID) bool {
	task := p.Task(t)
	return task != nil && task.Done || p.isCompleted(t.Occurrence)
}

// step returns the state of the step of a task, or nil if the job has no such step or
// its occurrence is not open.
func (p *Progress) step(t TaskID) *StepState {
	o := p.occurrence(t.Occurrence)
	if o == nil || t.Step >= len(o.Steps) {
		return nil
	}
	return &o.Steps[t.Step]
}

// Saved returns the checkpoint from which a task can resume, or an empty string.
// The checkpoint of any member of a gang is valid for all members.
func (p *Progress) Saved(t TaskID) string {
	task := p.Task(t)
	if task == nil {
		return ""
	}
	if p.Job.Steps[t.Step].Gang {
		return p.step(t).gangCheckpoint
	}
	return task.Saved
}

// Save records a checkpoint. It ignores empty ones and steps without checkpoints.
func (p *Progress) Save(t TaskID, saved string) {
	task := p.Task(t)
	if task == nil || saved == "" || !p.Job.Steps[t.Step].Checkpoints {
		return
	}
	task.Saved = saved
	if p.Job.Steps[t.Step].Gang {
		p.step(t).gangCheckpoint = saved
	}
}

// End applies the end of a run and reports whether the snapshot of the progress
// changed, so that it must be stored. The caller clears Busy.
func (p *Progress) End(t TaskID, run int64, outcome RunOutcome, saved string) bool {
	task := p.Task(t)
	if task == nil || p.Ended != "" {
		return false
	}
	step := &p.Job.Steps[t.Step]
	p.Save(t, saved)
	switch {
	case step.LongRunning:
		return false
	case outcome == Done && !task.Done:
		p.markDone(t, step.Gang)
		return true
	case outcome == Failed && !task.Done:
		return p.recordFailure(t, run, step.Gang)
	}
	return saved != "" && step.Checkpoints
}

// markDone marks the task as done, or all members if it belongs to a gang.
func (p *Progress) markDone(t TaskID, gang bool) {
	o := p.occurrence(t.Occurrence)
	s := &o.Steps[t.Step]
	first, last := t.Index, t.Index
	if gang {
		first, last = 0, len(s.Tasks)-1
	}
	for i := first; i <= last; i++ {
		if !s.Tasks[i].Done {
			s.Tasks[i].Done = true
			s.remaining--
		}
	}
	if s.remaining == 0 {
		o.remaining--
	}
	if p.allDone() {
		p.Ended = Completed
	}
}

func (p *Progress) allDone() bool {
	if p.opened < p.Job.Occurrences() {
		return false
	}
	for _, o := range p.Occurrences {
		if o.remaining > 0 {
			return false
		}
	}
	return true
}

func (p *Progress) recordFailure(t TaskID, run int64, gang bool) bool {
	s := p.step(t)
	f := &s.Tasks[t.Index].Failures
	if gang {
		f = &s.gangFailures
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

// Phase returns the phase of the job.
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

// Tasks returns the identifiers of the members.
func (u Unit) Tasks() []TaskID {
	ids := make([]TaskID, len(u.Members))
	for i, m := range u.Members {
		ids[i] = TaskID{Job: u.Progress.Job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: m}
	}
	return ids
}

// Spec returns the step of the unit.
func (u Unit) Spec() *Step { return &u.Progress.Job.Steps[u.Step] }

// HasUnit reports whether u has members and all of them are tasks of open
// occurrences of p.
func (p *Progress) HasUnit(u Unit) bool {
	for _, id := range u.Tasks() {
		if p.Task(id) == nil {
			return false
		}
	}
	return len(u.Members) > 0
}

// SetBusy sets the Busy flag of the members.
func (u Unit) SetBusy(busy bool) {
	o := u.Progress.occurrence(u.Occurrence)
	if o == nil {
		return
	}
	for _, m := range u.Members {
		task := &o.Steps[u.Step].Tasks[m]
		switch {
		case busy && !task.Busy:
			o.busy++
		case !busy && task.Busy:
			o.busy--
		}
		task.Busy = busy
	}
}

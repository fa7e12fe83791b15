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

	// StepState is the progress of a step. It takes memory for the tasks that have
	// made progress, not for those that wait.
	StepState struct {
		// count is the number of tasks.
		count int
		done  taskSet
		// busy has the tasks that are placed or may be running.
		busy taskSet
		// failures and saved have the failed runs and the newest checkpoints of
		// tasks.
		failures map[int]Failures
		saved    map[int]string
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
		o.Steps[i] = StepState{count: j.Steps[i].Count, remaining: j.Steps[i].Count}
	}
	return o
}

// Ready returns units that can be placed: the steps they depend on are done and their
// tasks are neither done nor busy. The tasks that are not in gangs are about as many as
// given at most, and are shared out evenly among the steps that have any.
func (p *Progress) Ready(tasks int) []Unit {
	if p.Ended != "" || p.Job.Cancelled {
		return nil
	}
	type readyStep struct {
		occurrence *Occurrence
		step       int
	}
	var steps []readyStep
	for _, o := range p.Occurrences {
		for i := range o.Steps {
			if o.Steps[i].remaining > 0 && p.dependenciesDone(o, i) {
				steps = append(steps, readyStep{o, i})
			}
		}
	}
	var units []Unit
	for _, s := range steps {
		units = p.appendReady(units, s.occurrence, s.step, max(tasks/len(steps), 1))
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

// appendReady appends the units of a step that can be placed, a gang or at most the
// given number of tasks.
func (p *Progress) appendReady(units []Unit, o *Occurrence, step, tasks int) []Unit {
	s := &o.Steps[step]
	if p.Job.Steps[step].Gang {
		for i := range s.count {
			if s.busy.has(i) || s.done.has(i) {
				return units
			}
		}
		return append(units, Unit{Progress: p, Occurrence: o.Number, Step: step,
			Members: p.GangMembers(step)})
	}
	for i := 0; i < s.count && tasks > 0; i++ {
		if !s.busy.has(i) && !s.done.has(i) {
			units = append(units, Unit{Progress: p, Occurrence: o.Number, Step: step, Members: []int{i}})
			tasks--
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

// Task returns the progress of a task, or the zero value if the job has no such task or
// its occurrence is not open.
func (p *Progress) Task(t TaskID) Task {
	s := p.step(t)
	if s == nil {
		return Task{}
	}
	return Task{Done: s.done.has(t.Index), Failures: s.failures[t.Index], Saved: s.saved[t.Index], Busy: s.busy.has(t.Index)}
}

// IsDone reports whether a task is done.
func (p *Progress) IsDone(t TaskID) bool { return p.Task(t).Done || p.isCompleted(t.Occurrence) }

// step returns the state of the step of a task, or nil if the job has no such task or
// its occurrence is not open.
func (p *Progress) step(t TaskID) *StepState {
	o := p.occurrence(t.Occurrence)
	if o == nil || t.Step < 0 || t.Step >= len(o.Steps) || t.Index < 0 || t.Index >= o.Steps[t.Step].count {
		return nil
	}
	return &o.Steps[t.Step]
}

// Saved returns the checkpoint from which a task can resume, or an empty string.
// The checkpoint of any member of a gang is valid for all members.
func (p *Progress) Saved(t TaskID) string {
	s := p.step(t)
	if s == nil {
		return ""
	}
	if p.Job.Steps[t.Step].Gang {
		return s.gangCheckpoint
	}
	return s.saved[t.Index]
}

// Save records a checkpoint. It ignores empty ones and steps without checkpoints.
func (p *Progress) Save(t TaskID, saved string) {
	s := p.step(t)
	if s == nil || saved == "" || !p.Job.Steps[t.Step].Checkpoints {
		return
	}
	if p.Job.Steps[t.Step].Gang {
		s.gangCheckpoint = saved
		return
	}
	s.setSaved(t.Index, saved)
}

// End applies the end of a run and reports whether the snapshot of the progress
// changed, so that it must be stored. The caller clears Busy.
func (p *Progress) End(t TaskID, run int64, outcome RunOutcome, saved string) bool {
	s := p.step(t)
	if s == nil || p.Ended != "" {
		return false
	}
	done := s.done.has(t.Index)
	step := &p.Job.Steps[t.Step]
	p.Save(t, saved)
	switch {
	case step.LongRunning:
		return false
	case outcome == Done && !done:
		p.markDone(t, step.Gang)
		return true
	case outcome == Failed && !done:
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
		first, last = 0, s.count-1
	}
	for i := first; i <= last; i++ {
		if !s.done.has(i) {
			s.done.set(i, true)
			s.remaining--
		}
		delete(s.failures, i)
		delete(s.saved, i)
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
	f := s.failures[t.Index]
	if gang {
		f = s.gangFailures
	}
	if run <= f.Last {
		return false
	}
	f.Count++
	f.Last = run
	if gang {
		s.gangFailures = f
	} else {
		s.setFailures(t.Index, f)
	}
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

func (s *StepState) setFailures(index int, f Failures) {
	if s.failures == nil {
		s.failures = make(map[int]Failures)
	}
	s.failures[index] = f
}

func (s *StepState) setSaved(index int, checkpoint string) {
	if s.saved == nil {
		s.saved = make(map[int]string)
	}
	s.saved[index] = checkpoint
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
		if p.step(id) == nil {
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
	s := &o.Steps[u.Step]
	for _, m := range u.Members {
		switch {
		case busy && !s.busy.has(m):
			o.busy++
		case !busy && s.busy.has(m):
			o.busy--
		}
		s.busy.set(m, busy)
	}
}

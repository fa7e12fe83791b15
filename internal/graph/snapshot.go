package graph

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/big"
	"slices"
)

type (
	// Snapshot is the stored form of a Progress, from which another leader can
	// restore it.
	//
	// The occurrences of a job are in one of two forms. Earlier versions of the
	// program know only Occurrences, which takes a job that has had few tasks so far.
	Snapshot struct {
		// Occurrences lists all occurrences that have been opened, from the first
		// one on.
		Occurrences occurrenceList `json:"occurrences,omitempty"`
		// Opened is the number of occurrences that have been opened, and Open lists
		// those of them that are not completed. They are set instead of Occurrences.
		Opened int                  `json:"opened,omitempty"`
		Open   []OccurrenceSnapshot `json:"open,omitempty"`
		Begun  bool                 `json:"begun,omitempty"`
		// Placed lists the runs that may be in progress.
		Placed []RunPlacement `json:"placed,omitempty"`
	}

	// RunPlacement is the placement of a run of a gang or of a single task.
	RunPlacement struct {
		Occurrence int      `json:"occurrence,omitempty"`
		Step       int      `json:"step,omitempty"`
		Members    []int    `json:"members"`
		Run        int64    `json:"run"`
		Workers    []string `json:"workers"`
	}

	// OccurrenceSnapshot is the snapshot of an occurrence.
	OccurrenceSnapshot struct {
		// Number is the number of the occurrence in Snapshot.Open.
		Number int            `json:"number,omitempty"`
		Steps  []StepSnapshot `json:"steps"`
	}

	// occurrenceList is a list of occurrences by number. A long one is decoded without
	// those at its end that have no progress: earlier versions of the program list
	// all that are due, of which there may be a million.
	occurrenceList []OccurrenceSnapshot

	// StepSnapshot is the snapshot of a step.
	StepSnapshot struct {
		// Done is the set of tasks that are done, as a hexadecimal number in which
		// bit i stands for task i.
		Done     string           `json:"done,omitempty"`
		Failures map[int]Failures `json:"failures,omitempty"`
		Saved    map[int]string   `json:"saved,omitempty"`
		// Gang counts the failed runs of the gang.
		Gang Failures `json:"gang,omitzero"`
		// GangSaved is the newest checkpoint of the gang.
		GangSaved string `json:"gangSaved,omitempty"`
	}
)

const (
	hexadecimalBase = 16
	// maxListedTasks bounds the tasks of a timed job of which all occurrences are
	// listed in a snapshot.
	maxListedTasks = 500
)

// Snapshot returns the snapshot of p to be stored. The caller adds the placed
// runs.
func (p *Progress) Snapshot() Snapshot {
	s := Snapshot{Begun: p.Begun}
	if p.Job.Times > 0 && p.opened*p.Job.taskCount() > maxListedTasks {
		s.Opened, s.Open = p.opened, make([]OccurrenceSnapshot, len(p.Occurrences))
		for i, o := range p.Occurrences {
			s.Open[i] = o.snapshot()
			s.Open[i].Number = o.Number
		}
		return s
	}
	s.Occurrences = make([]OccurrenceSnapshot, p.opened)
	for number := range s.Occurrences {
		if o := p.occurrence(number); o != nil {
			s.Occurrences[number] = o.snapshot()
		} else {
			s.Occurrences[number] = p.Job.completedSnapshot()
		}
	}
	return s
}

// UnmarshalJSON decodes the occurrences one by one, so that those without progress take
// no memory.
func (l *occurrenceList) UnmarshalJSON(value []byte) error {
	d := json.NewDecoder(bytes.NewReader(value))
	if _, err := d.Token(); err != nil {
		return fmt.Errorf("decode occurrences: %w", err)
	}
	*l = nil
	count, used := 0, 0
	for ; d.More(); count++ {
		var o OccurrenceSnapshot
		if err := d.Decode(&o); err != nil {
			return fmt.Errorf("decode occurrence: %w", err)
		}
		switch {
		case !o.isFresh():
			*l = append(append(*l, make(occurrenceList, count-len(*l))...), o)
			used = len(*l)
		case count < maxOpenOccurrences:
			*l = append(*l, o)
		}
	}
	if count > maxOpenOccurrences {
		*l = (*l)[:used]
	}
	return nil
}

// isFresh reports whether no task of the occurrence has made progress.
func (o *OccurrenceSnapshot) isFresh() bool {
	return !slices.ContainsFunc(o.Steps, func(s StepSnapshot) bool {
		return s.Done != "" || len(s.Failures) > 0 || len(s.Saved) > 0 || s.Gang.Count > 0 || s.GangSaved != ""
	})
}

func (o *Occurrence) snapshot() OccurrenceSnapshot {
	s := OccurrenceSnapshot{Steps: make([]StepSnapshot, len(o.Steps))}
	for i := range o.Steps {
		s.Steps[i] = o.Steps[i].snapshot()
	}
	return s
}

// completedSnapshot returns the snapshot of an occurrence of which all tasks are done.
func (j *Job) completedSnapshot() OccurrenceSnapshot {
	s := OccurrenceSnapshot{Steps: make([]StepSnapshot, len(j.Steps))}
	for i := range j.Steps {
		all := new(big.Int).Lsh(big.NewInt(1), uint(j.Steps[i].Count))
		s.Steps[i].Done = all.Sub(all, big.NewInt(1)).Text(hexadecimalBase)
	}
	return s
}

// WithoutCheckpoints returns a copy of s without checkpoints.
func (s Snapshot) WithoutCheckpoints() Snapshot {
	s.Occurrences, s.Open = withoutCheckpoints(s.Occurrences), withoutCheckpoints(s.Open)
	return s
}

func withoutCheckpoints(occurrences []OccurrenceSnapshot) []OccurrenceSnapshot {
	occurrences = slices.Clone(occurrences)
	for i := range occurrences {
		steps := slices.Clone(occurrences[i].Steps)
		for j := range steps {
			steps[j].Saved, steps[j].GangSaved = nil, ""
		}
		occurrences[i].Steps = steps
	}
	return occurrences
}

// numbered returns the number of occurrences that have been opened, and those of them
// that may not be completed, with their numbers.
func (s Snapshot) numbered() (int, []OccurrenceSnapshot) {
	if s.Opened > 0 {
		return s.Opened, s.Open
	}
	listed := slices.Clone(s.Occurrences)
	for i := range listed {
		listed[i].Number = i
	}
	return len(listed), listed
}

func (s *StepState) snapshot() StepSnapshot {
	snap := StepSnapshot{Gang: s.gangFailures, GangSaved: s.gangCheckpoint}
	if len(s.failures) > 0 {
		snap.Failures = maps.Clone(s.failures)
	}
	if len(s.saved) > 0 {
		snap.Saved = maps.Clone(s.saved)
	}
	if s.done.bits.Sign() > 0 {
		snap.Done = s.done.bits.Text(hexadecimalBase)
	}
	return snap
}

// Restore returns the progress of a job from a snapshot. Occurrences and steps
// that the job does not have are ignored.
func Restore(j *Job, s Snapshot) *Progress {
	p := NewProgress(j)
	p.Begun = s.Begun
	opened, listed := s.numbered()
	p.opened = min(opened, j.Occurrences())
	for _, occurrence := range listed {
		if occurrence.Number >= p.opened {
			break
		}
		o := newOccurrence(j, occurrence.Number)
		p.Occurrences = append(p.Occurrences, o)
		for i, step := range occurrence.Steps {
			if i < len(o.Steps) {
				o.Steps[i].restore(step)
				if o.Steps[i].remaining == 0 {
					o.remaining--
				}
			}
		}
	}
	for i := range s.Placed {
		// Its occurrence may have no progress.
		for ; p.opened <= min(s.Placed[i].Occurrence, j.Occurrences()-1); p.opened++ {
			p.Occurrences = append(p.Occurrences, newOccurrence(j, p.opened))
		}
	}
	switch {
	case p.attemptsExhausted():
		// The job failed while some of its tasks were still running.
		p.Ended, p.Reason = FailedJob, reasonAttempts
	case p.allDone():
		p.Ended = Completed
	}
	return p
}

// Merge applies the snapshot of another leader or of an earlier term to p. It
// returns the number of tasks that were not done before, in which a gang counts
// once, and reports whether p changed.
func (p *Progress) Merge(s Snapshot) (tasks int, changed bool) {
	end := func(occurrence, step, index int) {
		if p.End(TaskID{p.Job.ID, occurrence, step, index}, 0, Done, "") {
			tasks, changed = tasks+1, true
		}
	}
	opened, listed := s.numbered()
	open := make(map[int]bool, len(listed))
	for _, occurrence := range listed {
		open[occurrence.Number] = true
	}
	for ; p.opened < min(opened, p.Job.Occurrences()); p.opened++ {
		if open[p.opened] {
			p.Occurrences = append(p.Occurrences, newOccurrence(p.Job, p.opened))
		} else {
			tasks, changed = tasks+p.Job.taskCount(), true
		}
	}
	for _, occurrence := range listed {
		for i, step := range occurrence.Steps {
			done, ok := new(big.Int).SetString(step.Done, hexadecimalBase)
			for t := 0; ok && t < done.BitLen(); t++ {
				if done.Bit(t) == 1 {
					end(occurrence.Number, i, t)
				}
			}
			changed = p.mergeFailures(occurrence.Number, i, step) || changed
		}
	}
	for _, o := range p.Occurrences {
		if o.Number >= opened || open[o.Number] {
			continue
		}
		// The other leader has closed it, since it is completed.
		for i := range o.Steps {
			for t := range o.Steps[i].count {
				end(o.Number, i, t)
			}
		}
	}
	switch {
	case p.Ended != "":
	case p.attemptsExhausted():
		p.Ended, p.Reason = FailedJob, reasonAttempts
	case p.allDone():
		p.Ended = Completed
	}
	return tasks, changed
}

// mergeFailures applies the higher counts of failed runs of a step and reports
// whether any of them changed.
func (p *Progress) mergeFailures(occurrence, step int, snap StepSnapshot) bool {
	changed := false
	for index, f := range snap.Failures {
		s := p.step(TaskID{p.Job.ID, occurrence, step, index})
		if s != nil && !s.done.has(index) && f.Count > s.failures[index].Count {
			s.setFailures(index, f)
			changed = true
		}
	}
	s := p.step(TaskID{p.Job.ID, occurrence, step, 0})
	if s == nil {
		return changed
	}
	if snap.Gang.Count > s.gangFailures.Count {
		s.gangFailures, changed = snap.Gang, true
	}
	return changed
}

// attemptsExhausted reports whether a task or a gang has no attempts left.
func (p *Progress) attemptsExhausted() bool {
	for _, o := range p.Occurrences {
		for i := range o.Steps {
			s := &o.Steps[i]
			if p.Job.Steps[i].LongRunning {
				continue
			}
			if s.gangFailures.Count >= p.Job.MaxAttempts {
				return true
			}
			for _, f := range s.failures {
				if f.Count >= p.Job.MaxAttempts {
					return true
				}
			}
		}
	}
	return false
}

func (s *StepState) restore(snap StepSnapshot) {
	s.gangFailures, s.gangCheckpoint = snap.Gang, snap.GangSaved
	done, ok := new(big.Int).SetString(snap.Done, hexadecimalBase)
	for i := 0; ok && i < min(done.BitLen(), s.count); i++ {
		if done.Bit(i) == 1 {
			s.done.set(i, true)
			s.remaining--
		}
	}
	waits := func(i int) bool { return i >= 0 && i < s.count && !s.done.has(i) }
	for i, f := range snap.Failures {
		if waits(i) {
			s.setFailures(i, f)
		}
	}
	for i, saved := range snap.Saved {
		if waits(i) {
			s.setSaved(i, saved)
		}
	}
}

package graph

import (
	"math/big"
	"slices"
)

type (
	// Snapshot is the stored form of a Progress, from which another leader can
	// restore it.
	Snapshot struct {
		Occurrences []OccurrenceSnapshot `json:"occurrences,omitempty"`
		Begun       bool                 `json:"begun,omitempty"`
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
		Steps []StepSnapshot `json:"steps"`
	}

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

const hexadecimalBase = 16

// Snapshot returns the snapshot of p to be stored. The caller adds the placed
// runs.
func (p *Progress) Snapshot() Snapshot {
	s := Snapshot{Begun: p.Begun, Occurrences: make([]OccurrenceSnapshot, len(p.Occurrences))}
	for i, o := range p.Occurrences {
		s.Occurrences[i].Steps = make([]StepSnapshot, len(o.Steps))
		for j := range o.Steps {
			s.Occurrences[i].Steps[j] = o.Steps[j].snapshot()
		}
	}
	return s
}

// WithoutCheckpoints returns a copy of s without checkpoints.
func (s Snapshot) WithoutCheckpoints() Snapshot {
	occurrences := make([]OccurrenceSnapshot, len(s.Occurrences))
	for i, o := range s.Occurrences {
		occurrences[i].Steps = slices.Clone(o.Steps)
		for j := range occurrences[i].Steps {
			occurrences[i].Steps[j].Saved, occurrences[i].Steps[j].GangSaved = nil, ""
		}
	}
	s.Occurrences = occurrences
	return s
}

func (s *StepState) snapshot() StepSnapshot {
	snap := StepSnapshot{Gang: s.gangFailures, GangSaved: s.gangCheckpoint}
	done := new(big.Int)
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if t.Done {
			done.SetBit(done, i, 1)
			continue
		}
		if t.Failures.Count > 0 {
			if snap.Failures == nil {
				snap.Failures = make(map[int]Failures)
			}
			snap.Failures[i] = t.Failures
		}
		if t.Saved != "" && s.gangCheckpoint == "" {
			if snap.Saved == nil {
				snap.Saved = make(map[int]string)
			}
			snap.Saved[i] = t.Saved
		}
	}
	if done.Sign() > 0 {
		snap.Done = done.Text(hexadecimalBase)
	}
	return snap
}

// Restore returns the progress of a job from a snapshot. Occurrences and steps
// that the job does not have are ignored.
func Restore(j *Job, s Snapshot) *Progress {
	p := NewProgress(j)
	p.Begun = s.Begun
	for n, occurrence := range s.Occurrences {
		if n >= j.Occurrences() {
			break
		}
		o := newOccurrence(j, n)
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
	for n, occurrence := range s.Occurrences {
		for i, step := range occurrence.Steps {
			done, ok := new(big.Int).SetString(step.Done, hexadecimalBase)
			for t := 0; ok && t < done.BitLen(); t++ {
				if done.Bit(t) == 1 && p.End(TaskID{p.Job.ID, n, i, t}, 0, Done, "") {
					tasks, changed = tasks+1, true
				}
			}
			changed = p.mergeFailures(n, i, step) || changed
		}
	}
	if p.Ended == "" && p.attemptsExhausted() {
		p.Ended, p.Reason = FailedJob, reasonAttempts
	}
	return tasks, changed
}

// mergeFailures applies the higher counts of failed runs of a step and reports
// whether any of them changed.
func (p *Progress) mergeFailures(occurrence, step int, snap StepSnapshot) bool {
	changed := false
	for index, f := range snap.Failures {
		task := p.Task(TaskID{p.Job.ID, occurrence, step, index})
		if task != nil && f.Count > task.Failures.Count {
			task.Failures, changed = f, true
		}
	}
	if p.Task(TaskID{p.Job.ID, occurrence, step, 0}) == nil {
		return changed
	}
	s := &p.Occurrences[occurrence].Steps[step]
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
			for j := range s.Tasks {
				if !s.Tasks[j].Done && s.Tasks[j].Failures.Count >= p.Job.MaxAttempts {
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
	for i := range s.Tasks {
		if ok && done.Bit(i) == 1 {
			s.Tasks[i].Done = true
			s.remaining--
		}
		s.Tasks[i].Failures = snap.Failures[i]
		s.Tasks[i].Saved = snap.Saved[i]
	}
}

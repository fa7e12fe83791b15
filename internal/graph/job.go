package graph

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

type (
	// ID identifies a job. The caller that submits the job chooses it.
	ID string

	// Demand is an amount of worker resources.
	Demand struct {
		Millicores   int64 `json:"millicores,omitempty"`
		MemoryMiB    int64 `json:"memoryMiB,omitempty"`
		Accelerators int64 `json:"accelerators,omitempty"`
	}

	// Step is a number of identical tasks.
	Step struct {
		Count    int           `json:"count"`
		Demand   Demand        `json:"demand"`
		Estimate time.Duration `json:"estimate,omitempty"`
		// After lists the indices of the steps that must be done before this one.
		After []int `json:"after,omitempty"`
		// Checkpoints reports whether the tasks save checkpoints to resume from.
		Checkpoints bool `json:"checkpoints,omitempty"`
		// Gang tasks make progress only while all of them run.
		Gang bool `json:"gang,omitempty"`
		// SameRack gangs are slower when they run on more than one rack.
		SameRack bool `json:"sameRack,omitempty"`
		// Speculative tasks may have two runs at a time.
		Speculative bool `json:"speculative,omitempty"`
		// LongRunning tasks run until the job is cancelled.
		LongRunning bool `json:"longRunning,omitempty"`
		// Backfill tasks use only processor time that other tasks leave idle.
		Backfill bool `json:"backfill,omitempty"`
		// Label is a label that the worker must have; empty for any worker.
		Label string `json:"label,omitempty"`
		// DataRack is the rack that stores the input data; empty for none.
		DataRack string `json:"dataRack,omitempty"`
		// MaxPerWorker limits the tasks of an occurrence on one worker; 0 means no limit.
		MaxPerWorker int `json:"maxPerWorker,omitempty"`
		// Image is the name of the image that the tasks run.
		Image string `json:"image,omitempty"`
		// TailTarget is the target for the tail latency of a long-running task.
		TailTarget time.Duration `json:"tailTarget,omitempty"`
		// MayMiss is the number of long-running tasks that may be down at a time.
		MayMiss int `json:"mayMiss,omitempty"`
	}

	// Job is a job as accepted.
	Job struct {
		ID        ID     `json:"id"`
		Queue     string `json:"queue"`
		Workspace string `json:"workspace"`
		Spec      string `json:"spec"`
		Steps     []Step `json:"steps"`
		// Times is the number of occurrences of a timed job, 0 for a job that runs once.
		Times    int           `json:"times,omitempty"`
		First    time.Time     `json:"first,omitzero"`
		Interval time.Duration `json:"interval,omitempty"`
		Accepted time.Time     `json:"accepted"`

		// The settings of the queue at the time the job was accepted, by the given
		// version of the configuration. Rows written by earlier versions of the program
		// do not have the version. The leader replaces the service if a later version
		// gives the queue to another one.
		ConfigVersion int64 `json:"configVersion,omitempty"`

		Service     string        `json:"service"`
		Priority    int           `json:"priority"`
		MaxAttempts int           `json:"maxAttempts"`
		Slack       float64       `json:"slack,omitempty"`
		Objective   time.Duration `json:"objective,omitempty"`

		Cancelled bool `json:"cancelled,omitempty"`
	}

	// TaskID identifies a task.
	TaskID struct {
		Job        ID
		Occurrence int
		Step       int
		Index      int
	}

	// RunOutcome is the outcome of a run.
	RunOutcome string
)

// Outcomes of a run.
const (
	Done    RunOutcome = "done"
	Failed  RunOutcome = "failed"
	Stopped RunOutcome = "stopped"
	// Lapsed means that the lease of the run expired.
	Lapsed RunOutcome = "lapsed"
	// Broken means that another member of the gang ended without being done.
	Broken RunOutcome = "broken"
	// Alone means that not all members of the gang started in time.
	Alone RunOutcome = "alone"
	// Lost means that the worker went away without reporting the end of the run.
	Lost RunOutcome = "lost"
)

const (
	// Limits of a job. The limit in bytes of the spec is a requirement of the
	// users; the number of tasks keeps a progress row within the size limit of a
	// row.
	maxSpec  = 4000
	maxTasks = 10000
	maxSteps = 100
	// maxDemand bounds each quantity of a task's demand, so that no sum over the
	// tasks of a job overflows.
	maxDemand = 1 << 40
	// maxScheduledTasks bounds the tasks of all occurrences of a job, since all of
	// them may be due at once.
	maxScheduledTasks = 1 << 20
	// maxSchedule bounds the time from the first to the last occurrence.
	maxSchedule = 40 * 365 * 24 * time.Hour
)

// FarFactor is the factor by which a task takes longer away from its data. The user
// documentation gives 3 for all sites.
const FarFactor = 3

// ErrInvalid is wrapped by errors about a malformed job or task identifier.
var ErrInvalid = errors.New("invalid job")

// Fits reports whether d does not exceed free in any resource.
func (d Demand) Fits(free Demand) bool {
	return d.Millicores <= free.Millicores && d.MemoryMiB <= free.MemoryMiB && d.Accelerators <= free.Accelerators
}

// Plus returns the sum of d and e.
func (d Demand) Plus(e Demand) Demand {
	return Demand{d.Millicores + e.Millicores, d.MemoryMiB + e.MemoryMiB, d.Accelerators + e.Accelerators}
}

// Minus returns the difference of d and e.
func (d Demand) Minus(e Demand) Demand {
	return Demand{d.Millicores - e.Millicores, d.MemoryMiB - e.MemoryMiB, d.Accelerators - e.Accelerators}
}

// Times returns d multiplied by n.
func (d Demand) Times(n int) Demand {
	return Demand{d.Millicores * int64(n), d.MemoryMiB * int64(n), d.Accelerators * int64(n)}
}

// Text returns the quantities that are not 0, with their units.
func (d Demand) Text() string {
	var parts []string
	for _, q := range [...]struct {
		amount int64
		unit   string
	}{{d.Millicores, "millicores"}, {d.MemoryMiB, "MiB"}, {d.Accelerators, "accelerators"}} {
		if q.amount != 0 {
			parts = append(parts, strconv.FormatInt(q.amount, 10)+" "+q.unit)
		}
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

// Footprint returns the resources that a task of the step occupies on a worker.
// Backfill tasks occupy no processor time, since they use only what is idle.
func (s *Step) Footprint() Demand {
	d := s.Demand
	if s.Backfill {
		d.Millicores = 0
	}
	return d
}

// Due returns the time at which occurrence k becomes due. For a job that runs
// once it is the time of acceptance.
func (j *Job) Due(k int) time.Time {
	if j.Times == 0 {
		return j.Accepted
	}
	return j.First.Add(time.Duration(k) * j.Interval)
}

// Occurrences returns the number of times that the graph runs.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// taskCount returns the number of tasks of one occurrence.
func (j *Job) taskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// CriticalPath returns the length of the critical path by estimated run times.
func (j *Job) CriticalPath() time.Duration {
	return j.criticalPath(func(*Step) int { return 1 })
}

// criticalPath returns the length of the critical path if each step takes its estimated
// run time as often as it has waves.
func (j *Job) criticalPath(waves func(*Step) int) time.Duration {
	// Few jobs have more steps. The array saves an allocation for each waiting step and
	// decision.
	var few [8]time.Duration
	longest := few[:]
	if len(j.Steps) > len(few) {
		longest = make([]time.Duration, len(j.Steps))
	}
	var criticalPath time.Duration
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			longest[i] = max(longest[i], longest[a])
		}
		longest[i] += time.Duration(waves(&j.Steps[i])) * j.Steps[i].Estimate
		criticalPath = max(criticalPath, longest[i])
	}
	return criticalPath
}

// Deadline returns the time by which occurrence k must be completed.
func (j *Job) Deadline(k int) time.Time {
	return j.deadline(k, j.CriticalPath())
}

// DeadlineInWaves returns the time by which occurrence k must be completed if the tasks of
// a step run in a number of waves, since the workspace may not run all of them at a time.
func (j *Job) DeadlineInWaves(k int, waves func(*Step) int) time.Time {
	return j.deadline(k, j.criticalPath(waves))
}

func (j *Job) deadline(k int, criticalPath time.Duration) time.Time {
	slack := time.Duration(j.Slack * float64(criticalPath))
	return j.Due(k).Add(slack + j.Objective)
}

// Check returns an error that wraps ErrInvalid if the graph cannot be run. Each
// step may depend only on steps that precede it.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > maxSpec:
		return fmt.Errorf("%w: spec of %d bytes, at most %d", ErrInvalid, len(j.Spec), maxSpec)
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return fmt.Errorf("%w: %d steps, want 1 to %d", ErrInvalid, len(j.Steps), maxSteps)
	case j.Times < 0 || j.Times > maxScheduledTasks || j.Times > 1 && (j.Interval <= 0 || j.Interval > maxSchedule/time.Duration(j.Times)):
		return fmt.Errorf("%w: %d occurrences at an interval of %v", ErrInvalid, j.Times, j.Interval)
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		d := s.Demand
		if s.Count < 1 || s.Count > maxTasks || !d.valid() || s.Estimate < 0 {
			return fmt.Errorf("%w: step %d: count, demand or estimate out of range", ErrInvalid, i)
		}
		for _, a := range s.After {
			// Dependencies on preceding steps only exclude cycles.
			if a < 0 || a >= i {
				return fmt.Errorf("%w: step %d: depends on step %d, which does not precede it", ErrInvalid, i, a)
			}
		}
		tasks += s.Count
	}
	if tasks > maxTasks {
		return fmt.Errorf("%w: %d tasks, at most %d", ErrInvalid, tasks, maxTasks)
	}
	if tasks*j.Occurrences() > maxScheduledTasks {
		return fmt.Errorf("%w: %d tasks in %d occurrences, at most %d in all", ErrInvalid, tasks, j.Times, maxScheduledTasks)
	}
	return nil
}

// valid reports whether each quantity is in the range that a task can demand.
func (d Demand) valid() bool {
	for _, n := range [...]int64{d.Millicores, d.MemoryMiB, d.Accelerators} {
		if n < 0 || n > maxDemand {
			return false
		}
	}
	return true
}

// String returns the job, occurrence, step and index, joined by dots.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTask parses the format of TaskID.String.
func ParseTask(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task %q: %w", s, ErrInvalid)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task %q: %w", s, ErrInvalid)
		}
		n[i] = v
	}
	return TaskID{Job: ID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

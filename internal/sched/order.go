package sched

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
)

type (
	// biasGroup identifies the jobs that share one correction of their declared
	// run times.
	biasGroup struct {
		workspace ident.Workspace
		class     jobs.Class
	}

	// rankedJob is a waiting job with its sort keys in the queue.
	rankedJob struct {
		job           *jobs.Job
		tier          int
		responseRatio float64
	}
)

const (
	// minRunTimeEstimate is the lower bound of an estimated run time. It
	// prevents jobs that declare a run time near zero from overtaking others
	// indefinitely.
	minRunTimeEstimate = 5 * time.Second
	// defaultRunTime is assumed for jobs without a declared run time.
	defaultRunTime = 10 * time.Minute
	// backgroundWeight scales the response ratio of background jobs, so that
	// they age more slowly.
	backgroundWeight = 0.5
	// minBiasSamples is the number of completed jobs that a group needs before
	// its declared run times are corrected.
	minBiasSamples = 5
)

// The tiers of the queue, in the order in which they are scheduled.
const (
	tierGuaranteed = iota
	tierUrgent
	tierOverdue
	tierOther
)

// orderQueue returns the jobs in scheduling order: jobs inside guarantees,
// urgent jobs, overdue large gangs, then the others by descending response
// ratio. The response ratio grows with the wait, so no job is delayed
// indefinitely. Within the other tiers, jobs are ordered by submission time.
func (p *plan) orderQueue(waiting []jobs.Job) []*jobs.Job {
	ranked := make([]rankedJob, len(waiting))
	for i := range waiting {
		j := &waiting[i]
		ranked[i] = rankedJob{job: j, tier: p.tier(j), responseRatio: p.responseRatio(j)}
	}
	slices.SortFunc(ranked, func(a, b rankedJob) int {
		if a.tier != b.tier || a.tier != tierOther {
			return cmp.Or(cmp.Compare(a.tier, b.tier), compareSubmission(a.job, b.job))
		}
		return cmp.Or(cmp.Compare(b.responseRatio, a.responseRatio), compareSubmission(a.job, b.job))
	})
	sorted := make([]*jobs.Job, len(ranked))
	for i, r := range ranked {
		sorted[i] = r.job
	}
	return sorted
}

func (p *plan) tier(j *jobs.Job) int {
	if j.Spec.Guaranteed {
		if _, ok := p.reservations.Match(j.Workspace, j.Spec.Shape); ok {
			return tierGuaranteed
		}
	}
	if j.Spec.Class == jobs.Urgent {
		return tierUrgent
	}
	if p.isOverdue(j) {
		return tierOverdue
	}
	return tierOther
}

// responseRatio returns the response ratio that j would have if it started now:
// one plus the wait divided by the remaining run time.
func (p *plan) responseRatio(j *jobs.Job) float64 {
	r := 1 + float64(p.now.Sub(j.Submitted))/float64(p.remainingRunTime(j, j.Saved))
	if j.Spec.Class == jobs.Background {
		r *= backgroundWeight
	}
	return r
}

// remainingRunTime estimates the run time that a job still needs after the
// given progress. A job that has overrun its estimate is assumed to need as
// much time again as it has run.
func (p *plan) remainingRunTime(j *jobs.Job, progress time.Duration) time.Duration {
	estimate := j.Spec.RunTime
	if estimate <= 0 {
		estimate = defaultRunTime
	}
	if bias, ok := p.bias[biasGroup{j.Workspace, j.Spec.Class}]; ok {
		estimate = time.Duration(float64(estimate) * bias)
	}
	if progress >= estimate {
		return max(progress, minRunTimeEstimate)
	}
	return max(estimate-progress, minRunTimeEstimate)
}

// runTimeBiases returns the median ratio of actual to declared run time of each
// group with enough samples.
func runTimeBiases(completed []CompletedRun) map[biasGroup]float64 {
	ratios := make(map[biasGroup][]float64)
	for _, run := range completed {
		if run.Declared > 0 && run.Actual > 0 {
			k := biasGroup{run.Workspace, run.Class}
			ratios[k] = append(ratios[k], math.Log(float64(run.Actual)/float64(run.Declared)))
		}
	}
	bias := make(map[biasGroup]float64, len(ratios))
	for k, r := range ratios {
		if len(r) >= minBiasSamples {
			slices.Sort(r)
			bias[k] = math.Exp(r[len(r)/2])
		}
	}
	return bias
}

// compareSubmission orders jobs by submission time, with names as tie-breakers.
func compareSubmission(a, b *jobs.Job) int {
	return cmp.Or(
		a.Submitted.Compare(b.Submitted),
		strings.Compare(string(a.Workspace), string(b.Workspace)),
		strings.Compare(string(a.ID), string(b.ID)),
	)
}

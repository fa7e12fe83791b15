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
	// biasKey groups jobs whose declared run times are wrong in the same way.
	biasKey struct {
		workspace ident.Workspace
		class     jobs.Class
	}

	// ranked is a waiting job with its place in the queue.
	ranked struct {
		job   *jobs.Job
		tier  int
		score float64
	}
)

const (
	// minEstimate is the shortest run time that an estimate can be. It keeps
	// a job that declares almost nothing from overtaking for ever.
	minEstimate = 5 * time.Second
	// unknownRunTime stands for a run time that was not declared.
	unknownRunTime = 10 * time.Minute
	// backgroundWeight slows the ageing of background jobs.
	backgroundWeight = 0.5
	// minPast is the number of ended jobs from which a bias is learned.
	minPast = 5
)

// The tiers of the queue.
const (
	tierClaim = iota
	tierUrgent
	tierDue
	tierOther
)

// ordered returns the jobs in the order in which they are considered: jobs
// inside guarantees, urgent jobs, large gangs that are due, then the others by response ratio. The ratio
// of wait to run time grows with the wait, so every job comes first one day.
func (p *plan) ordered(waiting []jobs.Job) []*jobs.Job {
	rank := make([]ranked, len(waiting))
	for i := range waiting {
		j := &waiting[i]
		rank[i] = ranked{job: j, tier: p.tier(j), score: p.ratio(j)}
	}
	slices.SortFunc(rank, func(a, b ranked) int {
		if a.tier != b.tier || a.tier != tierOther {
			return cmp.Or(cmp.Compare(a.tier, b.tier), compareAge(a.job, b.job))
		}
		return cmp.Or(cmp.Compare(b.score, a.score), compareAge(a.job, b.job))
	})
	sorted := make([]*jobs.Job, len(rank))
	for i, r := range rank {
		sorted[i] = r.job
	}
	return sorted
}

func (p *plan) tier(j *jobs.Job) int {
	if j.Spec.Guaranteed {
		if _, ok := p.book.Match(j.Workspace, j.Spec.Shape); ok {
			return tierClaim
		}
	}
	if j.Spec.Class == jobs.Urgent {
		return tierUrgent
	}
	if p.due(j) {
		return tierDue
	}
	return tierOther
}

// ratio returns the response ratio that j would have if it started now.
func (p *plan) ratio(j *jobs.Job) float64 {
	r := 1 + float64(p.now.Sub(j.Submitted))/float64(p.remaining(j, j.Saved))
	if j.Spec.Class == jobs.Background {
		r *= backgroundWeight
	}
	return r
}

// remaining estimates the run time that a job still needs after progress. A
// job that overruns its estimate is taken to need as much again.
func (p *plan) remaining(j *jobs.Job, progress time.Duration) time.Duration {
	est := j.Spec.RunTime
	if est <= 0 {
		est = unknownRunTime
	}
	if b, ok := p.bias[biasKey{j.Workspace, j.Spec.Class}]; ok {
		est = time.Duration(float64(est) * b)
	}
	if progress >= est {
		return max(progress, minEstimate)
	}
	return max(est-progress, minEstimate)
}

// biases returns the median ratio of actual to declared run time by group.
func biases(past []Past) map[biasKey]float64 {
	ratios := make(map[biasKey][]float64)
	for _, e := range past {
		if e.Declared > 0 && e.Actual > 0 {
			k := biasKey{e.Workspace, e.Class}
			ratios[k] = append(ratios[k], math.Log(float64(e.Actual)/float64(e.Declared)))
		}
	}
	bias := make(map[biasKey]float64, len(ratios))
	for k, r := range ratios {
		if len(r) >= minPast {
			slices.Sort(r)
			bias[k] = math.Exp(r[len(r)/2])
		}
	}
	return bias
}

func compareAge(a, b *jobs.Job) int {
	return cmp.Or(
		a.Submitted.Compare(b.Submitted),
		strings.Compare(string(a.Workspace), string(b.Workspace)),
		strings.Compare(string(a.ID), string(b.ID)),
	)
}

package lead

import (
	"cmp"
	"slices"

	"github.com/baobabquay/baobabquay/internal/graph"
)

// live reports whether the job's progress is stored and not its end: it has not ended,
// or placements of it are still to be stopped.
func (j *job) live() bool {
	p := j.progress
	return p.Ended == "" || len(j.placements) > 0 && p.Ended != graph.Completed
}

// compareCommitOrder orders the jobs whose changes wait for a transaction. After an
// outage of the store they fill several transactions. Ends come first, since they cannot
// be shown before they are stored; then progress, with the placements that wait to be
// started. Within both, urgent jobs come first, then those that were accepted first.
func compareCommitOrder(a, b *job) int {
	aRank, bRank := 0, 0
	if a.live() {
		aRank = 1
	}
	if b.live() {
		bRank = 1
	}
	x, y := a.progress.Job, b.progress.Job
	return cmp.Or(
		cmp.Compare(aRank, bRank), cmp.Compare(x.Priority, y.Priority), x.Accepted.Compare(y.Accepted), cmp.Compare(x.ID, y.ID),
	)
}

// dirtyJobs returns the jobs whose changes are to be stored, in the order in which the
// transactions take them.
func (t *term) dirtyJobs() []*job {
	var dirty []*job
	for _, j := range t.jobs {
		if j.dirty {
			dirty = append(dirty, j)
		}
	}
	slices.SortFunc(dirty, compareCommitOrder)
	return dirty
}

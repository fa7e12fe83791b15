package lead

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/expect"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/plan"
)

// Run times learned from the finished runs of the term. Only the goroutine of loop uses
// them.

type (
	// runTimes is what the term has learned about run times.
	runTimes struct {
		model *expect.Model
		// linesAt is the start of the second in which lines were logged last, lines
		// their number in it, and omitted the number of runs without a line since the
		// last line.
		linesAt time.Time
		lines   int
		omitted int
	}

	// queueErrors has the errors of run times by queue. It is safe for concurrent use.
	queueErrors struct {
		set     *metrics.Set
		mu      sync.Mutex
		byQueue map[string]runTimeErrors
	}

	// runTimeErrors has the relative errors of a queue.
	runTimeErrors struct {
		declared, expected *metrics.Histogram
	}
)

const (
	// highQuantile is the quantile of the run time that is logged and that decides
	// when a run has stalled.
	highQuantile = 0.9
	// learnedStallFactor times the time of a percent, by the high quantile of what is
	// expected, is the stall limit. Unlike stallFactor it does not cover wrong
	// estimates and runs away from their data.
	learnedStallFactor = 3
	// minStallShare bounds the learned stall limit by a share of the limit by the
	// declared time, so that a wrong expectation does not stop sound runs.
	minStallShare = 0.25
	// untilCancelled is the remaining time of a long-running task: longer than that of
	// any other on the sites.
	untilCancelled = 24 * time.Hour
	// maxRunTimeLines bounds the lines about run times in a second. A large site ends
	// about 100 runs in one.
	maxRunTimeLines = 20
	// maxQueueLabels bounds the queues that have their own metrics. The others share
	// the label otherQueues.
	maxQueueLabels = 64
	otherQueues    = "other"
)

// errorsByQueue has the metrics of the queues. It outlives a term, like the metrics.
var errorsByQueue = newQueueErrors(metrics.GetDefaultSet())

// newRunTimes returns what a term starts with: nothing, so that the declared times
// apply.
func newRunTimes() *runTimes { return &runTimes{model: expect.NewModel()} }

// learns reports whether the run times of a step are learned. Long-running tasks have
// none, and those of backfill tasks depend on what else runs on the worker.
func learns(s *graph.Step) bool { return !s.LongRunning && !s.Backfill }

// expect returns what is expected of the run time of a unit.
func (l *runTimes) expect(u graph.Unit) expect.Distribution {
	if s := u.Spec(); !learns(s) {
		return expect.Declared(s.Estimate)
	}
	return l.model.Expect(expect.KeyOf(u))
}

// expectUnit sets what is expected of a new placement, and returns the fields of its log
// line.
func (t *term) expectUnit(p *placement, near bool) []any {
	p.far = !near
	if t.runTimes == nil {
		return nil
	}
	d := t.runTimes.expect(p.Unit)
	p.expected = &d
	return []any{"declared", formatRunTime(p.Unit.Spec().Estimate), "expected", formatRunTime(d.Median()), "source", d.Source()}
}

// expectRunTimes sets the functions of a view that tell run times. What is expected of
// a unit is the median: it decides whether a unit is likely to meet its deadline, which
// a mean raised by a few long runs does not tell.
func (t *term) expectRunTimes(now time.Time, v *plan.View) {
	if t.runTimes == nil {
		return
	}
	medians := make(map[*graph.Step]time.Duration)
	v.Expected = func(u graph.Unit) time.Duration {
		step := u.Spec()
		if !learns(step) {
			return step.Estimate
		}
		median, known := medians[step]
		if !known {
			median = t.runTimes.model.Median(expect.KeyOf(u))
			medians[step] = median
		}
		return median
	}
	var byPlan map[*plan.Placement]*placement
	v.Remaining = func(p *plan.Placement) time.Duration {
		if byPlan == nil {
			byPlan = make(map[*plan.Placement]*placement, len(t.placements))
			for placed := range t.placements {
				byPlan[&placed.Placement] = placed
			}
		}
		return t.remaining(byPlan[p], now)
	}
}

// remaining returns the time that p is expected to take still. A run that was taken over
// counts from the start of the term, and one that has resumed from a checkpoint as if it
// had all its work to do.
func (t *term) remaining(p *placement, now time.Time) time.Duration {
	if p.Unit.Spec().LongRunning {
		return untilCancelled
	}
	d := t.runTimes.expect(p.Unit)
	elapsed := p.elapsed(now)
	if p.far {
		return graph.FarFactor * d.Remaining(elapsed/graph.FarFactor)
	}
	return d.Remaining(elapsed)
}

// observeRun has the model learn from the first end among the members of a placement:
// a gang ends together. Runs that have failed, were broken off by another member or made
// no progress tell nothing about the run time, nor do those that an earlier term has
// started.
func (t *term) observeRun(m *member, outcome graph.RunOutcome, now time.Time) {
	p := m.placement
	if t.runTimes == nil || p.observed || !learns(p.Unit.Spec()) {
		return
	}
	p.observed = true
	end := now
	switch outcome {
	case graph.Done:
	case graph.Stopped:
		if !p.preempted {
			return
		}
	case graph.Lapsed, graph.Lost:
		// The run was under way at least until it was listed last.
		end = m.listedAt
	default:
		return
	}
	start, ok := p.confirmedStart()
	if !ok || !end.After(start) {
		return
	}
	run := expect.Run{
		Key: expect.KeyOf(p.Unit), Elapsed: end.Sub(start), Far: p.far, Partial: outcome != graph.Done || p.resumed(),
	}
	if !run.Partial {
		t.reportRunTime(p, run, now)
	}
	t.runTimes.model.Observe(run)
}

// resumed reports whether a member of p was started from a checkpoint.
func (p *placement) resumed() bool {
	return slices.ContainsFunc(p.members, func(m *member) bool { return m.resumed })
}

// confirmedStart returns the instant from which on all members of p run: the last of the
// workers' confirmations. It reports false if one of them was not started in this term.
func (p *placement) confirmedStart() (time.Time, bool) {
	var start time.Time
	for _, m := range p.members {
		if !m.startSent || m.startedAt.IsZero() {
			return time.Time{}, false
		}
		confirmed := m.confirmedAt
		if confirmed.IsZero() {
			// The end has come before the answer to the start.
			confirmed = m.startedAt
		}
		if confirmed.After(start) {
			start = confirmed
		}
	}
	return start, !start.IsZero()
}

// reportRunTime logs and counts how far a run time was from the declared and the
// expected one.
func (t *term) reportRunTime(p *placement, run expect.Run, now time.Time) {
	if p.expected == nil {
		return
	}
	if !run.Far {
		errorsByQueue.update(run, p.expected)
	}
	l := t.runTimes
	if now.Sub(l.linesAt) >= time.Second {
		l.linesAt, l.lines = now, 0
	}
	if l.lines >= maxRunTimeLines {
		l.omitted++
		return
	}
	l.lines++
	t.Log.Write(event.RunTime, "job", string(p.job.progress.Job.ID), "step", p.Unit.Step, "run", p.run,
		"queue", run.Queue, "workspace", run.Workspace, "tasks", run.Members, "near", !run.Far,
		"declared", formatRunTime(run.Declared), "expected", formatRunTime(p.expected.Median()),
		"mean", formatRunTime(p.expected.Mean()), "p90", formatRunTime(p.expected.Quantile(highQuantile)),
		"actual", formatRunTime(run.Elapsed),
		"source", p.expected.Source(), "omitted", l.omitted)
	l.omitted = 0
}

// formatRunTime returns a run time with the precision that log lines need.
func formatRunTime(d time.Duration) string { return d.Round(time.Millisecond).String() }

// expectedStallLimit returns the time without progress after which a run of p counts as
// stalled by its expected run time, or by the declared one if nothing is learned.
func (p *placement) expectedStallLimit() time.Duration {
	declared := min(p.Unit.Spec().Estimate/fullPercent, maxStallLimit/stallFactor) * stallFactor
	if p.expected == nil || !p.expected.Known() {
		return declared
	}
	expected := p.expected.Quantile(highQuantile)
	if p.far {
		expected *= graph.FarFactor
	}
	learned := min(expected/fullPercent*learnedStallFactor, maxStallLimit)
	return max(learned, time.Duration(minStallShare*float64(declared)))
}

func newQueueErrors(set *metrics.Set) *queueErrors {
	return &queueErrors{set: set, byQueue: make(map[string]runTimeErrors)}
}

// update counts the errors of the declared and of the expected time, relative to the
// actual one.
func (q *queueErrors) update(run expect.Run, d *expect.Distribution) {
	q.mu.Lock()
	defer q.mu.Unlock()
	label := run.Queue
	e, known := q.byQueue[label]
	if !known && len(q.byQueue) >= maxQueueLabels {
		label = otherQueues
		e, known = q.byQueue[label]
	}
	if !known {
		e = runTimeErrors{
			declared: q.set.GetOrCreateHistogram(fmt.Sprintf("baobabquay_run_time_error{queue=%q,source=%q}", label, "declared")),
			expected: q.set.GetOrCreateHistogram(fmt.Sprintf("baobabquay_run_time_error{queue=%q,source=%q}", label, "learned")),
		}
		q.byQueue[label] = e
	}
	e.declared.Update(relativeError(run.Declared, run.Elapsed))
	if d.Known() {
		e.expected.Update(relativeError(d.Median(), run.Elapsed))
	}
}

func relativeError(expected, actual time.Duration) float64 {
	return (expected - actual).Abs().Seconds() / actual.Seconds()
}

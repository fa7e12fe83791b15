package lead

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/event"
)

// steps holds the times of the steps of a take-over, for the log.
type steps struct {
	// firstReportAt is the time of the first report of a worker in the term.
	firstReportAt time.Time
	// started reports whether the first start of the term was sent.
	started bool
}

// takeOverSeconds is the time from the last change of the former lease to the first
// start of the next term.
var takeOverSeconds = metrics.NewHistogram("baobabquay_takeover_first_start_seconds")

// noteReport records the time of the first report of a worker.
func (s *steps) noteReport() {
	if s.firstReportAt.IsZero() {
		s.firstReportAt = time.Now()
	}
}

// logFirstStart logs the first start of the term and how long the steps took.
func (t *term) logFirstStart() {
	if t.steps.started {
		return
	}
	t.steps.started = true
	fields := []any{"epoch", t.Epoch, "age", time.Since(t.startedAt).String()}
	if !t.steps.firstReportAt.IsZero() {
		fields = append(fields, "firstReport", t.steps.firstReportAt.Sub(t.startedAt).String())
	}
	if !t.FormerChange.IsZero() {
		gap := time.Since(t.FormerChange)
		takeOverSeconds.Update(gap.Seconds())
		fields = append(fields, "gap", gap.String())
	}
	t.Log.Write(event.FirstStart, fields...)
}

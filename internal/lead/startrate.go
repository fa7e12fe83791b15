package lead

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Load pattern: a new leader places all tasks of a site at once, such as after a power
// loss, over a slow link. Starts that queue there for longer than their time limit are
// sent again, which keeps the link full: reports and lease renewals come too late.

const (
	// startShare is the share of the instance's link that starts may use. The rest is for
	// reports, lease renewals and calls of the store.
	startShare = 0.4
	// startBurst is the time of the link that starts may use at once. It is below the
	// time limit of an order, 0.35 s.
	startBurst = 200 * time.Millisecond
	// startOverhead is the size in bytes of a start beside its specification: the headers
	// of the call and of its packets.
	startOverhead = 700
	// startRetryInterval is the time after which placements that wait for the link, or for
	// the leader's lease, are considered again.
	startRetryInterval = 20 * time.Millisecond
)

// startLimiter bounds the bytes of starts. It is nil if there is no bound.
type startLimiter struct{ *rate.Limiter }

// newStartLimiter returns a limiter for a link of the given rate in bytes per second, or
// nil if that is 0.
func newStartLimiter(link float64) *startLimiter {
	if link <= 0 {
		return nil
	}
	return &startLimiter{rate.NewLimiter(rate.Limit(startShare*link), int(startBurst.Seconds()*link))}
}

// allow reports whether p may start now. The starts of a gang are sent at once, so a gang
// that exceeds the burst starts when the whole burst is available.
func (l *startLimiter) allow(p *placement, now time.Time) bool {
	if l == nil {
		return true
	}
	size := p.remaining * (startOverhead + len(p.job.progress.Job.Spec))
	return l.AllowN(now, min(size, l.Burst()))
}

// startOrder returns the unstarted placements, urgent ones first and then those that were
// placed first, so that a gang is not overtaken by smaller starts for ever.
func (t *term) startOrder() []*placement {
	list := make([]*placement, 0, len(t.unstarted))
	for p := range t.unstarted {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(a.job.progress.Job.Priority, b.job.progress.Job.Priority), a.placedAt.Compare(b.placedAt),
			cmp.Compare(a.job.progress.Job.ID, b.job.progress.Job.ID), cmp.Compare(a.run, b.run))
	})
	return list
}

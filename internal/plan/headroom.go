package plan

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/pool"
)

// Urgent gangs that come in quick succession would preempt, each time, what has
// just been placed on the capacity that the gang before has left.

type (
	// Peak is the highest value of a series within the last peakWindow. The zero
	// value has no values.
	Peak struct {
		// samples are in ascending order of time and descending order of value.
		samples []sample
	}

	sample struct {
		at    time.Time
		value int64
	}
)

// peakWindow is the time for which capacity is kept for urgent work after urgent
// work has used it.
const peakWindow = 4 * time.Second

// Observe adds a value of the series.
func (p *Peak) Observe(now time.Time, value int64) {
	for n := len(p.samples); n > 0 && p.samples[n-1].value <= value; n-- {
		p.samples = p.samples[:n-1]
	}
	p.samples = append(p.samples, sample{now, value})
}

// Max returns the highest value within the last peakWindow.
func (p *Peak) Max(now time.Time) int64 {
	for len(p.samples) > 1 && now.Sub(p.samples[0].at) > peakWindow {
		p.samples = p.samples[1:]
	}
	if len(p.samples) == 0 || now.Sub(p.samples[0].at) > peakWindow {
		return 0
	}
	return p.samples[0].value
}

// SpareAccelerators returns, by service, the free accelerators that units without
// urgency may use: those beyond what urgent units have used recently and do not use
// now. It adds the present use to v.UrgentPeaks, and the accelerators that are kept to
// v.Kept.
func SpareAccelerators(now time.Time, v *View) map[string]int64 {
	if v.UrgentPeaks == nil {
		return nil
	}
	free := make(map[string]int64)
	v.Pool.Each(func(w *pool.Worker) {
		if !w.Closed && !now.Before(w.QuarantinedUntil) {
			free[w.Service] += max(w.Free().Accelerators, 0)
		}
	})
	used := make(map[string]int64)
	for _, p := range v.Placements {
		if job := p.Unit.Progress.Job; !p.Stopping && Urgent(job) {
			used[job.Service] += accelerators(p.Unit)
		}
	}
	for service := range free {
		peak := v.UrgentPeaks[service]
		if peak == nil {
			peak = new(Peak)
			v.UrgentPeaks[service] = peak
		}
		peak.Observe(now, used[service])
		kept := max(peak.Max(now)-used[service], 0)
		free[service] -= kept
		v.Kept += kept
	}
	return free
}

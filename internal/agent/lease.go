package agent

import "time"

// grantLease returns the end of a lease granted now. The caller must hold mu.
func (a *Agent) grantLease(now time.Time) Clock {
	bound := a.LastRenewal().Add(a.Limits.Bound)
	end := now.Add(a.Limits.Lease)
	if bound.Before(end) {
		end = bound
	}
	// The worker's clock may have run slow since it was read.
	clock := a.workerClock + time.Duration(float64(now.Sub(a.clockReadAt))*minClockSpeed)
	until := clock + end.Sub(now)
	a.leaseEnd = max(a.leaseEnd, until)
	return until
}

// maxLeaseDuration returns the time after which a lease that is granted now has
// certainly expired.
func (a *Agent) maxLeaseDuration() time.Duration {
	return time.Duration(float64(a.Limits.Bound)/minClockSpeed) + runEndMargin
}

// leasesExpired reports whether all leases on the worker have certainly expired.
// The caller must hold mu. A worker that was never reached may hold leases of a
// former leader. They end at the latest Bound after that leader's last renewal,
// and so Bound after the start of this term.
func (a *Agent) leasesExpired() bool {
	if a.clockReadAt.IsZero() {
		return time.Since(a.created) > a.maxLeaseDuration()
	}
	if time.Now().Before(a.otherLeaseEnd) {
		return false
	}
	passed := time.Duration(float64(time.Since(a.clockReadAt)) * minClockSpeed)
	return a.workerClock+passed > a.leaseEnd+runEndMargin
}

// silentForLease reports whether the worker has been silent for as long as a lease that
// its last call could have renewed. During an outage of the store leases end sooner, and
// a worker that is cut off for a moment then may have ended runs that it has not listed
// yet. The caller must hold mu.
func (a *Agent) silentForLease() bool {
	return a.clockReadAt.IsZero() || time.Since(a.lastReport) > a.Limits.Lease
}

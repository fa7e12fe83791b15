package share

import "time"

// Bucket tells the jobs of a workspace that come within its weight in jobs per second from
// those beyond it. It is a token bucket that holds the jobs of one second, and at least
// one. The zero value is full.
type Bucket struct {
	// missing is the number of jobs that the bucket lacks from being full, at the time at.
	missing float64
	at      time.Time
}

// Take reports whether a job that was accepted at the given time is within the rate, in
// jobs per second, and takes it out of the bucket if it is. Acceptances may come somewhat
// out of order; an earlier one counts as one at the time of the last.
func (b *Bucket) Take(at time.Time, rate float64) bool {
	if at.After(b.at) {
		if !b.at.IsZero() {
			b.missing = max(b.missing-rate*at.Sub(b.at).Seconds(), 0)
		}
		b.at = at
	}
	if size := max(rate, 1); b.missing+1 > size {
		// A lowered rate leaves at most an empty bucket.
		b.missing = min(b.missing, size)
		return false
	}
	b.missing++
	return true
}

package admit

import (
	"hash/fnv"
	"time"
)

type (
	// Kind is the way in which the store refuses calls.
	Kind int

	// outage is what an instance knows of the store from its own calls.
	outage struct {
		// refusing reports whether the last answer was a refusal.
		refusing bool
		kind     Kind
		// since is the time of the first refusal after the last answer, and last
		// that of the latest one.
		since time.Time
		last  time.Time
	}
)

// The kinds of refusal.
const (
	// Refusing means that the store answers that it is not available.
	Refusing Kind = iota
	// Busy means that the store works but has too many transactions queued.
	Busy
	// Unreached means that the instance cannot open a connection to the store.
	// Other instances may reach it.
	Unreached
)

const (
	// outageGap is the time without a refusal after which the next one counts as
	// the begin of another outage. One of 45 instances gets a submission in 5 s on
	// average, so that there may be no answer between two outages. Outages last 4
	// to 6 s.
	outageGap = 6 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry time before it is spread. A
	// caller has four further attempts and is not known to wait longer; the upper
	// bound keeps it from missing the return of the store by more than 8 s.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
	// retryAgeShare is the part of the age of an outage that a caller is asked to
	// wait. An outage that has lasted for some time is likely to last as long again,
	// so that two of the four attempts fall within it.
	retryAgeShare = 0.5
	// spread is the width of the range over which the callers are spread, as a
	// part of the retry time.
	spread = 1.0
)

// refused records a refusal.
func (o *outage) refused(now time.Time, kind Kind) {
	if !o.refusing || now.Sub(o.last) > outageGap {
		o.since = now
	}
	o.refusing, o.kind, o.last = true, kind, now
}

// answered records that the store has taken a submission.
func (o *outage) answered() { o.refusing = false }

// age returns how long the store has refused calls, 0 if it does not.
func (o *outage) age(now time.Time) time.Duration {
	if !o.refusing || now.Sub(o.last) > outageGap {
		return 0
	}
	return now.Sub(o.since)
}

// retryAfter returns the time after which the caller of the job may try again. It
// grows with the age of the outage. A busy store clears its queue within a second,
// and another instance may reach a store that this one does not, so for these the
// time stays at its minimum. The hash of the identifier spreads the callers over whole
// seconds, the unit of the answer.
func (o *outage) retryAfter(now time.Time, id string) time.Duration {
	base := minRetryAfter
	if o.kind == Refusing {
		base = min(max(time.Duration(retryAgeShare*float64(o.age(now))), minRetryAfter), maxRetryAfter)
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	const steps = 1000
	after := base + time.Duration(spread*float64(base)*float64(h.Sum32()%steps)/steps)
	return after.Round(time.Second)
}

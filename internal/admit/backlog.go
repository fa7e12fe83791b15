package admit

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Limits bound the waiting submissions of an instance. Fields that are 0 have
	// their default.
	Limits struct {
		// Waiting is the largest number of submissions that wait at a time.
		Waiting int
		// ProbePause is the mean pause between two tries while the store refuses,
		// ReleasePause the pause once it has taken one.
		ProbePause   time.Duration
		ReleasePause time.Duration
	}

	// Entry is a submission that the store has refused.
	Entry struct {
		// Priority is that of the job; 0 is urgent.
		Priority int
		// Until is the end of the wait.
		Until time.Time
		// Tries counts the tries that Next has granted.
		Tries int
		// number is the position in the order of the first refusals, 0 for an entry
		// that the backlog has not counted.
		number int64
	}

	// Backlog holds the submissions that wait for the store. It is not safe for
	// concurrent use.
	Backlog struct {
		limits Limits
		random func() float64
		store  outage
		// waiting are the entries that wait for a try, in the order of their latest
		// refusals.
		waiting []*Entry
		// held counts the entries that wait or are being tried.
		held int
		// next is the earliest time of the next try.
		next time.Time
		// numbered is the number of the entry that was counted last.
		numbered int64
	}

	// Reason tells whether a refused submission waits, and otherwise why not.
	Reason string
)

// The reasons.
const (
	// Waits means that the submission waits for its next try.
	Waits Reason = ""
	// Ended means that its wait has ended.
	Ended Reason = "ended"
	// Short means that its wait would end before the store is tried again, so that
	// it is refused at once.
	Short Reason = "short"
	// Full means that as many submissions wait as the limits allow.
	Full Reason = "full"
)

const (
	// defaultWaiting keeps the waiting submissions below 32 MiB, of 184 MiB at the
	// smallest instance: a body has up to 256 KiB, its row up to 64 KiB.
	defaultWaiting = 64
	// defaultProbePause is the mean pause between two tries while the store
	// refuses. With one call in each pause, 45 instances that all have waiting
	// submissions make 300 calls a second, of 1,200 that the store takes.
	defaultProbePause = 150 * time.Millisecond
	// probeJitter is the part of ProbePause by which pauses vary in both directions,
	// so that the instances do not call the store at the same time.
	probeJitter = 1.0 / 3
	// busyFactor times ProbePause is the mean pause while the store is busy. Tries then
	// take places in its queue that the leader's transactions need. In replays of a
	// store that is 70 times slower, the factor 4 leaves the number of calls as it is
	// without waiting (1 gives 1.7 times as many), and with 8 tries come too late.
	busyFactor = 4
	// defaultReleasePause lets a full backlog drain in little more than the longest
	// wait. A store that cannot keep up refuses, which restores ProbePause.
	defaultReleasePause = 20 * time.Millisecond
	// objectiveShare is the largest part of a job's objective that it waits. A caller that
	// is refused within a quarter of the objective can still have the job in time by another
	// try; the rest covers the way of the answer and the delay of a busy instance.
	objectiveShare = 0.2
	// answerTime is the time that is left for the last try: a store that is 70 times
	// slower than usual answers in 0.3 s, and a try that is cut off has an unknown
	// outcome.
	answerTime = 350 * time.Millisecond
)

// New returns an empty backlog. The function random returns numbers in [0, 1).
func New(l Limits, random func() float64) *Backlog {
	l.Waiting = cmp.Or(l.Waiting, defaultWaiting)
	l.ProbePause = cmp.Or(l.ProbePause, defaultProbePause)
	l.ReleasePause = cmp.Or(l.ReleasePause, defaultReleasePause)
	return &Backlog{limits: l, random: random}
}

// Until returns the end of the wait of a submission that arrived at the given time:
// after the longest wait, but within objectiveShare of its objective and answerTime
// before its caller's deadline. A zero deadline means that there is none.
func Until(arrived time.Time, longest, objective time.Duration, deadline time.Time) time.Time {
	until := arrived.Add(min(longest, time.Duration(objectiveShare*float64(objective))))
	if latest := deadline.Add(-answerTime); !deadline.IsZero() && latest.Before(until) {
		return latest
	}
	return until
}

// Refused records that the store has refused e, and lets it wait for its next try
// if there is time and room. The entry leaves the backlog if the result is not
// Waits.
func (b *Backlog) Refused(now time.Time, kind Kind, e *Entry) Reason {
	restart := !b.store.refusing || len(b.waiting) == 0 && now.After(b.next)
	b.store.refused(now, kind)
	if restart {
		b.next = now.Add(b.probePause())
	}
	known := e.number > 0
	switch {
	case known && !e.Until.After(now):
		b.Leave(e)
		return Ended
	case !known && (!e.Until.After(now) || b.next.After(e.Until)):
		return Short
	case !known && b.held >= b.limits.Waiting:
		return Full
	}
	if !known {
		b.numbered++
		b.held++
		e.number = b.numbered
	}
	b.waiting = append(b.waiting, e)
	return Waits
}

// Answered records that the store has taken a submission. The waiting ones are then
// released.
func (b *Backlog) Answered(now time.Time) {
	if b.store.refusing {
		b.next = now
	}
	b.store.answered()
}

// Leave removes e from the backlog. It has no effect on an entry that is not in it.
func (b *Backlog) Leave(e *Entry) {
	if e.number == 0 {
		return
	}
	e.number = 0
	b.held--
	b.waiting = slices.DeleteFunc(b.waiting, func(other *Entry) bool { return other == e })
}

// Held returns the number of entries that wait or are being tried.
func (b *Backlog) Held() int { return b.held }

// Next returns the entry that is to be tried now, which no longer waits but stays in
// the backlog until Refused or Leave. If none is due, it returns nil and the time
// until one is, 0 if none waits.
//
// While the store refuses, the entries take turns in the order of their latest
// refusals, since any of them shows whether the store is back. After that the urgent
// ones come first, then those that have waited longest.
func (b *Backlog) Next(now time.Time) (*Entry, time.Duration) {
	if len(b.waiting) == 0 {
		return nil, 0
	}
	if pause := b.next.Sub(now); pause > 0 {
		return nil, pause
	}
	chosen := 0
	if b.store.refusing {
		b.next = now.Add(b.probePause())
	} else {
		b.next = now.Add(b.limits.ReleasePause)
		for i, e := range b.waiting {
			if e.before(b.waiting[chosen]) {
				chosen = i
			}
		}
	}
	e := b.waiting[chosen]
	b.waiting = slices.Delete(b.waiting, chosen, chosen+1)
	e.Tries++
	return e, 0
}

// before reports whether e is released before other.
func (e *Entry) before(other *Entry) bool {
	return cmp.Or(cmp.Compare(e.Priority, other.Priority), cmp.Compare(e.number, other.number)) < 0
}

// RetryAfter returns the time after which the refused caller of the job may try
// again.
func (b *Backlog) RetryAfter(now time.Time, id string) time.Duration {
	return b.store.retryAfter(now, id)
}

// Age returns how long the store has refused submissions, 0 if it does not.
func (b *Backlog) Age(now time.Time) time.Duration { return b.store.age(now) }

// probePause returns the pause until the next try while the store refuses.
func (b *Backlog) probePause() time.Duration {
	pause := b.limits.ProbePause
	if b.store.kind == Busy {
		pause *= busyFactor
	}
	return time.Duration(float64(pause) * (1 + probeJitter*(2*b.random()-1)))
}

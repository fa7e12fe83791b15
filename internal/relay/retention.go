package relay

import (
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// retentionList lists the retained flights, oldest first, to bound their
	// number and size. Submissions find the flights in the sharded map.
	retentionList struct {
		mu       sync.Mutex
		flights  []*flight
		sizes    []shape.Bytes
		bytes    shape.Bytes
		maxCount int
		maxBytes shape.Bytes
	}
)

// flightOverhead is the approximate size of a flight without the body of its
// answer.
const flightOverhead = 512

// retain adds an ended flight to the retained ones, and evicts the oldest ones
// that have expired or exceed the bounds.
func (r *Relay) retain(f *flight, now time.Time) {
	for _, evicted := range r.retained.add(f, flightOverhead+shape.Bytes(len(f.answer.Body)), now) {
		r.flights.Update(evicted.key, func(current *flight, ok bool) (*flight, bool) {
			return current, ok && current != evicted
		})
	}
}

// add appends a flight and returns the flights that are evicted.
func (l *retentionList) add(f *flight, size shape.Bytes, now time.Time) []*flight {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flights = append(l.flights, f)
	l.sizes = append(l.sizes, size)
	l.bytes += size
	n := 0
	for n < len(l.flights) && l.mustEvict(n, now) {
		l.bytes -= l.sizes[n]
		n++
	}
	evicted := append([]*flight(nil), l.flights[:n]...)
	clear(l.flights[:n])
	l.flights, l.sizes = l.flights[n:], l.sizes[n:]
	return evicted
}

func (l *retentionList) mustEvict(i int, now time.Time) bool {
	return now.After(l.flights[i].expires) || len(l.flights)-i > l.maxCount || l.bytes > l.maxBytes
}

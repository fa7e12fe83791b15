package relay

import (
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// memory lists the remembered flights, oldest first, to bound their number
	// and size. The flights themselves are in the sharded map.
	memory struct {
		mu       sync.Mutex
		list     []*flight
		sizes    []shape.Bytes
		bytes    shape.Bytes
		maxCount int
		maxBytes shape.Bytes
	}
)

// flightCost is the approximate size of a flight without its answer's body.
const flightCost = 512

// remember adds an ended flight to the memory and forgets the oldest ones
// beyond the bounds.
func (r *Relay) remember(f *flight, now time.Time) {
	for _, old := range r.memory.add(f, flightCost+shape.Bytes(len(f.answer.Body)), now) {
		r.flights.Update(old.key, func(present *flight, ok bool) (*flight, bool) {
			return present, ok && present != old
		})
	}
}

func (m *memory) add(f *flight, size shape.Bytes, now time.Time) []*flight {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, f)
	m.sizes = append(m.sizes, size)
	m.bytes += size
	n := 0
	for n < len(m.list) && m.evicts(n, now) {
		m.bytes -= m.sizes[n]
		n++
	}
	old := append([]*flight(nil), m.list[:n]...)
	clear(m.list[:n])
	m.list, m.sizes = m.list[n:], m.sizes[n:]
	return old
}

func (m *memory) evicts(i int, now time.Time) bool {
	return now.After(m.list[i].expires) || len(m.list)-i > m.maxCount || m.bytes > m.maxBytes
}

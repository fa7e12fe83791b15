package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

type (
	// Map is a hash map in parts, each under its own lock. The zero value is
	// not usable; use New.
	Map[K ~string, V any] struct {
		parts []part[K, V]
	}

	part[K ~string, V any] struct {
		mu sync.Mutex
		m  map[K]V
	}
)

// New returns an empty map of n parts. It panics if n is less than 1.
func New[K ~string, V any](n int) *Map[K, V] {
	if n < 1 {
		panic("shard: number of parts is less than 1")
	}
	m := &Map[K, V]{parts: make([]part[K, V], n)}
	for i := range m.parts {
		m.parts[i].m = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) part(k K) *part[K, V] {
	return &m.parts[xxhash.Sum64String(string(k))%uint64(len(m.parts))]
}

// Load returns the value of k and whether it is present.
func (m *Map[K, V]) Load(k K) (V, bool) {
	p := m.part(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.m[k]
	return v, ok
}

// Store sets the value of k.
func (m *Map[K, V]) Store(k K, v V) {
	p := m.part(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.m[k] = v
}

// LoadOrStore returns the value of k if present. Otherwise it stores and
// returns the result of create. The second result is true if the value was
// present before.
func (m *Map[K, V]) LoadOrStore(k K, create func() V) (V, bool) {
	p := m.part(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	if v, ok := p.m[k]; ok {
		return v, true
	}
	v := create()
	p.m[k] = v
	return v, false
}

// Update replaces the value of k by the result of f, which gets the present
// value and whether there is one. The value is removed if f returns false.
func (m *Map[K, V]) Update(k K, f func(v V, ok bool) (V, bool)) {
	p := m.part(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.m[k]
	v, keep := f(old, ok)
	if !keep {
		delete(p.m, k)
		return
	}
	p.m[k] = v
}

// Delete removes k.
func (m *Map[K, V]) Delete(k K) {
	p := m.part(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.m, k)
}

// Len returns the number of values. Parts are counted one after another, so
// the sum may never have been true at one instant.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.parts {
		p := &m.parts[i]
		p.mu.Lock()
		n += len(p.m)
		p.mu.Unlock()
	}
	return n
}

// Range calls f for each value of a copy of each part, until f returns false.
// No lock is held during the calls.
func (m *Map[K, V]) Range(f func(k K, v V) bool) {
	for i := range m.parts {
		for k, v := range m.parts[i].snapshot() {
			if !f(k, v) {
				return
			}
		}
	}
}

func (p *part[K, V]) snapshot() map[K]V {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := make(map[K]V, len(p.m))
	for k, v := range p.m {
		c[k] = v
	}
	return c
}

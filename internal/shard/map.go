package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

type (
	// Map is a hash map that is split into shards, each under its own lock. It is
	// safe for concurrent use. The zero value is not usable; use New.
	Map[K ~string, V any] struct {
		shards []shard[K, V]
	}

	shard[K ~string, V any] struct {
		mu sync.Mutex
		m  map[K]V
	}
)

// New returns an empty map with n shards. It panics if n is less than 1.
func New[K ~string, V any](n int) *Map[K, V] {
	if n < 1 {
		panic("shard: number of shards is less than 1")
	}
	m := &Map[K, V]{shards: make([]shard[K, V], n)}
	for i := range m.shards {
		m.shards[i].m = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shardOf(k K) *shard[K, V] {
	return &m.shards[xxhash.Sum64String(string(k))%uint64(len(m.shards))]
}

// Load returns the value of k and whether k is present.
func (m *Map[K, V]) Load(k K) (V, bool) {
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[k]
	return v, ok
}

// Store sets the value of k.
func (m *Map[K, V]) Store(k K, v V) {
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[k] = v
}

// LoadOrStore returns the value of k if k is present. Otherwise it stores and
// returns the result of create. The second result reports whether k was present.
func (m *Map[K, V]) LoadOrStore(k K, create func() V) (V, bool) {
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.m[k]; ok {
		return v, true
	}
	v := create()
	s.m[k] = v
	return v, false
}

// Update calls f with the value of k and whether k is present, and stores the
// value that f returns. If f returns false, it removes k.
func (m *Map[K, V]) Update(k K, f func(v V, ok bool) (V, bool)) {
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.m[k]
	v, keep := f(old, ok)
	if !keep {
		delete(s.m, k)
		return
	}
	s.m[k] = v
}

// Delete removes k.
func (m *Map[K, V]) Delete(k K) {
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, k)
}

// Len returns the number of keys. Shards are counted one after another, so under
// concurrent changes the map may never have had this number of keys.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.m)
		s.mu.Unlock()
	}
	return n
}

// Range calls f for each key and value until f returns false. It copies one shard
// at a time, and no lock is held during the calls.
func (m *Map[K, V]) Range(f func(k K, v V) bool) {
	for i := range m.shards {
		for k, v := range m.shards[i].snapshot() {
			if !f(k, v) {
				return
			}
		}
	}
}

func (s *shard[K, V]) snapshot() map[K]V {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make(map[K]V, len(s.m))
	for k, v := range s.m {
		entries[k] = v
	}
	return entries
}

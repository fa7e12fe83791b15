package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Load pattern: a job with hundreds of small tasks on one worker is cancelled, or a wide
// gang is started there, and the worker is in another region. An order takes a round trip
// of 40 ms, so that a few connections carry a hundred orders a second.

// orderSlots bounds the orders to one worker that are under way at a time. More are
// permitted the more orders there are, so that a backlog takes about the time of a few
// round trips and a few orders open no further connections.
type orderSlots struct {
	mu     sync.Mutex
	active int
	// waiting has a channel for each order that waits, in the order of arrival. It is
	// closed when the order may be sent.
	waiting []chan struct{}
}

const (
	// MaxOrders is the largest number of orders to one worker that are under way at a
	// time. With the call that holds its leases they take half of the 64 connections of a
	// worker, so that a former leader and its successor both have theirs.
	MaxOrders = 31
	// minOrders is the number of orders that are sent at once however few there are.
	minOrders = 3
	// ordersPerSlot is the number of orders for which a slot is kept.
	ordersPerSlot = 4
)

// orderWaitSeconds is the time for which an order waits for others to its worker.
var orderWaitSeconds = metrics.NewHistogram("baobabquay_order_wait_seconds")

// limit returns the number of orders that may be under way. The caller must hold mu.
func (s *orderSlots) limit() int {
	return min(max((s.active+len(s.waiting))/ordersPerSlot, minOrders), MaxOrders)
}

// acquire waits until an order may be sent. The caller releases it after the answer.
func (s *orderSlots) acquire(ctx context.Context) error {
	ready, begun := make(chan struct{}), time.Now()
	s.mu.Lock()
	s.waiting = append(s.waiting, ready)
	s.admit()
	s.mu.Unlock()
	select {
	case <-ready:
		orderWaitSeconds.Update(time.Since(begun).Seconds())
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == ready {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return fmt.Errorf("wait to send an order: %w", ctx.Err())
		}
	}
	// It was admitted in the meantime.
	s.active--
	s.admit()
	return fmt.Errorf("wait to send an order: %w", ctx.Err())
}

// release ends an order that was under way.
func (s *orderSlots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.admit()
}

// admit admits the orders that have waited longest. The caller must hold mu.
func (s *orderSlots) admit() {
	for len(s.waiting) > 0 && s.active < s.limit() {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.active++
	}
}

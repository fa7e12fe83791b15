package limit

import (
	"context"
	"fmt"
	"sync"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/pkg/errors"
)

type (
	// QueueSettings bound a queue.
	QueueSettings struct {
		// Bound is the number of requests that may wait.
		Bound int
		// Weight returns the weight of a workspace. A weight below 1 counts
		// as 1. It is called under the queue's lock.
		Weight func(ws ident.Workspace) int
	}

	// Queue admits requests of one service. It is safe for concurrent use.
	// Use NewQueue.
	Queue struct {
		mu       sync.Mutex
		settings QueueSettings
		capacity int
		admitted int
		waiting  int
		tenants  map[ident.Workspace]*tenant
		// turn numbers the admissions, to serve equal tenants in turn.
		turn int
	}

	// tenant is the part of a queue that belongs to one workspace.
	tenant struct {
		workspace ident.Workspace
		weight    float64
		admitted  int
		waiting   int
		lastTurn  int
		classes   [classCount][]*waiter
	}

	waiter struct {
		// ready receives nil when the request is admitted and ErrShed when
		// it is refused. Its capacity of 1 keeps the sender from blocking.
		ready chan error
	}
)

const classCount = int(jobs.Background) + 1

// ErrShed means that the queue is full and that this request was refused.
var ErrShed = errors.New("queue is full")

// NewQueue returns a queue with capacity 0.
func NewQueue(s QueueSettings) *Queue {
	return &Queue{settings: s, tenants: make(map[ident.Workspace]*tenant)}
}

// SetCapacity sets the number of requests that may be admitted at once.
func (q *Queue) SetCapacity(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = n
	q.admit()
}

// SetBound sets the number of requests that may wait. Requests that wait
// already are not refused.
func (q *Queue) SetBound(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settings.Bound = n
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Acquire waits until the request is admitted. It returns ErrShed if the
// request is refused, and the context's error if that ends first. Each nil
// result requires one Release.
func (q *Queue) Acquire(ctx context.Context, ws ident.Workspace, class jobs.Class) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("before waiting: %w", err)
	}
	w := q.enqueue(ws, class)
	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
	}
	if q.remove(ws, class, w) {
		return fmt.Errorf("waiting for a place: %w", ctx.Err())
	}
	// The decision was made at the same instant; an admission is handed back.
	if err := <-w.ready; err != nil {
		return err
	}
	q.Release(ws)
	return fmt.Errorf("waiting for a place: %w", ctx.Err())
}

// Release returns the place of an admitted request of the workspace.
func (q *Queue) Release(ws ident.Workspace) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.tenants[ws]
	t.admitted--
	q.admitted--
	q.drop(t)
	q.admit()
}

func (q *Queue) enqueue(ws ident.Workspace, class jobs.Class) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &waiter{ready: make(chan error, 1)}
	t := q.tenant(ws)
	t.classes[class] = append(t.classes[class], w)
	t.waiting++
	q.waiting++
	q.admit()
	if q.waiting > q.settings.Bound {
		q.shed()
	}
	return w
}

func (q *Queue) tenant(ws ident.Workspace) *tenant {
	t, ok := q.tenants[ws]
	if !ok {
		t = &tenant{workspace: ws}
		q.tenants[ws] = t
	}
	// A new configuration may have changed the weight.
	t.weight = float64(max(1, q.settings.Weight(ws)))
	return t
}

// drop forgets a tenant that has nothing in the queue.
func (q *Queue) drop(t *tenant) {
	if t.admitted == 0 && t.waiting == 0 {
		delete(q.tenants, t.workspace)
	}
}

func (q *Queue) remove(ws ident.Workspace, class jobs.Class, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	t, ok := q.tenants[ws]
	if !ok {
		return false
	}
	for i, o := range t.classes[class] {
		if o == w {
			q.take(t, int(class), i)
			q.drop(t)
			return true
		}
	}
	return false
}

// take removes waiter i of a class.
func (q *Queue) take(t *tenant, class, i int) *waiter {
	list := t.classes[class]
	w := list[i]
	copy(list[i:], list[i+1:])
	list[len(list)-1] = nil
	t.classes[class] = list[:len(list)-1]
	t.waiting--
	q.waiting--
	return w
}

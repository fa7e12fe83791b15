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
	// QueueSettings are the settings of a queue.
	QueueSettings struct {
		// Bound is the largest number of requests that wait.
		Bound int
		// Weight returns the weight of a workspace. A weight below 1 counts
		// as 1. It is called while the queue's lock is held.
		Weight func(ws ident.Workspace) int
	}

	// Queue is the admission queue of one service. It is safe for concurrent
	// use and is created by NewQueue.
	Queue struct {
		mu         sync.Mutex
		settings   QueueSettings
		capacity   int
		admitted   int
		waiting    int
		workspaces map[ident.Workspace]*workspaceQueue
		// admissions counts all admissions so far. A workspace keeps the count
		// at its last admission, so that workspaces with equally many admitted
		// requests relative to their weight take turns.
		admissions int
	}

	// workspaceQueue holds the admitted and the waiting requests of one
	// workspace.
	workspaceQueue struct {
		workspace     ident.Workspace
		weight        float64
		admitted      int
		waiting       int
		lastAdmission int
		classes       [classCount][]*waiter
	}

	// waiter is a request that waits for admission.
	waiter struct {
		// decision receives nil when the request is admitted and ErrShed when
		// it is shed. Its capacity of 1 keeps the sender from blocking.
		decision chan error
	}
)

const classCount = int(jobs.Background) + 1

// ErrShed means that the queue was full and that the request was shed.
var ErrShed = errors.New("queue is full")

// NewQueue returns a queue with capacity 0.
func NewQueue(s QueueSettings) *Queue {
	return &Queue{settings: s, workspaces: make(map[ident.Workspace]*workspaceQueue)}
}

// SetCapacity sets the number of admitted requests that may run at once. It
// revokes no admission.
func (q *Queue) SetCapacity(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = n
	q.admit()
}

// SetBound sets the largest number of requests that wait. It sheds no request
// that already waits.
func (q *Queue) SetBound(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settings.Bound = n
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Acquire waits until the request is admitted. It returns ErrShed if the
// request is shed, and wraps the context's error if ctx ends first. Each nil
// result requires one call of Release.
func (q *Queue) Acquire(ctx context.Context, ws ident.Workspace, class jobs.Class) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("before admission: %w", err)
	}
	w := q.enqueue(ws, class)
	select {
	case err := <-w.decision:
		return err
	case <-ctx.Done():
	}
	if q.remove(ws, class, w) {
		return fmt.Errorf("waiting for admission: %w", ctx.Err())
	}
	// The request was admitted or shed while the context ended. An admission
	// is given back.
	if err := <-w.decision; err != nil {
		return err
	}
	q.Release(ws)
	return fmt.Errorf("waiting for admission: %w", ctx.Err())
}

// Release frees the capacity of one admitted request of the workspace.
func (q *Queue) Release(ws ident.Workspace) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wq := q.workspaces[ws]
	wq.admitted--
	q.admitted--
	q.dropIfEmpty(wq)
	q.admit()
}

func (q *Queue) enqueue(ws ident.Workspace, class jobs.Class) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &waiter{decision: make(chan error, 1)}
	wq := q.workspaceQueue(ws)
	wq.classes[class] = append(wq.classes[class], w)
	wq.waiting++
	q.waiting++
	q.admit()
	if q.waiting > q.settings.Bound {
		q.shed()
	}
	return w
}

// workspaceQueue returns the workspace's part of the queue, a new one if it has
// none yet, with its current weight.
func (q *Queue) workspaceQueue(ws ident.Workspace) *workspaceQueue {
	wq, ok := q.workspaces[ws]
	if !ok {
		wq = &workspaceQueue{workspace: ws}
		q.workspaces[ws] = wq
	}
	// The weight may have changed with the configuration.
	wq.weight = float64(max(1, q.settings.Weight(ws)))
	return wq
}

// dropIfEmpty deletes a workspaceQueue without admitted or waiting requests.
func (q *Queue) dropIfEmpty(wq *workspaceQueue) {
	if wq.admitted == 0 && wq.waiting == 0 {
		delete(q.workspaces, wq.workspace)
	}
}

// remove removes w from the queue. It reports false if w was already admitted
// or shed.
func (q *Queue) remove(ws ident.Workspace, class jobs.Class, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	wq, ok := q.workspaces[ws]
	if !ok {
		return false
	}
	for i, other := range wq.classes[class] {
		if other == w {
			q.removeAt(wq, int(class), i)
			q.dropIfEmpty(wq)
			return true
		}
	}
	return false
}

// removeAt removes and returns the waiter at index i of a class.
func (q *Queue) removeAt(wq *workspaceQueue, class, i int) *waiter {
	list := wq.classes[class]
	w := list[i]
	copy(list[i:], list[i+1:])
	list[len(list)-1] = nil
	wq.classes[class] = list[:len(list)-1]
	wq.waiting--
	q.waiting--
	return w
}

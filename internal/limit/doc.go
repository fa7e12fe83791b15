// Package limit decides how much work is taken on: retry budgets, back-off,
// and the bounded queue of each service.
//
// A Budget allows retries as a fraction of first attempts. A Backoff gives the
// delay before a retry with full jitter. A Queue admits requests up to a
// capacity and lets the others wait until their deadline.
//
// The queue shares its capacity by workspace weight: a freed place goes to the
// waiting workspace with the fewest admitted requests for its weight, and
// within the workspace to the most urgent class. When the queue is full, a
// waiting request is refused: one of a workspace that uses more of the queue
// than its share, background requests first, then normal ones. A workspace
// within its share therefore never loses a place to another's burst.
//
// Waiting requests block on a channel.
//
// # Usage
//
//	q := limit.NewQueue(limit.QueueSettings{Bound: 200, Weight: weight})
//	q.SetCapacity(64)
//	if err := q.Acquire(ctx, "foundry-a", jobs.Normal); err != nil {
//		return fmt.Errorf("admit: %w", err)
//	}
//	defer q.Release("foundry-a")
package limit

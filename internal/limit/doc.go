// Package limit bounds the work that an instance accepts: retry budgets,
// back-off with jitter, and a bounded admission queue for each service.
//
// A Budget allows retries as a fraction of first attempts. A Backoff computes
// the delay before a retry, with full jitter. A Queue admits requests up to its
// capacity and lets the others wait until their deadline.
//
// The queue divides its capacity among workspaces by weight. Freed capacity
// goes to the waiting workspace with the fewest admitted requests relative to
// its weight, and within the workspace to the most urgent class. When too many
// requests wait, the queue sheds one of a workspace that has more requests
// waiting than its share of the bound: background requests first, then normal
// ones. A burst of one workspace therefore never causes requests of a workspace
// within its share to be shed.
//
// A waiting request blocks on a channel, without polling.
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

// Package tree distributes a table of the platform's store among the instances of a
// region.
//
// A row of the operators may be large, and each change of it is sent as a whole to
// everyone who follows the table. If each instance followed it at the store, the link
// between the regions would carry a copy for each of them. So the instances of a region
// form a tree: its root follows the table at the store, and every other instance
// follows it at its parent, which keeps a Copy. The parent of an instance precedes it in
// an order that all instances share, so that views that differ for a while form no
// cycle.
//
// An instance whose parent does not answer, or whose parent itself gets no answers,
// makes the same call at the store at once, and chooses another parent for the next
// one. A parent therefore delays a change by at most one wait.
//
// # Usage
//
//	rows := tree.NewCopy()
//	feed := tree.New(tree.Deps{
//		Direct: direct, WaitCopy: wait, Parent: directory.Parent, ParentFailed: directory.Avoid, Log: log,
//	})
//	follower := store.Follower{
//		Feed: feed.Feed(), Apply: rows.Apply, OnResult: rows.RecordResult, ...
//		OnVersion: func(version int64) { rows.Advance(version, feed.ConfirmedAt()) },
//	}
//	changes, age, err := rows.Wait(ctx, after, maxWait) // for the children
package tree

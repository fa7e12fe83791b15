// Package store describes the platform's transactional table service and
// object store as typed function fields.
//
// A table holds rows by key. Each row has a version, which is the number of
// the commit that last wrote it; an absent row has version 0. Commit applies a
// transaction atomically: if all checks match, all puts and deletes take effect,
// and otherwise none.
//
// # Usage
//
//	row, err := t.Get(ctx, "config/current")
//	switch {
//	case errors.Is(err, store.ErrNotFound):
//		// The row is absent; row.Version is 0.
//	case err != nil:
//		return fmt.Errorf("read configuration: %w", err)
//	}
//	_, err = t.Commit(ctx, store.Txn{
//		Checks: []store.Check{{Key: row.Key, Version: row.Version}},
//		Puts:   []store.Put{{Key: row.Key, Value: value}},
//	})
//
// Callers bound reads, whose answers may be large, by the pauses of the answer:
//
//	ctx, cancel := store.AnswerTimeout{First: first, Stall: stall, Transfer: transfer}.Context(ctx)
//	defer cancel()
//	changes, err := feed.Read(ctx, "jobs")
//
// The client calls ReportProgress each time that a part of the answer has arrived.
//
// A Commit that fails with ErrUncertain may have taken effect. The caller must
// read the rows again and compare them before it retries or reports a failure.
// CommitResolved does so.
package store

package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/baobabquay/baobabquay/internal/peerv1"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

// rows makes calls of the table service for other instances. It uses the direct
// way only, so that a call is passed on once.
type rows struct {
	table store.Table
	feed  store.Feed
	// free has a token for each call that may be under way.
	free chan struct{}
}

const (
	// mostRows bounds the calls that an instance makes for others: with its own
	// they fit into its connections to the service, and the callers beyond it
	// ask another instance.
	mostRows = 16
	// longestRowsWait bounds the wait for a change on behalf of another instance.
	longestRowsWait = 2 * time.Second
)

// errBusy means that too many calls are made for others already.
var errBusy = errors.New("too many calls for other instances")

// failures pairs the errors of the store with their messages.
var failures = []struct {
	err     error
	failure peerv1.RowsFailure
}{
	{store.ErrNotFound, peerv1.RowsFailure_ROWS_FAILURE_NOT_FOUND},
	{store.ErrCompacted, peerv1.RowsFailure_ROWS_FAILURE_COMPACTED},
	{store.ErrInvalid, peerv1.RowsFailure_ROWS_FAILURE_INVALID},
	{store.ErrUncertain, peerv1.RowsFailure_ROWS_FAILURE_UNCERTAIN},
	{store.ErrUnavailable, peerv1.RowsFailure_ROWS_FAILURE_UNAVAILABLE},
}

func newRows(table store.Table, feed store.Feed) *rows {
	return &rows{table: table, feed: feed, free: make(chan struct{}, mostRows)}
}

// failureOf returns the message of an error, which is uncertain for errors of
// other kinds: a transaction may have taken effect.
func failureOf(err error) peerv1.RowsFailure {
	switch {
	case err == nil:
		return peerv1.RowsFailure_ROWS_FAILURE_NONE
	case store.IsConflict(err):
		return peerv1.RowsFailure_ROWS_FAILURE_CONFLICT
	}
	for _, f := range failures {
		if errors.Is(err, f.err) {
			return f.failure
		}
	}
	return peerv1.RowsFailure_ROWS_FAILURE_UNCERTAIN
}

func toRow(r *peerv1.RowsRow) store.Row {
	return store.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()}
}

func fromRow(r store.Row) *peerv1.RowsRow {
	return &peerv1.RowsRow{Key: r.Key, Value: r.Value, Version: r.Version}
}

// take reserves a call for another instance. The returned function ends it.
func (r *rows) take() (func(), error) {
	select {
	case r.free <- struct{}{}:
		return func() { <-r.free }, nil
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
}

// Get reads a row for another instance.
func (r *rows) Get(
	ctx context.Context, req *connect.Request[peerv1.RowsGetRequest],
) (*connect.Response[peerv1.RowsGetResponse], error) {
	end, err := r.take()
	if err != nil {
		return nil, err
	}
	defer end()
	row, err := r.table.Get(ctx, req.Msg.GetKey())
	return connect.NewResponse(&peerv1.RowsGetResponse{Failure: failureOf(err), Row: fromRow(row)}), nil
}

// Commit applies a transaction for another instance.
func (r *rows) Commit(
	ctx context.Context, req *connect.Request[peerv1.RowsCommitRequest],
) (*connect.Response[peerv1.RowsCommitResponse], error) {
	end, err := r.take()
	if err != nil {
		return nil, err
	}
	defer end()
	t := store.Txn{Deletes: req.Msg.GetDeletes()}
	for _, ch := range req.Msg.GetChecks() {
		t.Checks = append(t.Checks, store.Check{Key: ch.GetKey(), Version: ch.GetVersion()})
	}
	for _, p := range req.Msg.GetPuts() {
		t.Puts = append(t.Puts, store.Put{Key: p.GetKey(), Value: p.GetValue()})
	}
	version, err := r.table.Commit(ctx, t)
	res := &peerv1.RowsCommitResponse{Failure: failureOf(err), Version: version}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		res.Conflicts = conflict.Keys
		for _, row := range conflict.Rows {
			res.Rows = append(res.Rows, fromRow(row))
		}
	}
	return connect.NewResponse(res), nil
}

// Read reads a table for another instance.
func (r *rows) Read(
	ctx context.Context, req *connect.Request[peerv1.RowsReadRequest],
) (*connect.Response[peerv1.RowsChanges], error) {
	end, err := r.take()
	if err != nil {
		return nil, err
	}
	defer end()
	return changes(r.feed.Read(ctx, req.Msg.GetTable())), nil
}

// Wait waits for changes of a table for another instance.
func (r *rows) Wait(
	ctx context.Context, req *connect.Request[peerv1.RowsWaitRequest],
) (*connect.Response[peerv1.RowsChanges], error) {
	end, err := r.take()
	if err != nil {
		return nil, err
	}
	defer end()
	most := min(time.Duration(req.Msg.GetMostMillis())*time.Millisecond, longestRowsWait)
	return changes(r.feed.Wait(ctx, req.Msg.GetTable(), req.Msg.GetAfter(), most)), nil
}

func changes(c store.Changes, err error) *connect.Response[peerv1.RowsChanges] {
	m := &peerv1.RowsChanges{Failure: failureOf(err), Version: c.Version}
	for _, ch := range c.Rows {
		row := fromRow(ch.Row)
		row.Deleted = ch.Deleted
		m.Rows = append(m.Rows, row)
	}
	return connect.NewResponse(m)
}

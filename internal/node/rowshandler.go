package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/baobabquay/baobabquay/internal/peerv1"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/tree"
	"github.com/pkg/errors"
)

// rowsHandler forwards calls of other instances to the table service. It calls
// the service directly, never through a third instance, so that a call is
// forwarded at most once.
type rowsHandler struct {
	table store.Table
	feed  store.Feed
	// copies are the copies of tables that the instance keeps, by table. packer
	// compresses their rows.
	copies map[string]*tree.Copy
	packer *tree.Packer
	// slots is a semaphore with one slot for each concurrent call.
	slots chan struct{}
}

const (
	// maxForwardedCalls bounds the concurrent calls for other instances. Together
	// with the instance's own calls they fit into its connections to the table
	// service. Callers that are refused try another instance.
	maxForwardedCalls = 16
	// maxForwardedWait bounds the wait for a change for another instance.
	maxForwardedWait = 2 * time.Second
)

// errBusy means that maxForwardedCalls calls are in flight already.
var errBusy = errors.New("too many forwarded calls in flight")

// failures maps errors of the store to the codes that stand for them in
// responses.
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

func newRowsHandler(table store.Table, feed store.Feed, copies map[string]*tree.Copy) *rowsHandler {
	return &rowsHandler{
		table: table, feed: feed, copies: copies, packer: tree.NewPacker(), slots: make(chan struct{}, maxForwardedCalls),
	}
}

// failureToProto returns the code of an error. An error without a code of its
// own counts as uncertain, as a transaction may have taken effect.
func failureToProto(err error) peerv1.RowsFailure {
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

func rowFromProto(r *peerv1.RowsRow) store.Row {
	return store.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()}
}

func rowToProto(r store.Row) *peerv1.RowsRow {
	return &peerv1.RowsRow{Key: r.Key, Value: r.Value, Version: r.Version}
}

// acquire reserves a slot for a forwarded call. The returned function releases
// it.
func (h *rowsHandler) acquire() (func(), error) {
	select {
	case h.slots <- struct{}{}:
		return func() { <-h.slots }, nil
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
}

// Get reads a row for another instance.
func (h *rowsHandler) Get(
	ctx context.Context, req *connect.Request[peerv1.RowsGetRequest],
) (*connect.Response[peerv1.RowsGetResponse], error) {
	release, err := h.acquire()
	if err != nil {
		return nil, err
	}
	defer release()
	row, err := h.table.Get(ctx, req.Msg.GetKey())
	return connect.NewResponse(&peerv1.RowsGetResponse{Failure: failureToProto(err), Row: rowToProto(row)}), nil
}

// Commit applies a transaction for another instance.
func (h *rowsHandler) Commit(
	ctx context.Context, req *connect.Request[peerv1.RowsCommitRequest],
) (*connect.Response[peerv1.RowsCommitResponse], error) {
	release, err := h.acquire()
	if err != nil {
		return nil, err
	}
	defer release()
	t := store.Txn{Deletes: req.Msg.GetDeletes()}
	for _, ch := range req.Msg.GetChecks() {
		t.Checks = append(t.Checks, store.Check{Key: ch.GetKey(), Version: ch.GetVersion()})
	}
	for _, p := range req.Msg.GetPuts() {
		t.Puts = append(t.Puts, store.Put{Key: p.GetKey(), Value: p.GetValue()})
	}
	version, err := h.table.Commit(ctx, t)
	res := &peerv1.RowsCommitResponse{Failure: failureToProto(err), Version: version}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		res.Conflicts = conflict.Keys
		for _, row := range conflict.Rows {
			res.Rows = append(res.Rows, rowToProto(row))
		}
	}
	return connect.NewResponse(res), nil
}

// Read reads all rows of a table for another instance.
func (h *rowsHandler) Read(
	ctx context.Context, req *connect.Request[peerv1.RowsReadRequest],
) (*connect.Response[peerv1.RowsChanges], error) {
	release, err := h.acquire()
	if err != nil {
		return nil, err
	}
	defer release()
	return changesToProto(h.feed.Read(ctx, req.Msg.GetTable())), nil
}

// Wait waits for changes of a table for another instance.
func (h *rowsHandler) Wait(
	ctx context.Context, req *connect.Request[peerv1.RowsWaitRequest],
) (*connect.Response[peerv1.RowsChanges], error) {
	if c, ok := h.copies[req.Msg.GetTable()]; ok && req.Msg.GetFromCopy() {
		return h.waitCopy(ctx, c, req.Msg)
	}
	release, err := h.acquire()
	if err != nil {
		return nil, err
	}
	defer release()
	return changesToProto(h.feed.Wait(ctx, req.Msg.GetTable(), req.Msg.GetAfter(), forwardedWait(req.Msg))), nil
}

func forwardedWait(m *peerv1.RowsWaitRequest) time.Duration {
	return min(time.Duration(m.GetMostMillis())*time.Millisecond, maxForwardedWait)
}

// waitCopy waits for changes of a copy. It needs no slot, as it makes no call.
func (h *rowsHandler) waitCopy(
	ctx context.Context, c *tree.Copy, m *peerv1.RowsWaitRequest,
) (*connect.Response[peerv1.RowsChanges], error) {
	changes, age, err := c.Wait(ctx, m.GetAfter(), forwardedWait(m))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res := changesToProto(changes, nil)
	res.Msg.AgeMillis = age.Milliseconds()
	for i, row := range res.Msg.Rows {
		row.Value, row.Packed = h.packer.Pack(changes.Rows[i].Row)
	}
	return res, nil
}

func changesToProto(c store.Changes, err error) *connect.Response[peerv1.RowsChanges] {
	m := &peerv1.RowsChanges{Failure: failureToProto(err), Version: c.Version}
	for _, ch := range c.Rows {
		row := rowToProto(ch.Row)
		row.Deleted = ch.Deleted
		m.Rows = append(m.Rows, row)
	}
	return connect.NewResponse(m)
}

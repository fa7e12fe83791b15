package node

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/baobabquay/baobabquay/internal/detour"
	"github.com/baobabquay/baobabquay/internal/peerv1"
	"github.com/baobabquay/baobabquay/internal/shard"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// rows makes calls of the table service for other instances. It uses the
	// direct way only, so that a call is passed on once.
	rows struct {
		table store.Table
		feed  store.Feed
		// free has a token for each call that may be under way.
		free chan struct{}
	}

	// rowsClients makes calls through other instances.
	rowsClients struct {
		http    connect.HTTPClient
		clients *shard.Map[addressKey, peerv1.RowsClient]
	}
)

const (
	// mostRows bounds the calls that an instance makes for others, so that its
	// own ones keep most of its connections.
	mostRows = 32
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

func newRowsClients(h connect.HTTPClient) *rowsClients {
	return &rowsClients{http: h, clients: shard.New[addressKey, peerv1.RowsClient](clientParts)}
}

// calls returns the calls through other instances.
func (c *rowsClients) calls() detour.Calls {
	return detour.Calls{Get: c.get, Commit: c.commit, Read: c.read, Wait: c.wait}
}

func (c *rowsClients) client(to netip.AddrPort) peerv1.RowsClient {
	client, _ := c.clients.LoadOrStore(addressKey(to.String()), func() peerv1.RowsClient {
		return peerv1.NewRowsClient(c.http, "http://"+to.String())
	})
	return client
}

// failureOf returns the message of an error, which is unavailable for errors of
// other kinds: the service has not been called.
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
	return peerv1.RowsFailure_ROWS_FAILURE_UNAVAILABLE
}

// errorOf returns the error of a message. One that this version does not know
// counts as uncertain.
func errorOf(f peerv1.RowsFailure) error {
	if f == peerv1.RowsFailure_ROWS_FAILURE_NONE {
		return nil
	}
	for _, known := range failures {
		if known.failure == f {
			return known.err
		}
	}
	return store.ErrUncertain
}

// callError returns the error of a call that the other instance has not
// answered. A transaction may have taken effect all the same, unless the
// connection was not opened or the instance has not passed it on.
func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || connect.CodeOf(err) == connect.CodeResourceExhausted {
		return fmt.Errorf("%w: %w: %w", detour.ErrNotReached, store.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUncertain, err)
}

func toRow(r *peerv1.RowsRow) store.Row {
	return store.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()}
}

func fromRow(r store.Row) *peerv1.RowsRow {
	return &peerv1.RowsRow{Key: r.Key, Value: r.Value, Version: r.Version}
}

func (c *rowsClients) get(ctx context.Context, via netip.AddrPort, key string) (store.Row, error) {
	res, err := c.client(via).Get(ctx, connect.NewRequest(&peerv1.RowsGetRequest{Key: key}))
	if err != nil {
		return store.Row{}, callError(err)
	}
	if err := errorOf(res.Msg.GetFailure()); err != nil {
		return store.Row{}, fmt.Errorf("get %s: %w", key, err)
	}
	return toRow(res.Msg.GetRow()), nil
}

func (c *rowsClients) commit(ctx context.Context, via netip.AddrPort, t store.Txn) (int64, error) {
	req := &peerv1.RowsCommitRequest{Deletes: t.Deletes}
	for _, ch := range t.Checks {
		req.Checks = append(req.Checks, &peerv1.RowsCheck{Key: ch.Key, Version: ch.Version})
	}
	for _, p := range t.Puts {
		req.Puts = append(req.Puts, &peerv1.RowsRow{Key: p.Key, Value: p.Value})
	}
	res, err := c.client(via).Commit(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, callError(err)
	}
	if res.Msg.GetFailure() == peerv1.RowsFailure_ROWS_FAILURE_CONFLICT {
		conflict := &store.ConflictError{Keys: res.Msg.GetConflicts()}
		for _, r := range res.Msg.GetRows() {
			conflict.Rows = append(conflict.Rows, toRow(r))
		}
		return 0, conflict
	}
	if err := errorOf(res.Msg.GetFailure()); err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	return res.Msg.GetVersion(), nil
}

func (c *rowsClients) read(ctx context.Context, via netip.AddrPort, table string) (store.Changes, error) {
	res, err := c.client(via).Read(ctx, connect.NewRequest(&peerv1.RowsReadRequest{Table: table}))
	if err != nil {
		return store.Changes{}, callError(err)
	}
	return changesOf(res.Msg)
}

func (c *rowsClients) wait(
	ctx context.Context, via netip.AddrPort, table string, after int64, most time.Duration,
) (store.Changes, error) {
	req := &peerv1.RowsWaitRequest{Table: table, After: after, MostMillis: most.Milliseconds()}
	res, err := c.client(via).Wait(ctx, connect.NewRequest(req))
	if err != nil {
		return store.Changes{}, callError(err)
	}
	return changesOf(res.Msg)
}

func changesOf(m *peerv1.RowsChanges) (store.Changes, error) {
	if err := errorOf(m.GetFailure()); err != nil {
		return store.Changes{}, fmt.Errorf("changes: %w", err)
	}
	c := store.Changes{Version: m.GetVersion()}
	for _, r := range m.GetRows() {
		c.Rows = append(c.Rows, store.Change{Row: toRow(r), Deleted: r.GetDeleted()})
	}
	return c, nil
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

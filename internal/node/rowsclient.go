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
	"github.com/baobabquay/baobabquay/internal/tree"
	"github.com/baobabquay/baobabquay/platform"
	"github.com/pkg/errors"
)

// rowsClient makes calls of the table service through other instances, which
// forward them.
type rowsClient struct {
	http    connect.HTTPClient
	options []connect.ClientOption
	clients *shard.Map[addressKey, peerv1.RowsClient]
}

func newRowsClient(h connect.HTTPClient, options ...connect.ClientOption) *rowsClient {
	return &rowsClient{http: h, options: options, clients: shard.New[addressKey, peerv1.RowsClient](clientShards)}
}

// calls returns the methods of the client.
func (c *rowsClient) calls() detour.PeerCalls {
	return detour.PeerCalls{Get: c.get, Commit: c.commit, Read: c.read, Wait: c.wait}
}

func (c *rowsClient) client(to netip.AddrPort) peerv1.RowsClient {
	client, _ := c.clients.LoadOrStore(addressKey(to.String()), func() peerv1.RowsClient {
		return peerv1.NewRowsClient(c.http, "http://"+to.String(), c.options...)
	})
	return client
}

// failureFromProto returns the error for a code. A code that this version does
// not know counts as uncertain.
func failureFromProto(f peerv1.RowsFailure) error {
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
// answered. A transaction may have taken effect nevertheless, unless the
// connection could not be opened or the instance refused to forward the call.
func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || connect.CodeOf(err) == connect.CodeResourceExhausted {
		return fmt.Errorf("%w: %w: %w", detour.ErrNotForwarded, store.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUncertain, err)
}

func (c *rowsClient) get(ctx context.Context, peer netip.AddrPort, key string) (store.Row, error) {
	res, err := c.client(peer).Get(ctx, connect.NewRequest(&peerv1.RowsGetRequest{Key: key}))
	if err != nil {
		return store.Row{}, callError(err)
	}
	if err := failureFromProto(res.Msg.GetFailure()); err != nil {
		return store.Row{}, fmt.Errorf("get %s: %w", key, err)
	}
	return rowFromProto(res.Msg.GetRow()), nil
}

func (c *rowsClient) commit(ctx context.Context, peer netip.AddrPort, t store.Txn) (int64, error) {
	req := &peerv1.RowsCommitRequest{Deletes: t.Deletes}
	for _, ch := range t.Checks {
		req.Checks = append(req.Checks, &peerv1.RowsCheck{Key: ch.Key, Version: ch.Version})
	}
	for _, p := range t.Puts {
		req.Puts = append(req.Puts, &peerv1.RowsRow{Key: p.Key, Value: p.Value})
	}
	ctx, mayBeSent := platform.TraceSend(ctx)
	res, err := c.client(peer).Commit(ctx, connect.NewRequest(req))
	switch {
	case err != nil && !mayBeSent():
		return 0, fmt.Errorf("%w: %w: %w", detour.ErrNotForwarded, store.ErrUnavailable, err)
	case err != nil:
		return 0, callError(err)
	}
	if res.Msg.GetFailure() == peerv1.RowsFailure_ROWS_FAILURE_CONFLICT {
		conflict := &store.ConflictError{Keys: res.Msg.GetConflicts()}
		for _, r := range res.Msg.GetRows() {
			conflict.Rows = append(conflict.Rows, rowFromProto(r))
		}
		return 0, conflict
	}
	if err := failureFromProto(res.Msg.GetFailure()); err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	return res.Msg.GetVersion(), nil
}

func (c *rowsClient) read(ctx context.Context, peer netip.AddrPort, table string) (store.Changes, error) {
	res, err := c.client(peer).Read(ctx, connect.NewRequest(&peerv1.RowsReadRequest{Table: table}))
	if err != nil {
		return store.Changes{}, callError(err)
	}
	return changesFromProto(res.Msg)
}

func (c *rowsClient) wait(
	ctx context.Context, peer netip.AddrPort, table string, after int64, maxWait time.Duration,
) (store.Changes, error) {
	req := &peerv1.RowsWaitRequest{Table: table, After: after, MostMillis: maxWait.Milliseconds()}
	res, err := c.client(peer).Wait(ctx, connect.NewRequest(req))
	if err != nil {
		return store.Changes{}, callError(err)
	}
	return changesFromProto(res.Msg)
}

// newCopyClient returns a client for waitCopy. It does not accept compressed responses,
// since their large rows are packed already.
func newCopyClient(h connect.HTTPClient) *rowsClient {
	return newRowsClient(h, connect.WithAcceptCompression("gzip", nil, nil))
}

// waitCopy waits for changes of the copy of a table that another instance keeps. It also
// returns how long ago the store has confirmed them.
func (c *rowsClient) waitCopy(
	ctx context.Context, peer netip.AddrPort, table string, after int64, maxWait time.Duration,
) (store.Changes, time.Duration, error) {
	req := &peerv1.RowsWaitRequest{Table: table, After: after, MostMillis: maxWait.Milliseconds(), FromCopy: true}
	res, err := c.client(peer).Wait(ctx, connect.NewRequest(req))
	if err != nil {
		return store.Changes{}, 0, callError(err)
	}
	for _, row := range res.Msg.GetRows() {
		if !row.GetPacked() {
			continue
		}
		if row.Value, err = tree.Unpack(row.GetValue()); err != nil {
			return store.Changes{}, 0, fmt.Errorf("row %s of %v: %w", row.GetKey(), peer, err)
		}
	}
	changes, err := changesFromProto(res.Msg)
	return changes, time.Duration(res.Msg.GetAgeMillis()) * time.Millisecond, err
}

func changesFromProto(m *peerv1.RowsChanges) (store.Changes, error) {
	if err := failureFromProto(m.GetFailure()); err != nil {
		return store.Changes{}, fmt.Errorf("read changes: %w", err)
	}
	c := store.Changes{Version: m.GetVersion()}
	for _, r := range m.GetRows() {
		c.Rows = append(c.Rows, store.Change{Row: rowFromProto(r), Deleted: r.GetDeleted()})
	}
	return c, nil
}

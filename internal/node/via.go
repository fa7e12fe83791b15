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

// rowsClients makes calls of the table service through other instances.
type rowsClients struct {
	http    connect.HTTPClient
	clients *shard.Map[addressKey, peerv1.RowsClient]
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

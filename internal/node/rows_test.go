package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/baobabquay/baobabquay/internal/detour"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/peerv1"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// kindOf names the error that a caller of the store tells apart.
func kindOf(err error) string {
	for _, k := range []struct {
		err  error
		name string
	}{
		{nil, "ok"}, {detour.ErrNotReached, "not reached"}, {store.ErrNotFound, "not found"}, {store.ErrCompacted, "history dropped"},
		{store.ErrUncertain, "uncertain"}, {store.ErrUnavailable, "unavailable"},
	} {
		if errors.Is(err, k.err) {
			return k.name
		}
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return fmt.Sprintf("conflict on %v, %d rows", conflict.Keys, len(conflict.Rows))
	}
	return err.Error()
}

// TestRows guards against a call that fares otherwise through another instance
// than directly, such as a refusal of a transaction that may have taken effect.
func TestRows(t *testing.T) {
	table := fakes.NewTable()
	served := newRows(table.Store(), table.Feed())
	mux := http.NewServeMux()
	mux.Handle(peerv1.NewRowsHandler(served))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	nobody := httptest.NewServer(mux)
	nobody.Close()
	address := func(s *httptest.Server) netip.AddrPort {
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	calls, via := newRowsClients(server.Client()).calls(), address(server)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var b strings.Builder
	commit := func(name string, via netip.AddrPort) {
		version, err := calls.Commit(ctx, via, store.Txn{
			Checks: []store.Check{{Key: "jobs/a"}}, Puts: []store.Put{{Key: "jobs/a", Value: []byte("1")}}, Deletes: []string{"jobs/b"},
		})
		fmt.Fprintf(&b, "%s: %s, version %d\n", name, kindOf(err), version)
	}
	commit("commit", via)
	commit("commit again", via)
	row, err := calls.Get(ctx, via, "jobs/a")
	fmt.Fprintf(&b, "get: %s, %s at %d: %s\n", kindOf(err), row.Key, row.Version, row.Value)
	_, err = calls.Get(ctx, via, "jobs/c")
	fmt.Fprintf(&b, "get an absent row: %s\n", kindOf(err))
	c, err := calls.Read(ctx, via, "jobs")
	fmt.Fprintf(&b, "read: %s, %d rows at %d\n", kindOf(err), len(c.Rows), c.Version)
	c, err = calls.Wait(ctx, via, "jobs", 0, time.Second)
	fmt.Fprintf(&b, "wait: %s, %d rows at %d\n", kindOf(err), len(c.Rows), c.Version)
	table.Compact()
	_, err = calls.Wait(ctx, via, "jobs", 0, time.Second)
	fmt.Fprintf(&b, "wait without history: %s\n", kindOf(err))
	table.Faults.Set(fakes.Fault{Kind: fakes.Down})
	commit("commit while the store refuses", via)
	table.Faults.Clear()
	commit("commit through nobody", address(nobody))
	odd := newRows(store.Table{Commit: func(context.Context, store.Txn) (int64, error) { return 0, errors.New("odd") }}, store.Feed{})
	res, err := odd.Commit(ctx, connect.NewRequest(&peerv1.RowsCommitRequest{}))
	assert.NilError(t, err)
	fmt.Fprintf(&b, "commit with an error of another kind: %v\n", res.Msg.GetFailure())
	for range mostRows {
		_, err := served.take()
		assert.NilError(t, err)
	}
	commit("commit through a busy instance", via)
	golden.Assert(t, b.String(), "rows.golden")
}

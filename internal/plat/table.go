package plat

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

// The JSON forms of the messages of the table service and the object store.
type (
	keyJSON struct {
		Key string `json:"key"`
	}

	prefixJSON struct {
		Prefix string `json:"prefix"`
	}

	rowJSON struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version int64  `json:"version"`
	}

	rowsJSON struct {
		Rows []rowJSON `json:"rows"`
	}

	checkJSON struct {
		Key     string `json:"key"`
		Version int64  `json:"version"`
	}

	putJSON struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}

	txnJSON struct {
		Checks  []checkJSON `json:"checks,omitempty"`
		Puts    []putJSON   `json:"puts,omitempty"`
		Deletes []string    `json:"deletes,omitempty"`
	}

	versionJSON struct {
		Version int64 `json:"version"`
	}
)

const (
	pathTableGet    = "/table/get"
	pathTableScan   = "/table/scan"
	pathTableCommit = "/table/commit"
	pathObjectGet   = "/objects/get"
	pathObjectPut   = "/objects/put"
)

// Table returns a client of the table service at base. Its errors wrap those of
// package store or ErrProtocol.
func Table(base netip.AddrPort, c *http.Client) store.Table {
	rpc := rpcClient{base, c}
	return store.Table{
		Get: func(ctx context.Context, key string) (store.Row, error) {
			msg, err := call[keyJSON, rowJSON](ctx, rpc, pathTableGet, keyJSON{key})
			if err != nil {
				return store.Row{Key: key}, storeError(err)
			}
			return store.Row(msg), nil
		},
		Scan: func(ctx context.Context, prefix string) ([]store.Row, error) {
			msg, err := call[prefixJSON, rowsJSON](ctx, rpc, pathTableScan, prefixJSON{prefix})
			if err != nil {
				return nil, storeError(err)
			}
			return convert(msg.Rows, func(r rowJSON) store.Row { return store.Row(r) }), nil
		},
		Commit: func(ctx context.Context, t store.Txn) (int64, error) {
			msg, err := call[txnJSON, versionJSON](ctx, rpc, pathTableCommit, txnToJSON(t))
			if err != nil {
				return 0, storeError(err)
			}
			return msg.Version, nil
		},
	}
}

// TableRoutes returns the HTTP routes that serve the calls of Table from t.
func TableRoutes(t store.Table) []Route {
	return []Route{
		route(pathTableGet, func(ctx context.Context, msg keyJSON) (rowJSON, error) {
			r, err := t.Get(ctx, msg.Key)
			return rowJSON(r), err
		}),
		route(pathTableScan, func(ctx context.Context, msg prefixJSON) (rowsJSON, error) {
			rows, err := t.Scan(ctx, msg.Prefix)
			return rowsJSON{convert(rows, func(r store.Row) rowJSON { return rowJSON(r) })}, err
		}),
		route(pathTableCommit, func(ctx context.Context, msg txnJSON) (versionJSON, error) {
			v, err := t.Commit(ctx, txnFromJSON(msg))
			return versionJSON{v}, err
		}),
	}
}

// Objects returns a client of the object store at base. Its errors wrap those of
// package store or ErrProtocol.
func Objects(base netip.AddrPort, c *http.Client) store.Objects {
	rpc := rpcClient{base, c}
	return store.Objects{
		Get: func(ctx context.Context, key string) ([]byte, error) {
			msg, err := call[keyJSON, putJSON](ctx, rpc, pathObjectGet, keyJSON{key})
			if err != nil {
				return nil, storeError(err)
			}
			return msg.Value, nil
		},
		Put: func(ctx context.Context, key string, value []byte) error {
			if _, err := call[putJSON, empty](ctx, rpc, pathObjectPut, putJSON{key, value}); err != nil {
				return storeError(err)
			}
			return nil
		},
	}
}

// ObjectsRoutes returns the HTTP routes that serve the calls of Objects from o.
func ObjectsRoutes(o store.Objects) []Route {
	return []Route{
		route(pathObjectGet, func(ctx context.Context, msg keyJSON) (putJSON, error) {
			v, err := o.Get(ctx, msg.Key)
			return putJSON{msg.Key, v}, err
		}),
		route(pathObjectPut, func(ctx context.Context, msg putJSON) (empty, error) {
			return empty{}, o.Put(ctx, msg.Key, msg.Value)
		}),
	}
}

// storeError wraps the error of a call in the matching error of package store. An
// ErrProtocol is returned as it is.
func storeError(err error) error {
	var remote *remoteError
	switch {
	case errors.Is(err, ErrNotSent):
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	case errors.Is(err, ErrProtocol):
		return err
	case !errors.As(err, &remote):
		return fmt.Errorf("%w: %w", store.ErrUncertain, err)
	}
	switch remote.errorBody.Error {
	case codeNotFound:
		return fmt.Errorf("%w: %w", store.ErrNotFound, err)
	case codeUnavailable:
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	case codeConflict:
		return fmt.Errorf("commit: %w", &store.ConflictError{Keys: remote.Keys})
	}
	return fmt.Errorf("%w: %w", store.ErrUncertain, err)
}

func txnToJSON(t store.Txn) txnJSON {
	return txnJSON{
		Checks:  convert(t.Checks, func(c store.Check) checkJSON { return checkJSON(c) }),
		Puts:    convert(t.Puts, func(p store.Put) putJSON { return putJSON(p) }),
		Deletes: t.Deletes,
	}
}

func txnFromJSON(msg txnJSON) store.Txn {
	return store.Txn{
		Checks:  convert(msg.Checks, func(c checkJSON) store.Check { return store.Check(c) }),
		Puts:    convert(msg.Puts, func(p putJSON) store.Put { return store.Put(p) }),
		Deletes: msg.Deletes,
	}
}

// convert returns the results of f for the elements of in. The result is nil if in
// is empty.
func convert[A, B any](in []A, f func(A) B) []B {
	var out []B
	for _, a := range in {
		out = append(out, f(a))
	}
	return out
}

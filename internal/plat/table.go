package plat

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	keyForm struct {
		Key string `json:"key"`
	}

	prefixForm struct {
		Prefix string `json:"prefix"`
	}

	rowForm struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version int64  `json:"version"`
	}

	rowsForm struct {
		Rows []rowForm `json:"rows"`
	}

	checkForm struct {
		Key     string `json:"key"`
		Version int64  `json:"version"`
	}

	putForm struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}

	txnForm struct {
		Checks  []checkForm `json:"checks,omitempty"`
		Puts    []putForm   `json:"puts,omitempty"`
		Deletes []string    `json:"deletes,omitempty"`
	}

	versionForm struct {
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

// Table returns the table service at base.
func Table(base netip.AddrPort, c *http.Client) store.Table {
	to := caller{base, c}
	return store.Table{
		Get: func(ctx context.Context, key string) (store.Row, error) {
			f, err := call[keyForm, rowForm](ctx, to, pathTableGet, keyForm{key})
			if err != nil {
				return store.Row{Key: key}, storeError(err)
			}
			return store.Row(f), nil
		},
		Scan: func(ctx context.Context, prefix string) ([]store.Row, error) {
			f, err := call[prefixForm, rowsForm](ctx, to, pathTableScan, prefixForm{prefix})
			if err != nil {
				return nil, storeError(err)
			}
			return convert(f.Rows, func(r rowForm) store.Row { return store.Row(r) }), nil
		},
		Commit: func(ctx context.Context, t store.Txn) (int64, error) {
			f, err := call[txnForm, versionForm](ctx, to, pathTableCommit, txnToForm(t))
			if err != nil {
				return 0, storeError(err)
			}
			return f.Version, nil
		},
	}
}

// TableRoutes returns the server side of Table.
func TableRoutes(t store.Table) []Route {
	return []Route{
		route(pathTableGet, func(ctx context.Context, f keyForm) (rowForm, error) {
			r, err := t.Get(ctx, f.Key)
			return rowForm(r), err
		}),
		route(pathTableScan, func(ctx context.Context, f prefixForm) (rowsForm, error) {
			rows, err := t.Scan(ctx, f.Prefix)
			return rowsForm{convert(rows, func(r store.Row) rowForm { return rowForm(r) })}, err
		}),
		route(pathTableCommit, func(ctx context.Context, f txnForm) (versionForm, error) {
			v, err := t.Commit(ctx, txnFromForm(f))
			return versionForm{v}, err
		}),
	}
}

// Objects returns the object store at base.
func Objects(base netip.AddrPort, c *http.Client) store.Objects {
	to := caller{base, c}
	return store.Objects{
		Get: func(ctx context.Context, key string) ([]byte, error) {
			f, err := call[keyForm, putForm](ctx, to, pathObjectGet, keyForm{key})
			if err != nil {
				return nil, storeError(err)
			}
			return f.Value, nil
		},
		Put: func(ctx context.Context, key string, value []byte) error {
			if _, err := call[putForm, empty](ctx, to, pathObjectPut, putForm{key, value}); err != nil {
				return storeError(err)
			}
			return nil
		},
	}
}

// ObjectsRoutes returns the server side of Objects.
func ObjectsRoutes(o store.Objects) []Route {
	return []Route{
		route(pathObjectGet, func(ctx context.Context, f keyForm) (putForm, error) {
			v, err := o.Get(ctx, f.Key)
			return putForm{f.Key, v}, err
		}),
		route(pathObjectPut, func(ctx context.Context, f putForm) (empty, error) {
			return empty{}, o.Put(ctx, f.Key, f.Value)
		}),
	}
}

// storeError adds the error of package store that err stands for.
func storeError(err error) error {
	var f *failureError
	switch {
	case errors.Is(err, ErrNotSent):
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	case errors.Is(err, ErrProtocol):
		return err
	case !errors.As(err, &f):
		return fmt.Errorf("%w: %w", store.ErrUncertain, err)
	}
	switch f.failure.Error {
	case kindNotFound:
		return fmt.Errorf("%w: %w", store.ErrNotFound, err)
	case kindUnavailable:
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	case kindConflict:
		return fmt.Errorf("commit: %w", &store.ConflictError{Keys: f.Keys})
	}
	return fmt.Errorf("%w: %w", store.ErrUncertain, err)
}

func txnToForm(t store.Txn) txnForm {
	return txnForm{
		Checks:  convert(t.Checks, func(c store.Check) checkForm { return checkForm(c) }),
		Puts:    convert(t.Puts, func(p store.Put) putForm { return putForm(p) }),
		Deletes: t.Deletes,
	}
}

func txnFromForm(f txnForm) store.Txn {
	return store.Txn{
		Checks:  convert(f.Checks, func(c checkForm) store.Check { return store.Check(c) }),
		Puts:    convert(f.Puts, func(p putForm) store.Put { return store.Put(p) }),
		Deletes: f.Deletes,
	}
}

// convert applies f to each element. The result is nil if from is empty.
func convert[A, B any](from []A, f func(A) B) []B {
	var to []B
	for _, a := range from {
		to = append(to, f(a))
	}
	return to
}

package store

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

type (
	// Row is one row of the table. Version is 0 if the row is absent.
	Row struct {
		Key     string
		Value   []byte
		Version int64
	}

	// Check requires that a row has the given version, or is absent if the version
	// is 0.
	Check struct {
		Key     string
		Version int64
	}

	// Put sets the value of a row.
	Put struct {
		Key   string
		Value []byte
	}

	// Txn is a set of checks and writes that is applied atomically.
	Txn struct {
		Checks  []Check
		Puts    []Put
		Deletes []string
	}

	// Table is a client of the table service.
	Table struct {
		// Get returns the row of the key. The error is ErrNotFound if the
		// row is absent.
		Get func(ctx context.Context, key string) (Row, error)
		// Scan returns the rows whose keys have the prefix, ordered by key.
		Scan func(ctx context.Context, prefix string) ([]Row, error)
		// Commit applies t and returns the version of the rows it wrote. The
		// error is a *ConflictError if a check did not match.
		Commit func(ctx context.Context, t Txn) (int64, error)
	}

	// Objects is a client of the object store.
	Objects struct {
		// Get returns the object. The error is ErrNotFound if it is absent.
		Get func(ctx context.Context, key string) ([]byte, error)
		Put func(ctx context.Context, key string, value []byte) error
	}

	// ConflictError lists the keys whose versions did not match.
	ConflictError struct {
		Keys []string
		// Rows are the current rows of all checks, without the absent ones.
		Rows []Row
	}
)

// impossibleVersion is a version that no row has. It is the greatest one that every
// JSON decoder reads exactly, even if it decodes numbers as float64.
const impossibleVersion = 1<<53 - 1

var (
	// ErrNotFound means that the row or object is absent.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the service did not accept the call: a write
	// has had no effect and will have none.
	ErrUnavailable = errors.New("store unavailable")
	// ErrBusy accompanies ErrUnavailable if the service works but has too many
	// calls to serve.
	ErrBusy = errors.New("store is busy")
	// ErrUnreached accompanies ErrUnavailable if no byte of the call was sent.
	ErrUnreached = errors.New("store not reached")
	// ErrInvalid means that the service has rejected the call, such as a
	// transaction with too many entries, and would reject each repetition.
	ErrInvalid = errors.New("store refuses the call as invalid")
	// ErrUncertain means that no answer arrived: a write may have taken effect.
	ErrUncertain = errors.New("store answer lost")
)

// Row returns the current row of a key that was checked. Its version is 0 if the
// row is absent.
func (e *ConflictError) Row(key string) Row {
	for _, r := range e.Rows {
		if r.Key == key {
			return r
		}
	}
	return Row{Key: key}
}

// ReadCurrent returns the current rows of keys, in their order, even while the
// store's reads are stale, at the cost of a transaction. Absent rows have
// version 0.
//
// The transaction has checks that cannot match, so that it changes nothing and its
// ConflictError contains the rows.
func (t *Table) ReadCurrent(ctx context.Context, keys ...string) ([]Row, error) {
	var txn Txn
	for _, k := range keys {
		txn.Checks = append(txn.Checks, Check{Key: k, Version: impossibleVersion})
	}
	_, err := t.Commit(ctx, txn)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return nil, fmt.Errorf("read current rows %s: %w: %w", strings.Join(keys, ", "), ErrUnavailable, err)
	}
	rows := make([]Row, len(keys))
	for i, k := range keys {
		rows[i] = conflict.Row(k)
	}
	return rows, nil
}

// Error lists the conflicting keys.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version conflict on %s", strings.Join(e.Keys, ", "))
}

// IsConflict reports whether err wraps a *ConflictError.
func IsConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}

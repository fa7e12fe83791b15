package ledger

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/store"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// readLag is the age of the rows that reads return, as the platform permits.
const readLag = 6 * time.Second

// TestStaleJob guards against reporting a job as unknown because the rows that the
// store's reads return are older than the job, and against a cancellation that is
// retried until its caller's timeout for the same reason.
func TestStaleJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b strings.Builder
		for _, c := range []struct {
			name   string
			before func(store.Table, *Ledger) error
		}{
			{"unknown", func(store.Table, *Ledger) error { return nil }},
			{"accepted", func(_ store.Table, l *Ledger) error {
				_, err := l.Accept(t.Context(), testJob())
				return err
			}},
			{"accepted and cancelled", func(_ store.Table, l *Ledger) error {
				if _, err := l.Accept(t.Context(), testJob()); err != nil {
					return err
				}
				time.Sleep(readLag)
				_, err := l.Cancel(t.Context(), testID)
				return err
			}},
			{"accepted and ended", func(tbl store.Table, l *Ledger) error {
				if _, err := l.Accept(t.Context(), testJob()); err != nil {
					return err
				}
				_, err := tbl.Commit(t.Context(), store.Txn{
					Puts:    []store.Put{{Key: EndedKey(testID), Value: []byte(`{"phase":"completed"}`)}},
					Deletes: []string{JobKey(testID)},
				})
				return err
			}},
		} {
			table := fakes.NewTable()
			l := New(table.Store())
			assert.NilError(t, c.before(table.Store(), l))
			time.Sleep(time.Second)
			table.Faults.Set(fakes.Fault{Kind: fakes.Stale, Delay: readLag})
			phase, known, err := l.Phase(t.Context(), testID)
			assert.NilError(t, err)
			begun := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			outcome, _ := l.Cancel(ctx, testID)
			cancel()
			fmt.Fprintf(&b, "%s: known %v %s, cancel: %s after %v\n", c.name, known, phase, outcomeName(outcome), time.Since(begun))
		}
		golden.Assert(t, b.String(), "stale.golden")
	})
}

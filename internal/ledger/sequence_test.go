package ledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/store"
	"gotest.tools/v3/assert"
)

// TestStaleSequence guards against a leader that ends its term needlessly. The
// answer of a transaction is lost, so that the next attempt conflicts with it, and
// a stale read of the sequence row would not show that it has taken effect.
func TestStaleSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fakes.NewTable()
		tbl := table.Store()
		version, err := tbl.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: SequenceKey, Value: SequenceValue(1, 0)}}})
		assert.NilError(t, err)
		w := NewWriter(tbl, 1, version)
		time.Sleep(readLag)
		table.Faults.Set(fakes.Fault{Kind: fakes.Stale, Delay: readLag})
		table.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 1})
		assert.NilError(t, w.Commit(t.Context(), Batch{Puts: []store.Put{{Key: ProgressKey(testID), Value: []byte("first")}}}))
		assert.NilError(t, w.Commit(t.Context(), Batch{Puts: []store.Put{{Key: ProgressKey(testID), Value: []byte("second")}}}))
	})
}

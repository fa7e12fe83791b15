package claim

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const ws = ident.Workspace("foundry-a")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testSettings returns the default settings with a deterministic back-off.
func testSettings() Settings {
	s := DefaultSettings()
	s.Backoff.Float64 = func() float64 { return 0.5 }
	return s
}

// takeClaim takes the claim of a request and returns the outcome as text.
func takeClaim(t *testing.T, g *Group, id string, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	res, err := g.Take(ctx, ws, ident.Request(id), "nonce-"+id)
	switch {
	case errors.Is(err, ErrUnresolved):
		return "unresolved"
	case errors.Is(err, store.ErrUnavailable):
		return "unavailable"
	case err != nil:
		return err.Error()
	case res.Mine:
		return "mine"
	}
	return "held by " + string(res.Claimant)
}

// putOtherClaim writes a claim of another instance for the request.
func putOtherClaim(f *fakeTable, id string) {
	v, _ := record.EncodeClaim(record.Claim{Instance: "entry-2", Nonce: "x", Taken: time.Now()})
	_, _ = f.apply(store.Txn{Puts: []store.Put{{Key: record.ClaimKey(ws, ident.Request(id)), Value: v}}})
}

// TestFaults guards against a Take that reports the claim as its own although
// its row is not in the table, or as another's although its row is, for each
// fault of a commit.
func TestFaults(t *testing.T) {
	lost := fault{answerLost: true}
	tests := []struct {
		name string
		set  func(f *fakeTable)
	}{
		{"no fault", func(*fakeTable) {}},
		{"claimed by another", func(f *fakeTable) { putOtherClaim(f, "r") }},
		{"store down", func(f *fakeTable) { f.down = true }},
		{"store slow", func(f *fakeTable) { f.faults = []fault{{delay: 2 * time.Second}} }},
		{"answer lost after effect", func(f *fakeTable) { f.faults = []fault{{answerLost: true, applied: true}} }},
		{"answer lost without effect", func(f *fakeTable) { f.faults = []fault{lost} }},
		{"answer lost twice without effect", func(f *fakeTable) { f.faults = []fault{lost, lost} }},
		{"answer lost, effect during the second commit", func(f *fakeTable) {
			f.faults = []fault{{answerLost: true, applyAfter: 50 * time.Millisecond}, {delay: 100 * time.Millisecond}}
		}},
		{"answer lost, claimed by another", func(f *fakeTable) { putOtherClaim(f, "r"); f.faults = []fault{lost} }},
		{"answer lost, then reads fail", func(f *fakeTable) { f.faults = []fault{lost}; f.readsFail = true }},
		{"answer lost, reads fail for 3 s", func(f *fakeTable) {
			f.faults, f.readsFail = []fault{{answerLost: true, applied: true}}, true
			time.AfterFunc(3*time.Second, func() { f.mu.Lock(); defer f.mu.Unlock(); f.readsFail = false })
		}},
	}
	var out strings.Builder
	for _, tc := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeTable()
			tc.set(f)
			g := New(f.table(), "entry-1", testSettings())
			start := time.Now()
			got := takeClaim(t, g, "r", 10*time.Second)
			fmt.Fprintf(&out, "%s: %s, %d commits, within %v\n", tc.name, got, len(f.commits), time.Since(start).Round(time.Second))
			advance(time.Minute)
		})
	}
	golden.Assert(t, out.String(), "faults.golden")
}

// TestLostThenDown guards against store.ErrUnavailable, which callers take as
// proof that no claim was made, from a second commit while the first one may
// still be applied: its answer was lost, and the store is down by the second.
func TestLostThenDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable()
		f.faults = []fault{{answerLost: true, applyAfter: time.Minute}, {delay: time.Second}}
		g := New(f.table(), "entry-1", testSettings())
		g.table.Get = func(_ context.Context, key string) (store.Row, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.down = true
			return store.Row{Key: key}, store.ErrNotFound
		}
		assert.Equal(t, takeClaim(t, g, "r", 10*time.Second), "unresolved")
		advance(2 * time.Minute)
	})
}

// TestGroupCommit guards against one transaction for each claim, against
// batches above MaxBatch, and against a conflict that fails the other claims of
// its batch.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable()
		f.faults = []fault{{delay: time.Second}}
		putOtherClaim(f, "r7")
		g := New(f.table(), "entry-1", testSettings())
		counts := make(chan string, 101)
		for i := range 101 {
			go func() { counts <- takeClaim(t, g, fmt.Sprint("r", i), 10*time.Second) }()
			synctest.Wait()
		}
		sum := make(map[string]int)
		for range 101 {
			sum[<-counts]++
		}
		var out strings.Builder
		fmt.Fprintf(&out, "mine %d, held by entry-2 %d\n", sum["mine"], sum["held by entry-2"])
		for _, c := range f.commits {
			fmt.Fprintf(&out, "transaction of %d claims\n", len(c.Puts))
		}
		golden.Assert(t, out.String(), "group.golden")
	})
}

// TestRetention guards against claims that are never deleted, against a
// separate transaction for the deletion, and against the deletion of a later
// claim with the same identifier.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable()
		g := New(f.table(), "entry-1", testSettings())
		for _, id := range []string{"old", "again"} {
			assert.Equal(t, takeClaim(t, g, id, time.Second), "mine")
		}
		advance(DefaultSettings().Retention)
		putOtherClaim(f, "again")
		assert.Equal(t, takeClaim(t, g, "new", time.Second), "mine")
		rows, err := f.scan(t.Context(), record.ClaimPrefix)
		assert.NilError(t, err)
		var out strings.Builder
		for _, row := range rows {
			c, err := record.DecodeClaim(row.Value)
			assert.NilError(t, err)
			fmt.Fprintf(&out, "%s %s\n", row.Key, c.Instance)
		}
		fmt.Fprintf(&out, "%d commits\n", len(f.commits))
		golden.Assert(t, out.String(), "retention.golden")
	})
}

// TestSweep guards against claims of instances that no longer run being kept
// indefinitely, and against the deletion of claims within the retention.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable()
		for i := range 10 {
			putOtherClaim(f, fmt.Sprint("old", i))
		}
		advance(2 * time.Hour)
		putOtherClaim(f, "young")
		s := Sweeper{Table: f.table(), Retention: time.Hour, MaxBatch: 4}
		n, err := s.Sweep(t.Context(), time.Now())
		assert.NilError(t, err)
		assert.Equal(t, n, 10)
		assert.Equal(t, len(f.rows), 1)
		assert.Equal(t, len(f.commits), 3)
	})
}

func ExampleGroup_Take() {
	g := New(newFakeTable().table(), "entry-1", testSettings())
	res, err := g.Take(context.Background(), "foundry-a", "licence-17", NewNonce())
	fmt.Println(res.Mine, err)
	// Output: true <nil>
}

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

// settings have a fixed delay in place of the random one.
func settings() Settings {
	s := DefaultSettings()
	s.Backoff.Float64 = func() float64 { return 0.5 }
	return s
}

func take(t *testing.T, g *Group, id string, timeout time.Duration) string {
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

func otherClaim(f *fakeTable, id string) {
	v, _ := record.EncodeClaim(record.Claim{Instance: "entry-2", Nonce: "x", Taken: time.Now()})
	_, _ = f.apply(store.Txn{Puts: []store.Put{{Key: record.ClaimKey(ws, ident.Request(id)), Value: v}}})
}

// TestFaults guards against a claim that is taken for ours without the row, or
// for another's although the row is ours, whatever happens to the commit.
func TestFaults(t *testing.T) {
	lost := fault{lost: true}
	tests := []struct {
		name string
		set  func(f *fakeTable)
	}{
		{"no fault", func(*fakeTable) {}},
		{"claimed by another", func(f *fakeTable) { otherClaim(f, "r") }},
		{"store down", func(f *fakeTable) { f.down = true }},
		{"store slow", func(f *fakeTable) { f.faults = []fault{{delay: 2 * time.Second}} }},
		{"answer lost after effect", func(f *fakeTable) { f.faults = []fault{{lost: true, effect: true}} }},
		{"answer lost without effect", func(f *fakeTable) { f.faults = []fault{lost} }},
		{"answer lost twice without effect", func(f *fakeTable) { f.faults = []fault{lost, lost} }},
		{"answer lost, effect during the second commit", func(f *fakeTable) {
			f.faults = []fault{{lost: true, late: 50 * time.Millisecond}, {delay: 100 * time.Millisecond}}
		}},
		{"answer lost, claimed by another", func(f *fakeTable) { otherClaim(f, "r"); f.faults = []fault{lost} }},
		{"answer lost, then reads fail", func(f *fakeTable) { f.faults = []fault{lost}; f.readsFail = true }},
		{"answer lost, reads fail for 3 s", func(f *fakeTable) {
			f.faults, f.readsFail = []fault{{lost: true, effect: true}}, true
			time.AfterFunc(3*time.Second, func() { f.mu.Lock(); defer f.mu.Unlock(); f.readsFail = false })
		}},
	}
	var out strings.Builder
	for _, tc := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeTable()
			tc.set(f)
			g := New(f.table(), "entry-1", settings())
			start := time.Now()
			got := take(t, g, "r", 10*time.Second)
			fmt.Fprintf(&out, "%s: %s, %d commits, within %v\n", tc.name, got, len(f.commits), time.Since(start).Round(time.Second))
			advance(time.Minute)
		})
	}
	golden.Assert(t, out.String(), "faults.golden")
}

// TestLostThenDown guards against an error that callers read as proof that no
// claim was made, although an earlier commit may still arrive.
func TestLostThenDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable()
		f.faults = []fault{{lost: true, late: time.Minute}, {delay: time.Second}}
		g := New(f.table(), "entry-1", settings())
		g.table.Get = func(_ context.Context, key string) (store.Row, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.down = true
			return store.Row{Key: key}, store.ErrNotFound
		}
		assert.Equal(t, take(t, g, "r", 10*time.Second), "unresolved")
		advance(2 * time.Minute)
	})
}

// TestGroupCommit guards against one transaction for each claim, against a
// batch beyond its bound, and against a conflict that costs others their claim.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable()
		f.faults = []fault{{delay: time.Second}}
		otherClaim(f, "r7")
		g := New(f.table(), "entry-1", settings())
		counts := make(chan string, 101)
		for i := range 101 {
			go func() { counts <- take(t, g, fmt.Sprint("r", i), 10*time.Second) }()
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

// TestRetention guards against claims that are never deleted, against a write
// for that purpose alone, and against the deletion of a later claim.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable()
		g := New(f.table(), "entry-1", settings())
		for _, id := range []string{"old", "again"} {
			assert.Equal(t, take(t, g, id, time.Second), "mine")
		}
		advance(DefaultSettings().Retention)
		otherClaim(f, "again")
		assert.Equal(t, take(t, g, "new", time.Second), "mine")
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

// TestSweep guards against claims of instances that are gone staying for ever,
// and against the deletion of claims within the retention.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable()
		for i := range 10 {
			otherClaim(f, fmt.Sprint("old", i))
		}
		advance(2 * time.Hour)
		otherClaim(f, "young")
		s := Sweeper{Table: f.table(), Retention: time.Hour, MaxBatch: 4}
		n, err := s.Sweep(t.Context(), time.Now())
		assert.NilError(t, err)
		assert.Equal(t, n, 10)
		assert.Equal(t, len(f.rows), 1)
		assert.Equal(t, len(f.commits), 3)
	})
}

func ExampleGroup_Take() {
	g := New(newFakeTable().table(), "entry-1", settings())
	res, err := g.Take(context.Background(), "foundry-a", "licence-17", NewNonce())
	fmt.Println(res.Mine, err)
	// Output: true <nil>
}

package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"gotest.tools/v3/golden"
)

// TestRecords guards against a quarantine of workers for the faults of a job,
// and against a bad worker that comes back for good after its quarantine.
func TestRecords(t *testing.T) {
	begin := time.Unix(0, 0)
	now := begin
	r := NewRecords()
	var out strings.Builder
	note := func(what string) {
		fmt.Fprintf(&out, "%8v %-24s barred %v\n", now.Sub(begin), what, r.IsBarred("w1", now))
	}
	fail := func(j ident.Job) {
		r.Failed("w1", j, now)
		note("job " + string(j) + " failed")
	}
	for range 4 {
		fail("a")
	}
	fail("b")
	r.Excuse("a")
	note("job a was at fault")
	fail("c")
	r.Succeeded("w1")
	note("job d was done")
	fail("e")
	fail("f")
	fail("g")
	now = now.Add(firstTerm)
	note("quarantine ended")
	fail("h")
	now = now.Add(firstTerm)
	note("first term passed again")
	now = now.Add(firstTerm)
	r.Succeeded("w1")
	note("job i was done")
	fail("j")
	golden.Assert(t, out.String(), "records.golden")
}

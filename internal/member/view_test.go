package member

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func infoOf(i int) Info {
	domains := []ident.Domain{"ub1", "ub2", "erd1"}
	regions := []ident.Region{"ulaanbaatar", "ulaanbaatar", "erdenet"}
	return Info{
		Instance: ident.Instance(fmt.Sprintf("entry-%d", i)), Domain: domains[i%3], Region: regions[i%3],
	}
}

// viewOf returns the view of instance self of n, which has seen the rows of all.
func viewOf(self, n int, now time.Time) *View {
	v := NewView(infoOf(self))
	var rows []sighted
	for i := range n {
		rows = append(rows, sighted{info: infoOf(i), version: 1})
	}
	v.observe(rows, now)
	return v
}

// TestRank guards against two instances that both prefer themselves, and
// against an owner in another region while there is one in the own.
func TestRank(t *testing.T) {
	now := time.Unix(0, 0)
	var out strings.Builder
	for d, domain := range []ident.Domain{"ub1", "ub2", "erd1"} {
		ranks := make([]string, 6)
		for i := range 6 {
			rank := viewOf(i, 6, now).Rank(domain, infoOf(d).Region, now)
			assert.Equal(t, ranks[rank], "", "two instances of rank %d", rank)
			ranks[rank] = string(infoOf(i).Domain)
		}
		fmt.Fprintf(&out, "%s is owned in the order %s\n", domain, strings.Join(ranks, " "))
	}
	golden.Assert(t, out.String(), "rank.golden")
}

// TestLive guards against instances that count as alive for ever, and against
// rows of instances that came back being deleted.
func TestLive(t *testing.T) {
	begin := time.Unix(0, 0)
	v := viewOf(0, 3, begin)
	v.heard(State{Instance: "entry-1"}, begin.Add(9*time.Second))
	names := func(now time.Time) []ident.Instance {
		var all []ident.Instance
		for _, p := range v.Live(now) {
			all = append(all, p.Instance)
		}
		return all
	}
	assert.Assert(t, slices.Equal(names(begin.Add(9*time.Second)), []ident.Instance{"entry-1", "entry-2"}))
	assert.Assert(t, slices.Equal(names(begin.Add(11*time.Second)), []ident.Instance{"entry-1"}))
	assert.Equal(t, len(names(begin.Add(13*time.Second))), 0)
	rows := []sighted{{info: infoOf(1), version: 1}, {info: infoOf(2), version: 2}}
	old := v.observe(rows, begin.Add(2*time.Minute))
	assert.Equal(t, len(old), 1)
	assert.Equal(t, old[0].info.Instance, ident.Instance("entry-1"))
}

// TestPeriod guards against control traffic that grows with the square of the
// number of instances.
func TestPeriod(t *testing.T) {
	for _, tc := range []struct {
		instances int
		want      time.Duration
	}{{7, time.Second}, {17, time.Second}, {33, 2 * time.Second}, {65, 4 * time.Second}} {
		assert.Equal(t, viewOf(0, tc.instances, time.Unix(0, 0)).period(), tc.want)
	}
}

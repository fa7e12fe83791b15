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

// viewOf returns the view of instance number self of n, which has read the rows
// of all of them.
func viewOf(self, n int, now time.Time) *View {
	v := NewView(infoOf(self))
	var rows []memberRow
	for i := range n {
		rows = append(rows, memberRow{info: infoOf(i), version: 1})
	}
	v.observeRows(rows, now)
	return v
}

// TestRank guards against two instances with the same rank for a domain, and
// against an owner in another region while there is an instance in the region
// of the domain.
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

// TestLive guards against instances that count as alive for ever, and against the
// deletion of the row of an instance that has changed it recently.
func TestLive(t *testing.T) {
	start := time.Unix(0, 0)
	v := viewOf(0, 3, start)
	v.recordExchange(State{Instance: "entry-1"}, start.Add(9*time.Second))
	names := func(now time.Time) []ident.Instance {
		var all []ident.Instance
		for _, p := range v.Live(now) {
			all = append(all, p.Instance)
		}
		return all
	}
	assert.Assert(t, slices.Equal(names(start.Add(9*time.Second)), []ident.Instance{"entry-1", "entry-2"}))
	assert.Assert(t, slices.Equal(names(start.Add(11*time.Second)), []ident.Instance{"entry-1"}))
	assert.Equal(t, len(names(start.Add(13*time.Second))), 0)
	rows := []memberRow{{info: infoOf(1), version: 1}, {info: infoOf(2), version: 2}}
	stale := v.observeRows(rows, start.Add(2*time.Minute))
	assert.Equal(t, len(stale), 1)
	assert.Equal(t, stale[0].info.Instance, ident.Instance("entry-1"))
}

// TestExchangeInterval guards against control traffic that grows with the square
// of the number of instances.
func TestExchangeInterval(t *testing.T) {
	for _, tc := range []struct {
		instances int
		want      time.Duration
	}{{7, time.Second}, {17, time.Second}, {33, 2 * time.Second}, {65, 4 * time.Second}} {
		assert.Equal(t, viewOf(0, tc.instances, time.Unix(0, 0)).exchangeIntervalLocked(), tc.want)
	}
}

package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// scenario calls a table at a simulated time and records the results.
type scenario struct {
	table *Table
	now   time.Time
	out   strings.Builder
	// lease is that of the last successful pick.
	lease Lease
}

const seed = 7

func settings() Settings {
	s := DefaultSettings()
	s.IntN = rand.New(rand.NewPCG(seed, seed)).IntN
	return s
}

func endpoint(name ident.Endpoint, region ident.Region, port uint16) Endpoint {
	return Endpoint{
		Name: name, Service: "proofs", Region: region, Slots: 8,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
	}
}

func newScenario(list ...Endpoint) *scenario {
	s := &scenario{table: New(settings()), now: time.Unix(1000, 0)}
	s.table.Update(list, s.now)
	return s
}

func (s *scenario) record(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }

// pick selects an endpoint for a caller in the region coast.
func (s *scenario) pick(except ...ident.Endpoint) error {
	l, err := s.table.Pick("proofs", "coast", except, s.now)
	if err != nil {
		s.record("  pick: %v", err)
		return err
	}
	s.lease = l
	s.record("  pick: %s local=%v", l.Endpoint().Name, l.Local())
	return nil
}

// release ends the lease with the result and advances the time.
func (s *scenario) release(r Result, after time.Duration) {
	s.table.Release(s.lease, r, s.now)
	s.now = s.now.Add(after)
	s.record("  capacity %d", s.table.Capacity("proofs", s.now))
}

// TestRegions guards against a request that crosses the link between regions,
// whose traffic is billed, while the caller's own region has an endpoint that
// can take it.
func TestRegions(t *testing.T) {
	s := newScenario(endpoint("a", "coast", 1), endpoint("b", "coast", 2), endpoint("c", "interior", 3))
	for s.pick() == nil {
		continue
	}
	golden.Assert(t, s.out.String(), "regions.golden")
}

// TestLeaving guards against requests to an endpoint that announced that it is
// leaving while the platform's list, which lags, still shows it in service. It
// also guards against an announcement that outlives the endpoint's restart.
func TestLeaving(t *testing.T) {
	a := endpoint("a", "coast", 1)
	s := newScenario(a)
	s.record("in service")
	_ = s.pick()
	s.table.MarkLeaving("a", s.now)
	s.record("announced that it is leaving")
	_ = s.pick()
	s.table.Update([]Endpoint{a}, s.now)
	s.record("the list still has it in service")
	_ = s.pick()
	a.Address = netip.MustParseAddrPort("127.0.0.1:9")
	s.table.Update([]Endpoint{a}, s.now)
	s.record("seen with a new address")
	_ = s.pick()
	s.table.MarkLeaving("a", s.now)
	a.Incarnation = "2"
	s.table.Update([]Endpoint{a}, s.now)
	s.record("leaving again, seen with a new incarnation")
	_ = s.pick()
	a.Leaving = true
	s.table.Update([]Endpoint{a}, s.now)
	s.record("listed as leaving")
	_ = s.pick()
	s.table.Update(nil, s.now)
	s.record("no longer listed")
	_ = s.pick()
	golden.Assert(t, s.out.String(), "leaving.golden")
}

// TestReportedLeaving guards against requests to an endpoint that announced to
// another instance that it is leaving, and against a late report that excludes
// the endpoint after its restart.
func TestReportedLeaving(t *testing.T) {
	a := endpoint("a", "coast", 1)
	s, other := newScenario(a), newScenario(a)
	other.table.MarkLeaving("a", other.now)
	announced := other.table.AnnouncedLeaving(other.now)
	assert.Equal(t, len(announced), 1)
	s.table.MarkReportedLeaving(announced[0], s.now)
	assert.Assert(t, errors.Is(s.pick(), ErrNoEndpoint))
	assert.Equal(t, len(s.table.AnnouncedLeaving(s.now)), 0)
	assert.Equal(t, len(other.table.AnnouncedLeaving(other.now.Add(announcementMaxAge))), 0)
	a.Incarnation = "2"
	s.table.Update([]Endpoint{a}, s.now)
	s.table.MarkReportedLeaving(announced[0], s.now)
	assert.NilError(t, s.pick())
	a.Incarnation = ""
	s.table.Update([]Endpoint{a}, s.now)
	s.table.MarkReportedLeaving(announced[0], s.now)
	s.now = s.now.Add(reportTTL)
	assert.NilError(t, s.pick())
}

// TestEjection guards against requests to an endpoint whose connections fail,
// and against an endpoint that is never probed again.
func TestEjection(t *testing.T) {
	s := newScenario(endpoint("a", "coast", 1))
	for range 3 {
		start := s.now
		assert.NilError(t, s.pick())
		s.release(Failed, 0)
		changed, until := s.table.Wait("proofs", s.now)
		assert.Assert(t, changed != nil)
		s.record("ejected for %v", until.Sub(start).Round(time.Millisecond))
		assert.Assert(t, errors.Is(s.pick(), ErrBusy))
		s.now = until
	}
	assert.NilError(t, s.pick())
	s.record("one request probes the endpoint, a second has to wait")
	_ = s.pick()
	s.release(Answered, 0)
	golden.Assert(t, s.out.String(), "ejection.golden")
}

// TestLimit guards against a limit that ignores refusals, decreases more than
// once for one overload, exceeds the slots, or stays low after an overload.
func TestLimit(t *testing.T) {
	a := endpoint("a", "coast", 1)
	a.Slots = 32
	s := newScenario(a)
	s.record("two refusals at once")
	assert.NilError(t, s.pick())
	first := s.lease
	assert.NilError(t, s.pick())
	s.release(Refused, 0)
	s.lease = first
	s.release(Refused, time.Second)
	s.record("a timeout later")
	assert.NilError(t, s.pick())
	s.release(TimedOut, time.Second)
	s.record("answers")
	for range 300 {
		var leases []Lease
		for range s.table.Capacity("proofs", s.now) {
			l, err := s.table.Pick("proofs", "coast", nil, s.now)
			assert.NilError(t, err)
			leases = append(leases, l)
		}
		for _, l := range leases {
			s.table.Release(l, Answered, s.now)
		}
	}
	s.record("  capacity %d", s.table.Capacity("proofs", s.now))
	golden.Assert(t, s.out.String(), "limit.golden")
}

// TestBalance guards against a selection that prefers the busier endpoint.
func TestBalance(t *testing.T) {
	var list []Endpoint
	for i := range 20 {
		list = append(list, endpoint(ident.Endpoint(fmt.Sprint("e", i)), "coast", uint16(i+1)))
	}
	s := newScenario(list...)
	load := make(map[ident.Endpoint]int)
	for range 40 {
		assert.NilError(t, s.pick())
		load[s.lease.Endpoint().Name]++
	}
	most := 0
	for _, n := range load {
		most = max(most, n)
	}
	assert.Assert(t, most <= 4, "seed %d: an endpoint has %d of 40 requests over 20 endpoints", seed, most)
}

// TestPickAllocates guards against allocation on the hot path.
func TestPickAllocates(t *testing.T) {
	table, now := newBenchTable(50)
	n := testing.AllocsPerRun(1000, func() {
		l, _ := table.Pick("proofs", "coast", nil, now)
		table.Release(l, Answered, now)
	})
	assert.Equal(t, n, 0.0)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			table, now := newBenchTable(n)
			b.ReportAllocs()
			for b.Loop() {
				l, err := table.Pick("proofs", "coast", nil, now)
				if err != nil {
					b.Fatal(err)
				}
				table.Release(l, Answered, now)
			}
		})
	}
}

func newBenchTable(n int) (*Table, time.Time) {
	var list []Endpoint
	for i := range n {
		list = append(list, endpoint(ident.Endpoint(fmt.Sprint("e", i)), "coast", uint16(i+1)))
	}
	t, now := New(settings()), time.Unix(1000, 0)
	t.Update(list, now)
	return t, now
}

func ExampleTable() {
	now := time.Now()
	t := New(DefaultSettings())
	t.Update([]Endpoint{{
		Name: "runner-1", Service: "proofs", Region: "coast", Slots: 8,
		Address: netip.MustParseAddrPort("127.0.0.1:9000"),
	}}, now)
	l, err := t.Pick("proofs", "coast", nil, now)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(l.Endpoint().Name, l.Local())
	t.Release(l, Answered, now)
	// Output: runner-1 true
}

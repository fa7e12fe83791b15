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

type script struct {
	t     *Table
	now   time.Time
	out   strings.Builder
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

func newScript(list ...Endpoint) *script {
	s := &script{t: New(settings()), now: time.Unix(1000, 0)}
	s.t.Update(list, s.now)
	return s
}

func (s *script) say(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }

// pick selects an endpoint for a caller on the coast.
func (s *script) pick(except ...ident.Endpoint) error {
	l, err := s.t.Pick("proofs", "coast", except, s.now)
	if err != nil {
		s.say("  pick: %v", err)
		return err
	}
	s.lease = l
	s.say("  pick: %s local=%v", l.Endpoint().Name, l.Local())
	return nil
}

func (s *script) end(r Result, after time.Duration) {
	s.t.Release(s.lease, r, s.now)
	s.now = s.now.Add(after)
	s.say("  capacity %d", s.t.Capacity("proofs", s.now))
}

// TestRegions guards against use of the billed link while the caller's own
// region has an endpoint that can take the request.
func TestRegions(t *testing.T) {
	s := newScript(endpoint("a", "coast", 1), endpoint("b", "coast", 2), endpoint("c", "interior", 3))
	for s.pick() == nil {
		continue
	}
	golden.Assert(t, s.out.String(), "regions.golden")
}

// TestLeaving guards against new work for an endpoint that said it is leaving
// while the lagging list still has it in service (P7).
func TestLeaving(t *testing.T) {
	a := endpoint("a", "coast", 1)
	s := newScript(a)
	s.say("in service")
	_ = s.pick()
	s.t.MarkLeaving("a", s.now)
	s.say("said that it is leaving")
	_ = s.pick()
	s.t.Update([]Endpoint{a}, s.now)
	s.say("the list still has it in service")
	_ = s.pick()
	a.Address = netip.MustParseAddrPort("127.0.0.1:9")
	s.t.Update([]Endpoint{a}, s.now)
	s.say("seen with a new address")
	_ = s.pick()
	s.t.MarkLeaving("a", s.now)
	a.Incarnation = "2"
	s.t.Update([]Endpoint{a}, s.now)
	s.say("leaving again, seen with a new incarnation")
	_ = s.pick()
	a.Leaving = true
	s.t.Update([]Endpoint{a}, s.now)
	s.say("listed as leaving")
	_ = s.pick()
	s.t.Update(nil, s.now)
	s.say("no longer listed")
	_ = s.pick()
	golden.Assert(t, s.out.String(), "leaving.golden")
}

// TestTold guards against new work for an endpoint that said to another
// instance that it is leaving, and against a late word that bars its successor.
func TestTold(t *testing.T) {
	a := endpoint("a", "coast", 1)
	s, other := newScript(a), newScript(a)
	other.t.MarkLeaving("a", other.now)
	heard := other.t.Heard(other.now)
	assert.Equal(t, len(heard), 1)
	s.t.MarkTold(heard[0], s.now)
	assert.Assert(t, errors.Is(s.pick(), ErrNoEndpoint))
	assert.Equal(t, len(s.t.Heard(s.now)), 0)
	assert.Equal(t, len(other.t.Heard(other.now.Add(shareFor))), 0)
	a.Incarnation = "2"
	s.t.Update([]Endpoint{a}, s.now)
	s.t.MarkTold(heard[0], s.now)
	assert.NilError(t, s.pick())
	a.Incarnation = ""
	s.t.Update([]Endpoint{a}, s.now)
	s.t.MarkTold(heard[0], s.now)
	s.now = s.now.Add(tellFor)
	assert.NilError(t, s.pick())
}

// TestEjection guards against work for an endpoint whose connections fail, and
// against an endpoint that never returns.
func TestEjection(t *testing.T) {
	s := newScript(endpoint("a", "coast", 1))
	for range 3 {
		start := s.now
		assert.NilError(t, s.pick())
		s.end(Failed, 0)
		changed, until := s.t.Wait("proofs", s.now)
		assert.Assert(t, changed != nil)
		s.say("ejected for %v", until.Sub(start).Round(time.Millisecond))
		assert.Assert(t, errors.Is(s.pick(), ErrBusy))
		s.now = until
	}
	assert.NilError(t, s.pick())
	s.say("one request tries it, a second has to wait")
	_ = s.pick()
	s.end(Answered, 0)
	golden.Assert(t, s.out.String(), "ejection.golden")
}

// TestLimit guards against a limit that ignores refusals, falls more than once
// for one overload, exceeds the slots, or stays low after an overload.
func TestLimit(t *testing.T) {
	a := endpoint("a", "coast", 1)
	a.Slots = 32
	s := newScript(a)
	s.say("two refusals at once")
	assert.NilError(t, s.pick())
	first := s.lease
	assert.NilError(t, s.pick())
	s.end(Refused, 0)
	s.lease = first
	s.end(Refused, time.Second)
	s.say("a timeout later")
	assert.NilError(t, s.pick())
	s.end(TimedOut, time.Second)
	s.say("answers")
	for range 300 {
		var open []Lease
		for range s.t.Capacity("proofs", s.now) {
			l, err := s.t.Pick("proofs", "coast", nil, s.now)
			assert.NilError(t, err)
			open = append(open, l)
		}
		for _, l := range open {
			s.t.Release(l, Answered, s.now)
		}
	}
	s.say("  capacity %d", s.t.Capacity("proofs", s.now))
	golden.Assert(t, s.out.String(), "limit.golden")
}

// TestBalance guards against a selection that prefers the busier endpoint.
func TestBalance(t *testing.T) {
	var list []Endpoint
	for i := range 20 {
		list = append(list, endpoint(ident.Endpoint(fmt.Sprint("e", i)), "coast", uint16(i+1)))
	}
	s := newScript(list...)
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
	table, now := benchTable(50)
	n := testing.AllocsPerRun(1000, func() {
		l, _ := table.Pick("proofs", "coast", nil, now)
		table.Release(l, Answered, now)
	})
	assert.Equal(t, n, 0.0)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			table, now := benchTable(n)
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

func benchTable(n int) (*Table, time.Time) {
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

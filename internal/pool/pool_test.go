package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

func gpus(n int64) graph.Demand { return graph.Demand{Accelerators: n} }

// newTestPool returns a pool of two racks of three workers with 8 accelerators.
// The first worker of each rack is partly occupied.
func newTestPool() *Pool {
	p := New()
	for r := range 2 {
		for i := range 3 {
			w := &Worker{
				ID:         WorkerID(fmt.Sprintf("w%d%d", r, i)),
				Attributes: Attributes{Service: "s", Rack: fmt.Sprintf("r%d", r), Labels: []string{"a"}, Capacity: gpus(8)},
			}
			if i == 0 {
				w.Occupied = gpus(int64(3 + r))
			}
			p.Put(w)
		}
	}
	return p
}

func workerIDs(ws []*Worker) string {
	if ws == nil {
		return "none"
	}
	var s []string
	for _, w := range ws {
		s = append(s, string(w.ID))
	}
	return strings.Join(s, " ")
}

// TestChoose guards against gangs spread over several racks without need, empty
// workers used while partly occupied ones have capacity, and the use of workers
// that are closed, quarantined or unsuitable.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	var b strings.Builder
	for _, c := range []struct {
		name   string
		change func(*Pool, *Request)
	}{
		{"one small task", func(_ *Pool, r *Request) { r.Count, r.TaskDemand = 1, gpus(1) }},
		{"two whole workers", func(_ *Pool, r *Request) { r.Count, r.TaskDemand = 2, gpus(8) }},
		{"gang on one rack", func(_ *Pool, r *Request) { r.Count, r.TaskDemand, r.SameRack = 5, gpus(4), true }},
		{"gang beyond a rack", func(_ *Pool, r *Request) { r.Count, r.TaskDemand, r.SameRack = 7, gpus(4), true }},
		{"gang beyond a rack, near only", func(_ *Pool, r *Request) {
			r.Count, r.TaskDemand, r.SameRack, r.LocalOnly = 7, gpus(4), true, true
		}},
		{"data in r1", func(_ *Pool, r *Request) { r.Count, r.TaskDemand, r.DataRack = 2, gpus(2), "r1" }},
		{"data in r1, no capacity there", func(p *Pool, r *Request) {
			r.Count, r.TaskDemand, r.DataRack = 1, gpus(8), "r1"
			p.Worker("w11").Closed, p.Worker("w12").QuarantinedUntil = true, now.Add(time.Second)
		}},
		{"data in an unknown rack", func(_ *Pool, r *Request) { r.Count, r.TaskDemand, r.DataRack = 1, gpus(1), "r9" }},
		{"label", func(p *Pool, r *Request) {
			r.Count, r.TaskDemand, r.Label = 1, gpus(1), "b"
			p.Worker("w12").Labels = []string{"b"}
		}},
		{"another service", func(_ *Pool, r *Request) { r.Count, r.TaskDemand, r.Service = 1, gpus(1), "x" }},
		{"one per worker", func(_ *Pool, r *Request) {
			r.Count, r.TaskDemand, r.MaxPerWorker = 4, gpus(1), 1
			r.TaskCounts = map[WorkerID]int{"w00": 1}
		}},
		{"avoided worker last", func(_ *Pool, r *Request) {
			r.Count, r.TaskDemand, r.Avoid = 1, gpus(1), map[WorkerID]bool{"w00": true, "w10": true}
		}},
		{"stalled workers not allowed", func(p *Pool, r *Request) {
			r.Count, r.TaskDemand = 1, gpus(1)
			p.Each(func(w *Worker) { w.QuarantinedUntil, w.Stalled = now.Add(time.Second), w.ID != "w00" })
		}},
		{"stalled workers allowed", func(p *Pool, r *Request) {
			r.Count, r.TaskDemand, r.AllowStalled = 1, gpus(1), true
			p.Each(func(w *Worker) { w.QuarantinedUntil, w.Stalled = now.Add(time.Second), w.ID != "w00" })
		}},
		{"more than the capacity", func(_ *Pool, r *Request) { r.Count, r.TaskDemand = 60, gpus(1) }},
	} {
		p, r := newTestPool(), Request{Now: now, Service: "s"}
		c.change(p, &r)
		chosen, near := p.Choose(r)
		fmt.Fprintf(&b, "%s: %s near=%v\n", c.name, workerIDs(chosen), near)
	}
	golden.Assert(t, b.String(), "choose.golden")
}

// TestOnlyQuarantined guards against tasks that wait for a worker that is quarantined for
// stalled tasks although no other can run them, and against such a worker being used
// beside others.
func TestOnlyQuarantined(t *testing.T) {
	now := time.Unix(1000, 0)
	p, r := newTestPool(), Request{Now: now, Service: "s", Label: "b", Count: 1, AllowStalled: true}
	assert.Assert(t, !p.OnlyQuarantined(r), "no worker has the label")
	w := p.Worker("w12")
	w.Labels = []string{"b"}
	assert.Assert(t, !p.OnlyQuarantined(r), "not quarantined")
	w.QuarantinedUntil = now.Add(time.Second)
	assert.Assert(t, !p.OnlyQuarantined(r), "quarantined for failures")
	failing := r
	failing.AllowFailing = true
	assert.Assert(t, p.OnlyQuarantined(failing))
	w.Stalled = true
	assert.Assert(t, p.OnlyQuarantined(r))
	w.Closed = true
	assert.Assert(t, !p.OnlyQuarantined(r), "closed")
	w.Closed = false
	p.Worker("w11").Labels = []string{"b"}
	assert.Assert(t, !p.OnlyQuarantined(r), "another worker is usable")
}

// TestChooseFits guards against placements that exceed the free capacity of a
// worker or use a closed one, for any occupancy of the pool.
func TestChooseFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		p.Each(func(w *Worker) {
			w.Occupied = gpus(rapid.Int64Range(0, 8).Draw(t, "occupied"))
			w.Reserved = gpus(rapid.Int64Range(0, 8-w.Occupied.Accelerators).Draw(t, "reserved"))
			w.Closed = rapid.Bool().Draw(t, "closed")
		})
		r := Request{
			Service: "s", Count: rapid.IntRange(1, 12).Draw(t, "count"), TaskDemand: gpus(rapid.Int64Range(1, 8).Draw(t, "room")),
			SameRack: rapid.Bool().Draw(t, "sameRack"), DataRack: rapid.SampledFrom([]string{"", "r0", "r1"}).Draw(t, "data"),
		}
		chosen, _ := p.Choose(r)
		if chosen == nil {
			return
		}
		assert.Equal(t, len(chosen), r.Count)
		placed := make(map[*Worker]graph.Demand)
		for _, w := range chosen {
			placed[w] = placed[w].Plus(r.TaskDemand)
		}
		for w, d := range placed {
			assert.Assert(t, d.Fits(w.Free()), "worker %s: placed %v, free %v", w.ID, d, w.Free())
			assert.Assert(t, !w.Closed)
		}
	})
}

func BenchmarkChoose48(b *testing.B)   { benchmarkChoose(b, 48) }
func BenchmarkChoose350(b *testing.B)  { benchmarkChoose(b, 350) }
func BenchmarkChoose1500(b *testing.B) { benchmarkChoose(b, 1500) }

func benchmarkChoose(b *testing.B, n int) {
	p := New()
	for i := range n {
		p.Put(&Worker{
			ID: WorkerID(fmt.Sprint(i)), Attributes: Attributes{Service: "s", Rack: fmt.Sprint(i / 8), Capacity: gpus(8)},
			Occupied: gpus(int64(i % 7)),
		})
	}
	r := Request{Service: "s", Count: 6, TaskDemand: gpus(4), SameRack: true}
	for b.Loop() {
		p.Choose(r)
	}
}

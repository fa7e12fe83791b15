package plan

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

var noon = time.Unix(1000, 0)

func gpus(n int64) graph.Demand { return graph.Demand{Accelerators: n} }

// racks returns a pool of two racks of two workers with 8 accelerators.
func racks() *pool.Pool {
	p := pool.New()
	for r := range 2 {
		for i := range 2 {
			p.Put(&pool.Worker{
				ID: pool.WorkerID(fmt.Sprintf("w%d%d", r, i)), Service: "s", Rack: fmt.Sprintf("r%d", r), Capacity: gpus(8),
			})
		}
	}
	return p
}

// unit returns the only step of a job, of the given age.
func unit(id, workspace string, priority int, age time.Duration, s graph.Step) graph.Unit {
	j := &graph.Job{
		ID: graph.ID(id), Workspace: workspace, Priority: priority, Service: "s", Slack: 2, Accepted: noon.Add(-age),
		MaxAttempts: 3, Steps: []graph.Step{s},
	}
	p := graph.NewProgress(j)
	p.Open(noon)
	return p.Ready()[0]
}

func gang(count int, d graph.Demand) graph.Step {
	return graph.Step{Count: count, Demand: d, Gang: true, SameRack: true, Estimate: 4 * time.Second}
}

// running puts u on the workers as if it had started some time ago.
func running(v *View, u graph.Unit, since time.Duration, on ...pool.WorkerID) *Placed {
	p := &Placed{Unit: u, Since: noon.Add(-since)}
	for _, id := range on {
		w := v.Pool.Worker(id)
		w.Occupied = w.Occupied.Plus(u.Spec().Room())
		p.Workers = append(p.Workers, w)
	}
	u.SetBusy(true)
	v.Placed = append(v.Placed, p)
	return p
}

func render(d Decision) string {
	var b strings.Builder
	for _, s := range d.Stops {
		fmt.Fprintf(&b, "  stop %s for %s\n", s.Placed.Unit.Progress.Job.ID, s.For.Progress.Job.ID)
	}
	for _, s := range d.Starts {
		fmt.Fprintf(&b, "  start %s on", s.Unit.Progress.Job.ID)
		for _, w := range s.Workers {
			fmt.Fprintf(&b, " %s", w.ID)
		}
		fmt.Fprintf(&b, " near=%v: %s\n", s.Near, s.Reason)
	}
	if len(d.Waits) > 0 {
		fmt.Fprintf(&b, "  wait %v\n", d.Waits)
	}
	return b.String()
}

// TestDecide guards against the wrong order, the wrong place and the wrong
// victim. Each case names the load that it stands for.
func TestDecide(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name  string
		build func(*View)
	}{
		{"urgent before older work", func(v *View) {
			v.Waiting = append(v.Waiting, unit("old", "a", 1, 3*time.Second, gang(4, gpus(8))),
				unit("urgent", "a", 0, 0, gang(2, gpus(8))))
		}},
		{"what can be in time before what is late", func(v *View) {
			running(v, unit("r", "a", 1, 0, gang(2, gpus(8))), time.Second, "w00", "w01")
			v.Waiting = append(v.Waiting, unit("late", "a", 1, time.Minute, gang(2, gpus(8))),
				unit("fresh", "a", 1, 0, gang(2, gpus(8))))
		}},
		{"small work behind a gang that does not fit", func(v *View) {
			running(v, unit("r", "a", 1, 0, gang(1, gpus(4))), time.Second, "w00")
			running(v, unit("q", "a", 1, 0, gang(1, gpus(4))), time.Second, "w10")
			v.Waiting = append(v.Waiting, unit("wide", "a", 1, 2*time.Second, gang(4, gpus(8))),
				unit("small", "a", 1, 0, gang(1, gpus(4))))
		}},
		{"urgent gang near its data, others stopped there although there is room elsewhere", func(v *View) {
			running(v, unit("victim", "b", 1, 0, gang(2, gpus(8))), time.Second, "w10", "w11")
			s := gang(2, gpus(4))
			s.DataRack = "r1"
			v.Waiting = append(v.Waiting, unit("urgent", "a", 0, 0, s))
		}},
		{"the victim that loses least", func(v *View) {
			running(v, unit("long", "b", 1, 0, gang(2, gpus(8))), 9*time.Second, "w00", "w01")
			running(v, unit("young", "b", 1, 0, gang(2, gpus(8))), time.Second, "w10", "w11")
			v.Waiting = append(v.Waiting, unit("urgent", "a", 0, 0, gang(2, gpus(8))))
		}},
		{"saved work counts as kept", func(v *View) {
			saving := gang(2, gpus(8))
			saving.Checkpoints = true
			running(v, unit("saved", "b", 1, 0, saving), 9*time.Second, "w00", "w01")
			running(v, unit("young", "b", 1, 0, gang(2, gpus(8))), time.Second, "w10", "w11")
			v.Waiting = append(v.Waiting, unit("urgent", "a", 0, 0, gang(2, gpus(8))))
		}},
		{"urgent work beyond its guarantee makes room for a guarantee", func(v *View) {
			running(v, unit("beyond", "b", 0, 0, gang(2, gpus(8))), time.Second, "w00", "w01")
			running(v, unit("kept", "c", 0, 0, gang(2, gpus(8))), time.Second, "w10", "w11")
			v.Guarantees = map[string]int64{"a": 16, "b": 4, "c": 16}
			v.Waiting = append(v.Waiting, unit("urgent", "a", 0, 0, gang(2, gpus(8))))
		}},
		{"no guarantee, no stop of urgent work", func(v *View) {
			running(v, unit("first", "b", 0, 0, gang(2, gpus(8))), time.Second, "w00", "w01")
			running(v, unit("second", "c", 0, 0, gang(2, gpus(8))), time.Second, "w10", "w11")
			v.Guarantees = map[string]int64{"a": 8, "b": 4, "c": 4}
			v.Waiting = append(v.Waiting, unit("urgent", "a", 0, 0, gang(2, gpus(8))))
		}},
		{"room that is about to be free needs no stop", func(v *View) {
			p := running(v, unit("going", "b", 1, 0, gang(2, gpus(8))), time.Second, "w00", "w01")
			p.Stopping = true
			for _, w := range p.Workers {
				w.Leaving = gpus(8)
			}
			running(v, unit("other", "b", 1, 0, gang(2, gpus(8))), time.Second, "w10", "w11")
			v.Waiting = append(v.Waiting, unit("urgent", "a", 0, 0, gang(2, gpus(8))))
		}},
		{"a limit on each worker within one round", func(v *View) {
			s := graph.Step{Count: 3, Demand: gpus(1), MaxPerWorker: 1, Estimate: time.Second}
			u := unit("apart", "a", 1, 0, s)
			v.Waiting = append(v.Waiting, u.Progress.Ready()...)
		}},
		{"tasks of which only a few may be away are not stopped", func(v *View) {
			serving := gang(2, gpus(8))
			serving.LongRunning, serving.MayMiss = true, 1
			running(v, unit("serving", "b", 1, 0, serving), time.Second, "w00", "w01")
			running(v, unit("batch", "b", 1, 0, gang(2, gpus(8))), 9*time.Second, "w10", "w11")
			v.Waiting = append(v.Waiting, unit("urgent", "a", 0, 0, gang(2, gpus(8))))
		}},
		{"a gang wider than any rack does not wait for one", func(v *View) {
			v.Waiting = append(v.Waiting, unit("wide", "a", 1, time.Second, gang(3, gpus(8))))
		}},
		{"waiting for room near the data", func(v *View) {
			running(v, unit("there", "b", 1, 0, gang(2, gpus(8))), time.Second, "w10", "w11")
			s := gang(2, gpus(4))
			s.DataRack = "r1"
			v.Waiting = append(v.Waiting, unit("patient", "a", 1, time.Second, s), unit("waited", "a", 1, 11*time.Second, s))
		}},
	} {
		v := &View{Pool: racks(), Present: func(graph.Unit) map[pool.WorkerID]int { return map[pool.WorkerID]int{} }}
		c.build(v)
		fmt.Fprintf(&b, "%s:\n%s", c.name, render(Decide(noon, v)))
	}
	golden.Assert(t, b.String(), "decide.golden")
}

// TestDecideHolds guards against rounds that place more than the workers will
// hold once everything that was told to stop has ended, and against two stops
// of one unit.
func TestDecideHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &View{Pool: racks(), Guarantees: map[string]int64{"a": 16, "b": 8}}
		ids := []pool.WorkerID{"w00", "w01", "w10", "w11"}
		for i := range rapid.IntRange(0, 6).Draw(t, "running") {
			d := gpus(rapid.Int64Range(1, 4).Draw(t, "room"))
			on := ids[rapid.IntRange(0, 3).Draw(t, "on")]
			if w := v.Pool.Worker(on); d.Fits(w.Free()) {
				u := unit(fmt.Sprintf("r%d", i), "b", rapid.IntRange(0, 2).Draw(t, "priority"), 0, gang(1, d))
				running(v, u, time.Duration(i)*time.Second, on)
			}
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "waiting") {
			s := gang(rapid.IntRange(1, 3).Draw(t, "count"), gpus(rapid.Int64Range(1, 8).Draw(t, "need")))
			s.DataRack = rapid.SampledFrom([]string{"", "r0", "r1"}).Draw(t, "data")
			v.Waiting = append(v.Waiting, unit(fmt.Sprintf("u%d", i), "a", rapid.IntRange(0, 2).Draw(t, "urgency"), 0, s))
		}
		d := Decide(noon, v)
		stopped := make(map[*Placed]bool)
		for _, s := range d.Stops {
			assert.Assert(t, !stopped[s.Placed], "stopped twice")
			stopped[s.Placed] = true
		}
		v.Pool.Each(func(w *pool.Worker) {
			assert.Assert(t, w.FreeSoon().Accelerators >= 0, "%s is %d over", w.ID, -w.FreeSoon().Accelerators)
		})
	})
}

func BenchmarkDecide48(b *testing.B)  { benchmarkDecide(b, 6) }
func BenchmarkDecide350(b *testing.B) { benchmarkDecide(b, 44) }

// benchmarkDecide measures a round in which nothing fits.
func benchmarkDecide(b *testing.B, racks int) {
	p := pool.New()
	for r := range racks {
		for i := range 8 {
			p.Put(&pool.Worker{
				ID: pool.WorkerID(fmt.Sprintf("w%d-%d", r, i)), Service: "s", Rack: fmt.Sprint(r), Capacity: gpus(8),
				Occupied: gpus(8),
			})
		}
	}
	v := &View{Pool: p}
	for i := range 60 {
		v.Waiting = append(v.Waiting, unit(fmt.Sprint(i), "a", 1+i%2, 0, gang(4, gpus(2))))
	}
	for b.Loop() {
		Decide(noon, v)
	}
}

func BenchmarkReclaim48(b *testing.B)  { benchmarkReclaim(b, 6) }
func BenchmarkReclaim350(b *testing.B) { benchmarkReclaim(b, 44) }

// benchmarkReclaim measures a round in a full site: three quarters of the
// accelerators have single tasks, the others gangs, and urgent gangs, other
// gangs and single tasks wait.
func benchmarkReclaim(b *testing.B, racks int) {
	for b.Loop() {
		b.StopTimer()
		v := fullSite(racks)
		b.StartTimer()
		Decide(noon, v)
	}
}

// fullSite returns a site without free accelerators.
func fullSite(racks int) *View {
	v := &View{
		Pool: pool.New(), Guarantees: map[string]int64{"a": 1 << 10},
		Present: func(graph.Unit) map[pool.WorkerID]int { return map[pool.WorkerID]int{} },
	}
	n := 0
	for r := range racks {
		var ids []pool.WorkerID
		for i := range 8 {
			w := &pool.Worker{ID: pool.WorkerID(fmt.Sprintf("w%d-%d", r, i)), Service: "s", Rack: fmt.Sprint(r), Capacity: gpus(8)}
			v.Pool.Put(w)
			ids = append(ids, w.ID)
		}
		for i, id := range ids {
			if i >= 6 {
				continue
			}
			for range 8 {
				n++
				running(v, unit(fmt.Sprintf("s%d", n), "b", 2, time.Second, graph.Step{Count: 1, Demand: gpus(1), Estimate: time.Second}),
					time.Duration(n%7)*time.Second, id)
			}
		}
		n++
		running(v, unit(fmt.Sprintf("g%d", n), "b", 1, time.Second, gang(2, gpus(8))), time.Duration(n%5)*time.Second, ids[6], ids[7])
	}
	for i := range 2 * racks {
		s := gang(1+i%4, gpus(8))
		s.DataRack = fmt.Sprint(i % racks)
		v.Waiting = append(v.Waiting, unit(fmt.Sprintf("u%d", i), "a", i%3, 0, s))
	}
	wide := unit("wide", "b", 2, 0, graph.Step{Count: 100, Demand: gpus(1), Estimate: time.Second})
	v.Waiting = append(v.Waiting, wide.Progress.Ready()...)
	return v
}

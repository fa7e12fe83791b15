package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// BenchmarkDecide measures one decision of a shard that is four fifths full:
// every fifth worker is free, a third of the claims is in use, and 20 jobs
// wait, half of them inside a guarantee. In the largest case, the size expected
// in two years, a shard has 215 workers and the claims of 36 of 250 workspaces.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{17, 75, 215} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			v := newBenchmarkView(workers)
			now := time.Unix(10_000, 0)
			p := Default()
			b.ReportAllocs()
			for b.Loop() {
				p.Decide(now, v)
			}
		})
	}
}

func newBenchmarkView(workers int) *View {
	v := &View{Domain: "ub1", InService: true}
	capacity := shape.Resources{Accelerators: 8, Processors: 60, Memory: 256 * shape.GiB}
	for i := range workers {
		w := fleet.Worker{Spec: worker.Spec{
			ID: ident.Worker(fmt.Sprintf("w%03d", i)), Domain: "ub1", Rack: ident.Rack(fmt.Sprintf("r%02d", i/8)), Capacity: capacity,
		}, Free: capacity}
		v.Workers = append(v.Workers, w)
	}
	claims := max(workers/6, 1)
	for i := range claims {
		v.Guarantees = append(v.Guarantees, Claim{
			Workspace: ident.Workspace(fmt.Sprintf("team%d", i)), Name: "gang", Shape: newShape(2+i%3, 8), Count: 1,
		})
	}
	next := 0
	for c := range claims {
		if m := v.Guarantees[c].Shape.Members; c%3 == 0 && next/8 == (next+m-1)/8 && next+m <= workers {
			v.addRunning(c, next, m, true)
			next += m
		}
	}
	for i := next; i < workers; i++ {
		if i%5 != 0 {
			v.addRunning(i, i, 1, false)
		}
	}
	for i := range 20 {
		j := newJob(i, i%2 == 0, i%claims)
		v.Waiting = append(v.Waiting, j)
	}
	SortView(v)
	return v
}

// addRunning adds a running gang that fills the given number of workers,
// starting with the worker at index first.
func (v *View) addRunning(team, first, members int, guaranteed bool) {
	j := newJob(1000+first, guaranteed, team)
	j.Spec.Shape = newShape(members, 8)
	j.State, j.Started, j.Attempt = jobs.Running, time.Unix(5_000, 0), 1
	for i := first; i < first+members; i++ {
		j.Slots = append(j.Slots, jobs.Slot{Worker: v.Workers[i].Spec.ID, Members: 1})
		v.Workers[i].Free = shape.Resources{}
	}
	v.Gangs = append(v.Gangs, Gang{Job: j, Progress: time.Hour})
}

func newJob(i int, guaranteed bool, team int) jobs.Job {
	return jobs.Job{
		ID: ident.Job(fmt.Sprintf("job%d", i)), Workspace: ident.Workspace(fmt.Sprintf("team%d", team)), Domain: "ub1",
		Submitted: time.Unix(int64(9_000+i), 0),
		Spec:      jobs.Spec{Shape: newShape(2+team%3, 8), Guaranteed: guaranteed, Class: jobs.Class(i % 3), RunTime: time.Hour},
	}
}

func newShape(members, accelerators int) shape.Shape {
	return shape.Shape{
		Members: members, Member: shape.Resources{Accelerators: accelerators, Processors: 8}, Adjacency: shape.SameRack,
	}
}

package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/golden"
)

var now = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// rack returns n workers of 8 accelerators in one rack.
func rack(n int) []fleet.Worker {
	var workers []fleet.Worker
	for i := range n {
		c := shape.Resources{Accelerators: 8, Processors: 60, Memory: 256 * shape.GiB}
		workers = append(workers, fleet.Worker{
			Spec: worker.Spec{ID: ident.Worker(fmt.Sprintf("w%d", i)), Domain: "ub1", Rack: "r0", Capacity: c},
			Free: c,
		})
	}
	return workers
}

func job(id ident.Job, members, each int, c jobs.Class, waited time.Duration) jobs.Job {
	return jobs.Job{
		ID: id, Workspace: "foundryA", Submitted: now.Add(-waited),
		Spec: jobs.Spec{
			Shape:   shape.Shape{Members: members, Member: shape.Resources{Accelerators: each}, Adjacency: shape.SameRack},
			Class:   c,
			RunTime: time.Minute,
		},
	}
}

func guaranteed(j jobs.Job) jobs.Job {
	j.Spec.Guaranteed = true
	return j
}

// addRunning adds a running gang to the view and subtracts it from the free
// capacity.
func addRunning(v *sched.View, j jobs.Job, progress, saved time.Duration, slots ...jobs.Slot) {
	j.State, j.Slots, j.Started = jobs.Running, slots, now.Add(-progress)
	v.Gangs = append(v.Gangs, sched.Gang{Job: j, Progress: progress, Saved: saved})
	for _, s := range slots {
		for i := range v.Workers {
			if v.Workers[i].Spec.ID == s.Worker {
				v.Workers[i].Free = v.Workers[i].Free.Sub(j.Spec.Shape.Member.Times(s.Members))
			}
		}
	}
}

// newView returns a view in service whose workers are all free.
func newView(workers int) *sched.View {
	return &sched.View{Domain: "ub1", InService: true, Workers: rack(workers)}
}

// proofClaims returns a guaranteed shape of two whole workers, count times.
func proofClaims(count int) []sched.Claim {
	s := shape.Shape{Members: 2, Member: shape.Resources{Accelerators: 8}, Adjacency: shape.SameRack}
	return []sched.Claim{{Workspace: "foundryA", Name: "proof", Shape: s, Count: count}}
}

// TestDecide guards against changes of the default policy in the cases on which
// the guarantees of the scheduler depend. Each case is named after the behaviour
// that it checks.
func TestDecide(t *testing.T) {
	cases := []struct {
		name string
		make func() *sched.View
	}{
		{"guaranteed job reclaims the gangs that lose the least work", func() *sched.View {
			v := newView(3)
			v.Guarantees = proofClaims(1)
			for i, lost := range []time.Duration{time.Minute, time.Hour, 2 * time.Minute} {
				addRunning(v, job(ident.Job(fmt.Sprintf("lent%d", i)), 1, 8, jobs.Background, time.Hour), lost, 0, jobs.Slot{Worker: ident.Worker(fmt.Sprintf("w%d", i)), Members: 1})
			}
			v.Waiting = []jobs.Job{guaranteed(job("claim", 2, 8, jobs.Normal, time.Second))}
			return v
		}},
		{"guaranteed job reserves workers that are being reclaimed", func() *sched.View {
			v := newView(2)
			v.Guarantees = proofClaims(1)
			for i := range 2 {
				addRunning(v, job(ident.Job(fmt.Sprintf("lent%d", i)), 1, 8, jobs.Background, time.Hour), time.Minute, 0, jobs.Slot{Worker: ident.Worker(fmt.Sprintf("w%d", i)), Members: 1})
				v.Gangs[i].Reclaiming = true
			}
			v.Waiting = []jobs.Job{guaranteed(job("claim", 2, 8, jobs.Normal, time.Second))}
			return v
		}},
		{"guaranteed job that uses part of its shape leaves room for the other claim", func() *sched.View {
			v := newView(4)
			v.Guarantees = proofClaims(2)
			addRunning(v, guaranteed(job("first", 1, 4, jobs.Normal, time.Hour)), time.Minute, 0, jobs.Slot{Worker: "w0", Members: 1})
			v.Waiting = []jobs.Job{guaranteed(job("second", 2, 8, jobs.Normal, time.Second))}
			return v
		}},
		{"urgent job reclaims a background gang and not a normal one", func() *sched.View {
			v := newView(2)
			addRunning(v, job("normal", 1, 8, jobs.Normal, time.Hour), time.Second, 0, jobs.Slot{Worker: "w0", Members: 1})
			addRunning(v, job("background", 1, 8, jobs.Background, time.Hour), time.Hour, 0, jobs.Slot{Worker: "w1", Members: 1})
			v.Waiting = []jobs.Job{job("urgent", 1, 1, jobs.Urgent, time.Second)}
			return v
		}},
		{"overdue large gang reclaims workers from small jobs submitted later", func() *sched.View {
			v := newView(2)
			for i := range 2 {
				addRunning(v, job(ident.Job(fmt.Sprintf("late%d", i)), 1, 1, jobs.Normal, 10*time.Second), 5*time.Second, 0, jobs.Slot{Worker: ident.Worker(fmt.Sprintf("w%d", i)), Members: 1})
			}
			v.Waiting = []jobs.Job{job("gang", 2, 8, jobs.Normal, time.Hour), job("small", 1, 7, jobs.Normal, time.Second)}
			return v
		}},
		{"job that fits nowhere is refused and one that fits in a peer domain moves", func() *sched.View {
			v := newView(2)
			v.Peers = []sched.Peer{{Domain: "ub2", InService: true, Workers: specsOf(rack(4))}}
			v.Waiting = []jobs.Job{job("huge", 64, 8, jobs.Normal, 0), job("big", 4, 8, jobs.Normal, 0)}
			return v
		}},
		{"domain out of service is evacuated, least lost work first", func() *sched.View {
			v := newView(2)
			v.InService = false
			v.Peers = []sched.Peer{{Domain: "ub2", InService: true, Workers: specsOf(rack(2))}}
			addRunning(v, job("dear", 1, 8, jobs.Normal, time.Hour), time.Hour, 0, jobs.Slot{Worker: "w0", Members: 1})
			addRunning(v, job("saved", 1, 8, jobs.Normal, time.Hour), time.Hour, time.Hour, jobs.Slot{Worker: "w1", Members: 1})
			v.Waiting = []jobs.Job{job("queued", 1, 1, jobs.Normal, time.Hour)}
			return v
		}},
	}
	var out strings.Builder
	for _, c := range cases {
		fmt.Fprintf(&out, "# %s\n", c.name)
		for _, a := range sched.Default().Decide(now, c.make()) {
			fmt.Fprintf(&out, "%v %s %v%s: %s\n", a.Kind, a.Job.ID, a.Slots, a.To, a.Reason)
		}
	}
	golden.Assert(t, out.String(), "decide.golden")
}

func specsOf(workers []fleet.Worker) []worker.Spec {
	var all []worker.Spec
	for _, w := range workers {
		all = append(all, w.Spec)
	}
	return all
}

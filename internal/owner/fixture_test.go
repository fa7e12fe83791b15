package owner_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/lease"
	"github.com/baobabquay/baobabquay/internal/owner"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/assert"
)

type (
	// fixture is one failure domain with workers and a store in memory.
	fixture struct {
		t         *testing.T
		startedAt time.Time
		table     *fakes.Table
		objects   *fakes.Objects
		workers   []*fakes.Worker
		configs   *site.Manager
		intake    *intake.Intake
		// wrapAgent, if not nil, replaces calls to a worker.
		wrapAgent func(a worker.Agent) worker.Agent
		// staleListings maps workers that the platform still lists to the
		// workers that have their addresses now.
		staleListings map[ident.Worker]ident.Worker
	}

	// instance is a candidate for the ownership of the domain's shard.
	instance struct {
		shard  *owner.Shard
		cancel context.CancelFunc
	}
)

const (
	domain    = ident.Domain("ub1")
	workspace = ident.Workspace("foundryA")

	// midRoundOffset is the time that startInstance waits after the start of the
	// rounds. Tests then act between two rounds, so that no two events share an
	// instant.
	midRoundOffset = 1300 * time.Millisecond
)

func newFixture(t *testing.T, workers int) *fixture {
	f := &fixture{t: t, startedAt: time.Now(), table: fakes.NewTable(), objects: fakes.NewObjects()}
	for i := range workers {
		f.workers = append(f.workers, fakes.NewWorker(worker.Spec{
			ID: ident.Worker(fmt.Sprintf("w%d", i)), Domain: domain, Rack: "r1",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i)),
			Capacity: shape.Resources{Accelerators: 8, Processors: 60, Memory: 256 * shape.GiB},
		}, 0))
	}
	f.configs = site.NewManager(site.Deps{Table: f.table.Store(), Log: event.Discard()})
	_, err := f.configs.Apply(t.Context(), 0, &config.Config{
		Site: "test", Limits: config.DefaultLimits(),
		Domains:    []config.Domain{{Name: domain, Region: "ulaanbaatar", InService: true}},
		Workspaces: []config.Workspace{{Name: workspace, Weight: 1}},
	})
	assert.NilError(t, err)
	f.intake = intake.New(intake.Deps{
		Table: f.table.Store(), Objects: f.objects.Store(), Config: f.configs.Current,
		Candidates: func(ident.Workspace, jobs.Spec) []sched.Candidate {
			c := sched.Candidate{Summary: sched.Summary{Domain: domain}, InService: true}
			for _, w := range f.workers {
				spec := w.Simulator.Spec()
				c.Workers = append(c.Workers, fleet.Worker{Spec: spec, Free: spec.Capacity})
			}
			return []sched.Candidate{c}
		},
		Notify: func(ident.Domain, ident.Workspace, ident.Job) {},
		Log:    event.Discard(),
	})
	return f
}

// startInstance runs an instance of the given rank until the test ends or the
// instance's cancel is called.
func (f *fixture) startInstance(name ident.Instance, rank int) *instance {
	ctx, cancel := context.WithCancel(f.t.Context())
	shard := owner.NewShard(owner.Deps{
		Domain: domain, Table: f.table.Store(), Objects: f.objects.Store(),
		Lease: lease.NewManager(f.table.Store(), domain, name),
		Rank:  func(time.Time) int { return rank },
		Workers: func() []worker.Spec {
			var specs []worker.Spec
			for _, w := range f.workers {
				specs = append(specs, w.Simulator.Spec())
			}
			for id, current := range f.staleListings {
				spec := f.worker(current).Simulator.Spec()
				spec.ID = id
				specs = append(specs, spec)
			}
			return specs
		},
		Agent:      func(s worker.Spec) worker.Agent { return f.agent(s.ID) },
		ReadConfig: f.configs.Read,
		Policy:     sched.Default(),
		Peers:      func() []sched.Peer { return nil },
		Notify:     func(ident.Domain, ident.Workspace, ident.Job) {},
		Log:        event.Discard(),
	})
	go shard.Run(ctx)
	time.Sleep(midRoundOffset)
	return &instance{shard: shard, cancel: cancel}
}

// agent returns the calls to a listed worker.
func (f *fixture) agent(id ident.Worker) worker.Agent {
	if current, ok := f.staleListings[id]; ok {
		id = current
	}
	a := f.worker(id).Agent()
	if f.wrapAgent != nil {
		return f.wrapAgent(a)
	}
	return a
}

// worker returns the worker with the given ID, which must not be the ID of a stale
// listing.
func (f *fixture) worker(id ident.Worker) *fakes.Worker {
	i := slices.IndexFunc(f.workers, func(w *fakes.Worker) bool { return w.Simulator.Spec().ID == id })
	return f.workers[i]
}

// submitJob submits a job whose members use all accelerators of a worker.
func (f *fixture) submitJob(id ident.Request, members int, payload string) jobs.Job {
	j, err := f.intake.Submit(f.t.Context(), intake.Submission{
		Workspace: workspace, Request: id,
		Spec: jobs.Spec{
			Shape: shape.Shape{
				Members: members, Member: shape.Resources{Accelerators: 8, Processors: 8}, Adjacency: shape.SameRack,
			},
			Payload: []byte(payload),
		},
	})
	assert.NilError(f.t, err)
	return j
}

// waitForJob returns the job when it has ended or after d.
func (f *fixture) waitForJob(id ident.Job, d time.Duration) jobs.Job {
	j, err := f.intake.Wait(f.t.Context(), workspace, id, d)
	assert.NilError(f.t, err)
	return j
}

// history renders the events on the workers, sorted by time and worker, and the
// final states of the jobs.
func (f *fixture) history(ended ...jobs.Job) string {
	var lines []string
	for _, w := range f.workers {
		for _, e := range w.Log() {
			lines = append(lines, fmt.Sprintf("%8v %s %s#%d %s",
				e.At.Sub(f.startedAt).Truncate(500*time.Millisecond), w.Simulator.Spec().ID, e.Attempt.Job, e.Attempt.Number, e.Event))
		}
	}
	slices.Sort(lines)
	for _, j := range ended {
		lines = append(lines, fmt.Sprintf("%s %v attempt=%d result=%q reason=%q", j.ID, j.State, j.Attempt, j.Result, j.Reason))
	}
	return strings.Join(lines, "\n") + "\n"
}

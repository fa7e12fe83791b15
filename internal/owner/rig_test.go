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
	// rig is one failure domain with workers and a store in memory.
	rig struct {
		t       *testing.T
		begin   time.Time
		table   *fakes.Table
		objects *fakes.Objects
		workers []*fakes.Worker
		site    *site.Keeper
		intake  *intake.Intake
		// wrap, if not nil, changes the calls to a worker.
		wrap func(a worker.Agent) worker.Agent
		// stale are workers that the platform still lists although the worker
		// named by the value has their address now.
		stale map[ident.Worker]ident.Worker
	}

	// instance is one owner candidate of the domain.
	instance struct {
		shard  *owner.Shard
		cancel context.CancelFunc
	}
)

const (
	domain    = ident.Domain("ub1")
	workspace = ident.Workspace("foundryA")

	betweenRounds = 1300 * time.Millisecond
)

func newRig(t *testing.T, workers int) *rig {
	g := &rig{t: t, begin: time.Now(), table: fakes.NewTable(), objects: fakes.NewObjects()}
	for i := range workers {
		g.workers = append(g.workers, fakes.NewWorker(worker.Spec{
			ID: ident.Worker(fmt.Sprintf("w%d", i)), Domain: domain, Rack: "r1",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i)),
			Capacity: shape.Resources{Accelerators: 8, Processors: 60, Memory: 256 * shape.GiB},
		}, 0))
	}
	g.site = site.NewKeeper(site.Deps{Table: g.table.Store(), Log: event.Discard()})
	_, err := g.site.Apply(t.Context(), 0, &config.Config{
		Site: "test", Limits: config.DefaultLimits(),
		Domains:    []config.Domain{{Name: domain, Region: "ulaanbaatar", InService: true}},
		Workspaces: []config.Workspace{{Name: workspace, Weight: 1}},
	})
	assert.NilError(t, err)
	g.intake = intake.New(intake.Deps{
		Table: g.table.Store(), Objects: g.objects.Store(), Config: g.site.Current,
		Candidates: func(ident.Workspace, jobs.Spec) []sched.Candidate {
			c := sched.Candidate{Summary: sched.Summary{Domain: domain}, InService: true}
			for _, w := range g.workers {
				spec := w.Machine.Spec()
				c.Workers = append(c.Workers, fleet.Worker{Spec: spec, Free: spec.Capacity})
			}
			return []sched.Candidate{c}
		},
		Notify: func(ident.Domain, ident.Workspace, ident.Job) {},
		Log:    event.Discard(),
	})
	return g
}

// start runs an instance of the given rank until the test ends or stop.
func (g *rig) start(name ident.Instance, rank int) *instance {
	ctx, cancel := context.WithCancel(g.t.Context())
	shard := owner.NewShard(owner.Deps{
		Domain: domain, Table: g.table.Store(), Objects: g.objects.Store(),
		Lease: lease.NewKeeper(g.table.Store(), domain, name),
		Rank:  func(time.Time) int { return rank },
		Workers: func() []worker.Spec {
			var specs []worker.Spec
			for _, w := range g.workers {
				specs = append(specs, w.Machine.Spec())
			}
			for id, now := range g.stale {
				spec := g.worker(now).Machine.Spec()
				spec.ID = id
				specs = append(specs, spec)
			}
			return specs
		},
		Agent:  func(s worker.Spec) worker.Agent { return g.agent(s.ID) },
		Read:   g.site.Read,
		Policy: sched.Default(),
		Peers:  func() []sched.Peer { return nil },
		Notify: func(ident.Domain, ident.Workspace, ident.Job) {},
		Log:    event.Discard(),
	})
	go shard.Run(ctx)
	// Callers act between two rounds, so that no two events share an instant.
	time.Sleep(betweenRounds)
	return &instance{shard: shard, cancel: cancel}
}

func (g *rig) agent(id ident.Worker) worker.Agent {
	if now, ok := g.stale[id]; ok {
		id = now
	}
	a := g.worker(id).Agent()
	if g.wrap != nil {
		return g.wrap(a)
	}
	return a
}

func (g *rig) worker(id ident.Worker) *fakes.Worker {
	i := slices.IndexFunc(g.workers, func(w *fakes.Worker) bool { return w.Machine.Spec().ID == id })
	return g.workers[i]
}

func (g *rig) submit(id ident.Request, members int, payload string) jobs.Job {
	j, err := g.intake.Submit(g.t.Context(), intake.Submission{
		Workspace: workspace, Request: id,
		Spec: jobs.Spec{
			Shape: shape.Shape{
				Members: members, Member: shape.Resources{Accelerators: 8, Processors: 8}, Adjacency: shape.SameRack,
			},
			Payload: []byte(payload),
		},
	})
	assert.NilError(g.t, err)
	return j
}

func (g *rig) wait(id ident.Job, d time.Duration) jobs.Job {
	j, err := g.intake.Wait(g.t.Context(), workspace, id, d)
	assert.NilError(g.t, err)
	return j
}

// history renders what happened on the workers, in the order of time and
// worker, and the end of the jobs.
func (g *rig) history(ended ...jobs.Job) string {
	var lines []string
	for _, w := range g.workers {
		for _, e := range w.Log() {
			lines = append(lines, fmt.Sprintf("%8v %s %s#%d %s",
				e.At.Sub(g.begin).Truncate(500*time.Millisecond), w.Machine.Spec().ID, e.Attempt.Job, e.Attempt.Number, e.Event))
		}
	}
	slices.Sort(lines)
	for _, j := range ended {
		lines = append(lines, fmt.Sprintf("%s %v attempt=%d result=%q reason=%q", j.ID, j.State, j.Attempt, j.Result, j.Reason))
	}
	return strings.Join(lines, "\n") + "\n"
}

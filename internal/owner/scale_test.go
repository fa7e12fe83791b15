package owner_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/lease"
	"github.com/baobabquay/baobabquay/internal/owner"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/assert"
)

type (
	// scale is a shard with workers behind HTTP on loopback.
	scale struct {
		shard *owner.Shard
		bytes *atomic.Int64
		calls *atomic.Int64
	}
)

// tasksPerWorker is the number of tasks of a worker at the two-year size:
// 34,000 tasks on 1,500 workers.
const tasksPerWorker = 23

// BenchmarkRound measures a round of a shard owner in which nothing changes:
// every worker reports its running tasks and their leases are renewed. The
// processor time is that of both sides of the calls.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{17, 75, 215} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, workers*tasksPerWorker), func(b *testing.B) {
			s := newScale(b, workers)
			assert.NilError(b, s.shard.Round(b.Context()))
			assert.NilError(b, s.shard.Round(b.Context()))
			s.bytes.Store(0)
			cpu := processorTime(b)
			for b.Loop() {
				assert.NilError(b, s.shard.Round(b.Context()))
			}
			cpu = processorTime(b) - cpu
			b.ReportMetric(float64(s.bytes.Load())/float64(b.N)/float64(workers), "wireB/worker")
			b.ReportMetric(float64(cpu.Microseconds())/float64(b.N)/float64(workers), "cpu-µs/worker")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkShardMemory measures the resident state of a shard owner.
func BenchmarkShardMemory(b *testing.B) {
	for _, workers := range []int{17, 75, 215} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, workers*tasksPerWorker), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				s := newScale(b, workers)
				fakesOnly := heap()
				assert.NilError(b, s.shard.Round(b.Context()))
				assert.NilError(b, s.shard.Round(b.Context()))
				b.ReportMetric(float64(heap()-fakesOnly)/float64(workers)/1024, "KiB/worker")
				runtime.KeepAlive(before)
				runtime.KeepAlive(s)
			}
		})
	}
}

func newScale(b *testing.B, workers int) *scale {
	s := &scale{bytes: new(atomic.Int64), calls: new(atomic.Int64)}
	table := fakes.NewTable()
	keeper := site.NewKeeper(site.Deps{Table: table.Store(), Log: event.Discard()})
	_, err := keeper.Apply(b.Context(), 0, &config.Config{
		Site: "scale", Limits: config.DefaultLimits(),
		Domains: []config.Domain{{Name: domain, Region: "ulaanbaatar", InService: true}},
	})
	assert.NilError(b, err)
	var specs []worker.Spec
	for i := range workers {
		specs = append(specs, s.serve(b, table, i))
	}
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return fakes.Count(c, s.bytes), nil
		},
	}}
	s.shard = owner.NewShard(owner.Deps{
		Domain: domain, Table: table.Store(), Objects: fakes.NewObjects().Store(),
		Lease:   lease.NewKeeper(table.Store(), domain, "i1"),
		Rank:    func(time.Time) int { return 0 },
		Workers: func() []worker.Spec { return specs },
		Agent:   func(w worker.Spec) worker.Agent { return plat.Agent(w.Address, client) },
		Read:    keeper.Read,
		Policy:  sched.Default(),
		Peers:   func() []sched.Peer { return nil },
		Notify:  func(ident.Domain, ident.Workspace, ident.Job) {},
		Log:     event.Discard(),
	})
	return s
}

// serve starts a worker that runs tasksPerWorker jobs, whose rows say so.
func (s *scale) serve(b *testing.B, table *fakes.Table, i int) worker.Spec {
	spec := worker.Spec{
		ID: ident.Worker(fmt.Sprintf("w%d", i)), Domain: domain, Rack: ident.Rack(fmt.Sprintf("r%d", i/8)),
		Capacity: shape.Resources{Accelerators: 8, Processors: 130, Memory: 256 * shape.GiB},
	}
	w := fakes.NewWorker(spec, 0)
	server, err := fakes.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 0, fakes.Router(plat.AgentRoutes(w.Agent())...))
	assert.NilError(b, err)
	b.Cleanup(func() { _ = server.Kill() })
	spec.Address = server.Address
	for n := range tasksPerWorker {
		s.run(b, table, w, jobs.Job{
			ID: ident.Job(fmt.Sprintf("job-%d-%d", i, n)), Workspace: workspace, Domain: domain,
			State: jobs.Running, Attempt: 1, Slots: []jobs.Slot{{Worker: spec.ID, Members: 1}},
			Spec: jobs.Spec{Shape: shape.Shape{Members: 1, Member: shape.Resources{Processors: 1}}},
		})
	}
	return spec
}

func (s *scale) run(b *testing.B, table *fakes.Table, w *fakes.Worker, j jobs.Job) {
	value, err := record.EncodeJob(j)
	assert.NilError(b, err)
	_, err = table.Store().Commit(b.Context(), store.Txn{Puts: []store.Put{
		{Key: record.JobKey(j.Workspace, j.ID), Value: value},
		{Key: record.QueueKey(domain, j.Workspace, j.ID)},
	}})
	assert.NilError(b, err)
	a := worker.Attempt{Workspace: j.Workspace, Job: j.ID, Number: 1}
	agent := w.Agent()
	report, err := agent.Report(b.Context())
	assert.NilError(b, err)
	assert.NilError(b, agent.Reserve(b.Context(), worker.Reserve{
		Attempt: a, Members: 1, Member: j.Spec.Shape.Member, Hold: time.Hour,
	}))
	assert.NilError(b, agent.Start(b.Context(), worker.Start{
		Attempt: a, Tick: report.Tick, Boot: report.Boot, InService: true, Payload: []byte(`{"runFor":"1h"}`),
	}))
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

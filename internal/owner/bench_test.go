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
	// benchFixture is a shard whose workers are served over HTTP on the loopback
	// interface.
	benchFixture struct {
		shard     *owner.Shard
		wireBytes *atomic.Int64
		calls     *atomic.Int64
	}
)

// tasksPerWorker is the number of tasks on each worker at the size expected in
// two years: 34,000 tasks on 1,500 workers.
const tasksPerWorker = 23

// BenchmarkRound measures a round of a shard owner without any changes: every
// worker reports its running tasks, and their leases are renewed. The processor
// time includes both the owner's and the workers' side of the calls.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{17, 75, 215} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, workers*tasksPerWorker), func(b *testing.B) {
			f := newBenchFixture(b, workers)
			assert.NilError(b, f.shard.Round(b.Context()))
			assert.NilError(b, f.shard.Round(b.Context()))
			f.wireBytes.Store(0)
			cpu := processorTime(b)
			for b.Loop() {
				assert.NilError(b, f.shard.Round(b.Context()))
			}
			cpu = processorTime(b) - cpu
			b.ReportMetric(float64(f.wireBytes.Load())/float64(b.N)/float64(workers), "wireB/worker")
			b.ReportMetric(float64(cpu.Microseconds())/float64(b.N)/float64(workers), "cpu-µs/worker")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkShardMemory measures the heap that the state of a shard owner occupies.
func BenchmarkShardMemory(b *testing.B) {
	for _, workers := range []int{17, 75, 215} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, workers*tasksPerWorker), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				f := newBenchFixture(b, workers)
				fakesOnly := heapInUse()
				assert.NilError(b, f.shard.Round(b.Context()))
				assert.NilError(b, f.shard.Round(b.Context()))
				b.ReportMetric(float64(heapInUse()-fakesOnly)/float64(workers)/1024, "KiB/worker")
				runtime.KeepAlive(before)
				runtime.KeepAlive(f)
			}
		})
	}
}

func newBenchFixture(b *testing.B, workers int) *benchFixture {
	f := &benchFixture{wireBytes: new(atomic.Int64), calls: new(atomic.Int64)}
	table := fakes.NewTable()
	configs := site.NewManager(site.Deps{Table: table.Store(), Log: event.Discard()})
	_, err := configs.Apply(b.Context(), 0, &config.Config{
		Site: "scale", Limits: config.DefaultLimits(),
		Domains: []config.Domain{{Name: domain, Region: "ulaanbaatar", InService: true}},
	})
	assert.NilError(b, err)
	var specs []worker.Spec
	for i := range workers {
		specs = append(specs, f.startWorker(b, table, i))
	}
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return fakes.Count(c, f.wireBytes), nil
		},
	}}
	f.shard = owner.NewShard(owner.Deps{
		Domain: domain, Table: table.Store(), Objects: fakes.NewObjects().Store(),
		Lease:      lease.NewManager(table.Store(), domain, "i1"),
		Rank:       func(time.Time) int { return 0 },
		Workers:    func() []worker.Spec { return specs },
		Agent:      func(w worker.Spec) worker.Agent { return plat.Agent(w.Address, client) },
		ReadConfig: configs.Read,
		Policy:     sched.Default(),
		Peers:      func() []sched.Peer { return nil },
		Notify:     func(ident.Domain, ident.Workspace, ident.Job) {},
		Log:        event.Discard(),
	})
	return f
}

// startWorker starts a worker that runs tasksPerWorker jobs, and stores their
// records as running.
func (f *benchFixture) startWorker(b *testing.B, table *fakes.Table, i int) worker.Spec {
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
		f.runJob(b, table, w, jobs.Job{
			ID: ident.Job(fmt.Sprintf("job-%d-%d", i, n)), Workspace: workspace, Domain: domain,
			State: jobs.Running, Attempt: 1, Slots: []jobs.Slot{{Worker: spec.ID, Members: 1}},
			Spec: jobs.Spec{Shape: shape.Shape{Members: 1, Member: shape.Resources{Processors: 1}}},
		})
	}
	return spec
}

// runJob stores the record of a job and starts the job on the worker.
func (f *benchFixture) runJob(b *testing.B, table *fakes.Table, w *fakes.Worker, j jobs.Job) {
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
		Attempt: a, Uptime: report.Uptime, Incarnation: report.Incarnation, InService: true, Payload: []byte(`{"runFor":"1h"}`),
	}))
}

func heapInUse() uint64 {
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

package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/accept"
	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/detour"
	"github.com/baobabquay/baobabquay/internal/elect"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/lead"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/peerv1"
	"github.com/baobabquay/baobabquay/internal/plan"
	"github.com/baobabquay/baobabquay/internal/queues"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/tree"
	"github.com/baobabquay/baobabquay/platform"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"go.uber.org/fx"
)

type (
	// instance holds the components of an instance.
	instance struct {
		settings Settings
		log      event.Log
		recent   *event.Recent
		self     elect.Self
		client   *platform.Client
		// http makes the calls to other instances.
		http      *http.Client
		queues    *queues.ActiveConfig
		scheduler *lead.Scheduler
		elector   *elect.Elector
		jobAPI    *accept.Service
		directory *detour.Directory
		// table and feed call the store directly, or through another instance
		// if the direct call fails or is slow.
		table store.Table
		feed  store.Feed
		// operatorFeed follows the operators' table at another instance of the
		// region or at the store, and operatorRows is the copy of that table for
		// other instances.
		operatorFeed *tree.Feed
		operatorRows *tree.Copy
		leader       *leaderService
		storeHealth  storeHealth
		stopping     atomic.Bool

		// cancel ends the background loops.
		cancel context.CancelFunc
		// loops waits for the background loops and the servers.
		loops sync.WaitGroup
		// leaveElection makes the instance release its lease, if it is the
		// leader, and take no further part in the election.
		leaveElection context.CancelFunc
		servers       []*http.Server
	}

	// storeHealth records the outcome of the calls to the store.
	storeHealth struct {
		mu sync.Mutex
		// lastSuccess is when the store last answered.
		lastSuccess time.Time
		// failing reports whether the last call failed.
		failing bool
	}
)

const (
	// configPollTimeout bounds one long poll for a change of the configuration.
	// A dead connection is detected only after this time, and a new version must
	// be in force 2.5 s after it was accepted.
	configPollTimeout = 900 * time.Millisecond
	// storeHealthTimeout is the age of the store's last answer from which on the
	// instance reports that it is not ready for callers.
	storeHealthTimeout = 2 * time.Second
	// runLease is the time for which runs are leased. The work of a run is lost
	// when its lease expires, so the lease must outlast the replacement of a
	// failed leader (1.2 to 2 s) and a power failure of all instances (1 to 2 s)
	// during an outage of the store (4 to 6 s).
	runLease = 6 * time.Second
	// bytesPerMegabit converts the rate of a link.
	bytesPerMegabit = 1e6 / 8
	// drainDelay is how long a stopping instance keeps accepting calls before it
	// shuts its servers down. Meanwhile the load balancer takes it out of
	// rotation, and callers close their connections.
	drainDelay = 2 * time.Second
	// readHeaderTimeout and idleTimeout bound how long callers may hold
	// connections open without a request.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 30 * time.Second
)

// New returns the fx application of an instance that logs to the sink.
func New(s Settings, sink *event.Sink) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.Supply(s, sink.Recent),
		fx.Provide(
			func() event.Log { return newLog(s, sink) },
			newInstance,
		),
		fx.Invoke(func(lc fx.Lifecycle, in *instance) {
			lc.Append(fx.Hook{OnStart: in.start, OnStop: in.stop})
		}),
	)
}

// newLog returns the log of an instance. Events are counted in the metrics even
// if logging is disabled.
func newLog(s Settings, sink *event.Sink) event.Log {
	logger := logr.Discard()
	if s.Logs {
		logger = sink.Logger()
	}
	return event.New(logger).With("instance", s.Name)
}

func newInstance(s Settings, log event.Log, recent *event.Recent) *instance {
	in := &instance{
		settings: s, log: log, recent: recent, client: platform.NewClient(s.Store), queues: queues.NewActiveConfig(log),
		self: elect.Self{Instance: s.Name, Incarnation: s.Name + "-" + uuid.NewString()[:8], Peer: s.Peer, Cores: s.Cores},
	}
	in.connectStore()
	table, feed := in.table, in.feed
	policy := plan.Default()
	if s.Scheduling.Overload {
		policy = plan.Overload()
	}
	in.scheduler = lead.New(lead.Deps{
		Policy: policy, Table: table, Feed: feed, Calls: platform.WorkerCalls(in.client), Queues: in.queues,
		Limits:     agent.Limits{Lease: min(runLease, s.LongestLease), Bound: s.LongestLease},
		WorkerList: platform.WorkerTable, ReadWorker: platform.ReadWorker, Log: log,
		LinkRate:      s.LinkMegabits * bytesPerMegabit,
		DrainRuns:     s.Scheduling.DrainRuns,
		LearnRunTimes: s.Scheduling.LearnRunTimes,
		HandOver: func(ctx context.Context, former netip.AddrPort, epoch int64) (map[graph.ID]graph.Snapshot, error) {
			return in.leader.handOver(ctx, former, epoch)
		},
	})
	in.elector = elect.New(elect.Deps{Table: table, Feed: feed, Self: in.self, Lead: in.scheduler.Run, Log: log})
	in.leader = newLeaderService(in.elector, in.scheduler, in.http)
	in.jobAPI = accept.New(accept.Deps{
		Queues: in.queues, Ledger: ledger.New(table), Log: log, SubmitWait: s.Scheduling.SubmitWait,
		Leader: accept.Leader{Phase: in.leader.phase, Queue: in.leader.queue},
	})
	return in
}

// connectStore sets up the access to the store, with calls through other
// instances as the fallback for direct calls.
func (in *instance) connectStore() {
	in.http = newPeerHTTP()
	in.directory = detour.NewDirectory(detour.DirectoryDeps{
		Table: in.client.Table(), Feed: in.client.Feed(), Name: in.self.Instance, Address: in.self.Peer,
		Region: in.settings.Region, Cores: in.settings.Cores, Log: in.log,
		Leader: func() netip.AddrPort { return in.elector.Leader().Peer },
	})
	d := detour.New(detour.Deps{
		Table: in.client.Table(), Feed: in.client.Feed(), Forward: newRowsClient(in.http).calls(),
		Peers: in.directory.Peers, PeerFailed: in.directory.Avoid, Log: in.log,
	})
	in.table, in.feed = d.Table(), d.Feed()
	in.operatorRows = tree.NewCopy()
	in.operatorFeed = tree.New(tree.Deps{
		Direct: in.feed, WaitCopy: newCopyClient(in.http).waitCopy, Parent: in.directory.Parent,
		ParentFailed: in.directory.Avoid, Log: in.log,
	})
}

func (in *instance) start(context.Context) error {
	if err := in.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	electionCtx, leaveElection := context.WithCancel(ctx)
	in.cancel, in.leaveElection = cancel, leaveElection
	operatorRows := store.Follower{
		Feed: in.operatorFeed.Feed(), Table: platform.OperatorTable, MaxWait: configPollTimeout,
		Apply: in.applyOperatorRows, OnResult: in.recordStoreCall, KnownVersion: in.elector.LeaseVersion,
		OnVersion: func(version int64) { in.operatorRows.Advance(version, in.operatorFeed.ConfirmedAt()) },
	}
	in.loops.Go(func() { operatorRows.Run(ctx) })
	in.loops.Go(func() { in.elector.Run(electionCtx) })
	in.loops.Go(func() { in.directory.Run(ctx) })
	in.log.Write(event.InstanceReady, "listen", in.settings.Listen.String(), "peer", in.settings.Peer.String())
	return nil
}

// listen opens the addresses of the instance and serves them.
func (in *instance) listen() error {
	peerMux := http.NewServeMux()
	peerMux.Handle(peerv1.NewLeadHandler(in.leader))
	peerMux.Handle(peerv1.NewRowsHandler(newRowsHandler(
		in.client.Table(), in.client.Feed(), map[string]*tree.Copy{platform.OperatorTable: in.operatorRows},
	)))
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /events", serveEvents(in.recent))
	metricsMux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	for _, s := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{in.settings.Listen, in.closeWhenStopping(platform.NewHandler(in.jobAPI))},
		{in.settings.Ready, platform.NewReadyHandler(in.ready)},
		{in.settings.Peer, peerMux},
		{in.settings.Metrics, metricsMux},
	} {
		l, err := net.Listen("tcp", s.address.String())
		if err != nil {
			return fmt.Errorf("listen on %v: %w", s.address, err)
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
		in.servers = append(in.servers, server)
		in.loops.Go(func() {
			if err := server.Serve(l); err != nil && err != http.ErrServerClosed {
				in.log.Write(event.InstanceEnded, "reason", err.Error())
			}
		})
	}
	return nil
}

// closeWhenStopping makes each response close its connection once the instance
// is stopping.
func (in *instance) closeWhenStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if in.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// ready reports whether the instance can take calls: it is not stopping, has a
// configuration and reaches the store.
func (in *instance) ready() bool {
	return !in.stopping.Load() && in.queues.Current() != nil && in.storeHealth.ok()
}

// applyOperatorRows applies changes of the operators' table: configurations and
// failure domains out of service. With snapshot, c holds all rows of the table,
// and domains without a row are in service again.
func (in *instance) applyOperatorRows(c store.Changes, snapshot bool) {
	in.operatorRows.Apply(c, snapshot)
	outOfService := make(map[string]bool)
	for _, ch := range c.Rows {
		if domain, ok := platform.OutOfService(ch.Row); ok {
			outOfService[domain] = !ch.Deleted
			in.queues.SetOutOfService(domain, !ch.Deleted)
		}
		if ch.Deleted || !platform.IsConfig(ch.Row) {
			continue
		}
		config, err := platform.ReadConfig(ch.Row)
		if err != nil {
			in.log.Write(event.ConfigRefused, "version", ch.Row.Version, "reason", err.Error())
			continue
		}
		in.queues.Install(config)
	}
	if !snapshot {
		return
	}
	for domain := range in.queues.OutOfService() {
		if !outOfService[domain] {
			in.queues.SetOutOfService(domain, false)
		}
	}
}

// recordStoreCall records the outcome of a call to the store and logs when the
// store stops or resumes answering.
func (in *instance) recordStoreCall(err error) {
	in.operatorRows.RecordResult(err)
	if store.IsLagging(err) {
		// The store answers but cannot return the current rows yet; the rows
		// applied so far stay in force.
		err = nil
	}
	if changed := in.storeHealth.record(err); changed && err != nil {
		in.log.Write(event.StoreDown, "table", platform.OperatorTable, "reason", err.Error())
	} else if changed {
		in.log.Write(event.StoreBack, "table", platform.OperatorTable)
	}
}

// record records the outcome of a call and reports whether the store has started
// or stopped failing.
func (h *storeHealth) record(err error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.failing != (err != nil)
	h.failing = err != nil
	if err == nil {
		h.lastSuccess = time.Now()
	}
	return changed
}

// ok reports whether the store has answered within storeHealthTimeout.
func (h *storeHealth) ok() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lastSuccess.IsZero() && time.Since(h.lastSuccess) < storeHealthTimeout
}

// stop releases the lease if this instance is the leader, drains the callers,
// shuts the servers down and ends the background loops. The drain and the
// shutdown take at most a third of the grace period each.
func (in *instance) stop(ctx context.Context) error {
	in.stopping.Store(true)
	in.log.Write(event.InstanceStop, "leads", in.elector.Leads())
	in.elector.Retire()
	in.leaveElection()
	select {
	case <-ctx.Done():
	case <-time.After(min(drainDelay, in.settings.Grace/3)):
	}
	shutdownCtx, cancel := context.WithTimeout(ctx, in.settings.Grace/3)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range in.servers {
		wg.Go(func() {
			if err := s.Shutdown(shutdownCtx); err != nil {
				in.log.Write(event.InstanceEnded, "cutOff", true, "reason", err.Error())
			}
		})
	}
	wg.Wait()
	in.cancel()
	in.loops.Wait()
	in.log.Write(event.InstanceEnded, "cutOff", false)
	return nil
}

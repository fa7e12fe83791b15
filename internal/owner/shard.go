package owner

import (
	"context"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/gang"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/lease"
	"github.com/baobabquay/baobabquay/internal/pipe"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/pkg/errors"
)

type (
	// Deps are the dependencies of a shard.
	Deps struct {
		Domain  ident.Domain
		Table   store.Table
		Objects store.Objects
		Lease   *lease.Manager
		// Rank returns the position of this instance in the order of preferred
		// owners of the shard, starting at 0.
		Rank func(now time.Time) int
		// Workers returns the workers that the platform lists in the domain.
		Workers func() []worker.Spec
		// Agent returns the calls to a worker.
		Agent func(s worker.Spec) worker.Agent
		// ReadConfig reads the committed configuration from the store.
		ReadConfig func(ctx context.Context) (*config.Config, error)
		Policy     sched.Policy
		// Peers returns the last known state of the other domains.
		Peers func() []sched.Peer
		// Notify tells the owner of the shard of d that the queue entry of a job
		// changed.
		Notify func(d ident.Domain, w ident.Workspace, j ident.Job)
		Log    event.Log
	}

	// Shard schedules jobs on the workers of one failure domain while this
	// instance holds the lease of the domain.
	Shard struct {
		deps  Deps
		chain *pipe.Chain[*round]
		wake  chan struct{}

		mu sync.Mutex
		// epoch is the lease epoch to which the state below belongs, or 0 if
		// this instance does not own the shard.
		epoch int64
		// leaseAcquiredAt is the start of the epoch.
		leaseAcquiredAt time.Time
		workers         map[ident.Worker]*trackedWorker
		jobs            map[jobKey]jobRecord
		// unreadable maps jobs whose rows cannot be decoded to the versions of
		// those rows.
		unreadable map[jobKey]int64
		// queueHeadVersion is the version of the queue's head row at the last
		// complete scan, and queueScanned reports whether there was one in this
		// epoch.
		queueHeadVersion int64
		queueScanned     bool
		// waitReasons are the reasons that WaitReason returns.
		waitReasons map[jobKey]string
		// abortedAttempts is the highest attempt of each job whose placement
		// failed. Workers refuse its number from then on.
		abortedAttempts map[jobKey]int
		// mergedVerdicts are the accumulated verdicts about the current
		// attempts of placed jobs.
		mergedVerdicts map[jobKey]mergedVerdict
		summary        sched.Summary
		ready          bool
		storeAvailable bool
		// outrankedSince is the time since which another instance has been the
		// preferred owner, or zero.
		outrankedSince time.Time
		// completeAttempts are the attempts whose gangs the judge filter found
		// complete at evaluatedAt, with all of their workers answering.
		completeAttempts map[worker.Attempt]bool
		evaluatedAt      time.Time
		lastUnmet        unmetResult
		// failureTracker distinguishes faulty workers from faulty jobs. It is
		// not stored, so a new owner starts with an empty one.
		failureTracker *fleet.FailureTracker
		// runHistory holds the run times of the last jobs that finished,
		// oldest first.
		runHistory []sched.CompletedRun
	}

	// trackedWorker is a worker with its last report.
	trackedWorker struct {
		spec  worker.Spec
		agent worker.Agent
		// fenced reports whether the worker has accepted the epoch of this owner.
		fenced bool
		report worker.Report
		// statuses are the statuses of the last full report, by attempt.
		statuses map[worker.Attempt]worker.Status
		// statusesAt is the time of the last full report, and answeredAt that of
		// the last answer, which may be a heartbeat without statuses.
		statusesAt time.Time
		answeredAt time.Time
		// answered reports whether the worker answered the last poll.
		answered bool
		// leasesExtendedAt is the end of the last call that may have extended
		// the leases of the worker's tasks, whether it was answered or not.
		leasesExtendedAt time.Time
		// leasesRenewed reports whether the last answered poll extended the
		// leases of all tasks of the worker.
		leasesRenewed bool
	}

	// clockReading is a reading of a worker's own clock, which measures the
	// time since the worker's process started. The incarnation identifies that
	// process.
	clockReading struct {
		incarnation string
		uptime      time.Duration
	}

	// unmetResult holds the reasons for the guarantees that do not fit, with
	// the healthy workers and the guarantees that were checked.
	unmetResult struct {
		healthy    []ident.Worker
		guarantees []sched.Claim
		reasons    []string
	}

	// jobRecord is a job with the version of its row in the store.
	jobRecord struct {
		job     jobs.Job
		version int64
	}

	// jobKey identifies a job within the shard.
	jobKey struct {
		workspace ident.Workspace
		job       ident.Job
	}

	// round is the state of one round, which the filters pass on.
	round struct {
		now    time.Time
		lease  lease.State
		config *config.Config
		// clockReadings are from the reports received before config was read,
		// and configReadAt is the time of that read. A start may carry no other
		// readings, because they prove the age of config to the worker.
		clockReadings map[ident.Worker]clockReading
		configReadAt  time.Time
		// verdicts are the verdicts about the gangs that hold workers.
		verdicts map[jobKey]gang.Verdict
		// actions are the decisions of the policy.
		actions []sched.Action
		// cancel ends the round early. background waits for the renewals that
		// run until the end of the round.
		cancel     context.CancelFunc
		background sync.WaitGroup
	}
)

const (
	// roundInterval is the delay between rounds while jobs wait or start. It
	// limits the age of the clock readings by which a start proves to the
	// worker that the configuration is recent.
	roundInterval = 500 * time.Millisecond
	// maxRoundInterval is the longest delay between rounds with nothing to
	// place. It is below gang.ReportTTL, so that a gang still counts as complete
	// in the next round.
	maxRoundInterval = 2 * time.Second
	// maxCallsPerSecond limits the rate of calls to workers while there is
	// nothing to place. A call transfers about 400 bytes, and the control
	// traffic of an instance is limited to 20 KB per second.
	maxCallsPerSecond = 50
	// callTimeout limits one call to a worker. A slower worker counts as
	// silent in this round.
	callTimeout = 400 * time.Millisecond
	// storeTimeout limits the store operations of one filter and each commit
	// of a job.
	storeTimeout = 2 * time.Second
	// maxConcurrentActions is the number of actions of one round that run
	// concurrently.
	maxConcurrentActions = 16
	// runHistoryLimit is the number of finished jobs whose run times are kept.
	// The policy corrects declared run times by them.
	runHistoryLimit = 200
	// handOverDelay is the time for which another instance must be preferred
	// before the shard is handed over, so that a membership view that
	// alternates between states does not move the shard.
	handOverDelay = 10 * time.Second
)

// errNotOwner ends a round if this instance does not hold the lease.
var errNotOwner = errors.New("not the owner of the shard")

// NewShard returns a shard that is not running.
func NewShard(d Deps) *Shard {
	s := &Shard{deps: d, wake: make(chan struct{}, 1), storeAvailable: true}
	s.reset(0, time.Time{})
	s.chain = pipe.New("placement",
		pipe.Filter[*round]{Name: "hold", Do: s.holdLease},
		pipe.Filter[*round]{Name: "observe", Do: s.observeWorkers},
		pipe.Filter[*round]{Name: "judge", Do: s.evaluateGangs},
		pipe.Filter[*round]{Name: "renew", Do: s.renewTaskLeases},
		pipe.Filter[*round]{Name: "tend", Do: s.renewInBackground},
		pipe.Filter[*round]{Name: "read", Do: s.readConfig},
		pipe.Filter[*round]{Name: "queue", Do: s.readQueue},
		pipe.Filter[*round]{Name: "reconcile", Do: s.reconcileJobs},
		pipe.Filter[*round]{Name: "decide", Do: s.decideActions},
		pipe.Filter[*round]{Name: "act", Do: s.performActions},
	)
	return s
}

// Run performs rounds until ctx ends.
func (s *Shard) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// The next round retries what failed in this one.
		_ = s.Round(ctx)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(s.nextRoundDelay()):
		}
	}
}

// nextRoundDelay returns the delay until the next round unless Wake is called.
func (s *Shard) nextRoundDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range s.jobs {
		if !rec.job.State.Ended() && rec.job.State != jobs.Running {
			return roundInterval
		}
	}
	return s.pollIntervalLocked()
}

// pollInterval returns the interval at which all workers are polled. It grows
// with the number of workers to respect maxCallsPerSecond, up to
// maxRoundInterval.
func (s *Shard) pollInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pollIntervalLocked()
}

func (s *Shard) pollIntervalLocked() time.Duration {
	period := time.Second * time.Duration(len(s.workers)) / maxCallsPerSecond
	return min(max(period, roundInterval), maxRoundInterval)
}

// Round performs one round and returns the error that ended it, if any.
func (s *Shard) Round(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	r := &round{now: time.Now(), cancel: cancel}
	err := s.chain.Run(ctx, r)
	cancel()
	r.background.Wait()
	s.updateStoreState(err)
	return err
}

// Wake makes Run start the next round without waiting for the delay.
func (s *Shard) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Release clears the state of the shard and releases its lease, so that the
// next owner need not wait for the lease to expire. Run must have returned,
// unless Release is called within a round.
func (s *Shard) Release(ctx context.Context) error {
	state := s.deps.Lease.State()
	if !state.Held {
		return nil
	}
	s.deps.Log.Write(event.LeaseReleased, "domain", s.deps.Domain, "epoch", state.Epoch)
	s.reset(0, time.Time{})
	return s.deps.Lease.Release(ctx)
}

// Summary returns a summary of the shard and whether this instance owns it.
func (s *Shard) Summary() (sched.Summary, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.summary, s.epoch != 0
}

// OutOfService returns the workers that do not answer or are quarantined. It is
// empty if this instance does not own the shard.
func (s *Shard) OutOfService() []ident.Worker {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var outOfService []ident.Worker
	for id, tw := range s.workers {
		if !tw.answered || !tw.fenced || s.failureTracker.IsQuarantined(id, now) {
			outOfService = append(outOfService, id)
		}
	}
	return outOfService
}

// WaitReason returns why a waiting job waits, and whether the shard knows it.
func (s *Shard) WaitReason(w ident.Workspace, j ident.Job) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.waitReasons[jobKey{w, j}]
	return r, ok
}

// reset clears the state of the shard and begins an epoch. Epoch 0 means that
// this instance does not own the shard.
func (s *Shard) reset(epoch int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = epoch
	s.leaseAcquiredAt = now
	s.workers = make(map[ident.Worker]*trackedWorker)
	s.jobs = make(map[jobKey]jobRecord)
	s.unreadable = make(map[jobKey]int64)
	s.queueHeadVersion, s.queueScanned = 0, false
	s.waitReasons = make(map[jobKey]string)
	s.abortedAttempts = make(map[jobKey]int)
	s.mergedVerdicts = make(map[jobKey]mergedVerdict)
	s.summary = sched.Summary{Domain: s.deps.Domain, Epoch: epoch}
	s.ready = false
	s.outrankedSince = time.Time{}
	s.completeAttempts, s.evaluatedAt, s.runHistory = nil, time.Time{}, nil
	s.failureTracker, s.lastUnmet = fleet.NewFailureTracker(), unmetResult{}
}

// updateStoreState records from the error of a round whether the store is
// available, and logs each change.
func (s *Shard) updateStoreState(err error) {
	down := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUncertain)
	if err != nil && !down {
		return
	}
	s.mu.Lock()
	changed := s.storeAvailable == down
	s.storeAvailable = !down
	s.mu.Unlock()
	if !changed {
		return
	}
	if down {
		s.deps.Log.Write(event.StoreDown, "domain", s.deps.Domain, "reason", err.Error())
		return
	}
	s.deps.Log.Write(event.StoreBack, "domain", s.deps.Domain)
}

func keyOf(j jobs.Job) jobKey { return jobKey{j.Workspace, j.ID} }

func attemptOf(j jobs.Job) worker.Attempt {
	return worker.Attempt{Workspace: j.Workspace, Job: j.ID, Number: j.Attempt}
}

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
	// Deps are the calls that a shard makes.
	Deps struct {
		Domain  ident.Domain
		Table   store.Table
		Objects store.Objects
		Lease   *lease.Keeper
		// Rank returns the place of this instance among those that should own
		// the shard.
		Rank func(now time.Time) int
		// Workers returns the workers that the platform lists in the domain.
		Workers func() []worker.Spec
		Agent   func(s worker.Spec) worker.Agent
		// Read returns the committed configuration, read from the store.
		Read   func(ctx context.Context) (*config.Config, error)
		Policy sched.Policy
		// Peers returns what is known of the other domains.
		Peers func() []sched.Peer
		// Notify tells the owner of a shard that its queue changed.
		Notify func(d ident.Domain, w ident.Workspace, j ident.Job)
		Log    event.Log
	}

	// Shard is the capacity of one failure domain as its owner handles it.
	Shard struct {
		deps  Deps
		chain *pipe.Chain[*round]
		wake  chan struct{}

		mu sync.Mutex
		// epoch is the epoch for which the state below holds, 0 if none.
		epoch   int64
		since   time.Time
		workers map[ident.Worker]*tracked
		jobs    map[jobKey]held
		// unread are the jobs whose rows cannot be decoded, with their versions.
		unread map[jobKey]int64
		// head is the version of the queue's head row at the last whole scan.
		head    int64
		scanned bool
		waits   map[jobKey]string
		// aborted is the highest attempt of a job that was given up before its
		// start was recorded. Workers refuse its number from then on.
		aborted map[jobKey]int
		// findings are what is known of the present attempts of placed jobs.
		findings map[jobKey]finding
		summary  sched.Summary
		ready    bool
		storeUp  bool
		outrank  time.Time
		// complete are the attempts that the last round, at judged, found
		// complete with all workers answering.
		complete map[worker.Attempt]bool
		judged   time.Time
		unmet    unmet
		// records tell bad workers from bad jobs. A new owner starts afresh.
		records *fleet.Records
		// past are the run times of the jobs that ended last, oldest first.
		past []sched.Past
	}

	// tracked is a worker with its last report.
	tracked struct {
		spec  worker.Spec
		agent worker.Agent
		// fenced tells that the worker has accepted the epoch of this owner.
		fenced bool
		report worker.Report
		// statuses are those of the report by attempt.
		statuses map[worker.Attempt]worker.Status
		// reported is the instant of the last answer with statuses, seen that
		// of the last answer.
		reported time.Time
		seen     time.Time
		answered bool
		// extended is the end of the last call that could extend leases, with
		// an answer or without.
		extended time.Time
		// renewed tells that the last call has extended the leases of all
		// tasks of the worker.
		renewed bool
	}

	// tick is an instant of a worker's own clock.
	tick struct {
		boot string
		at   time.Duration
	}

	// unmet are the guarantees that do not fit, and for what that was found.
	unmet struct {
		healthy []ident.Worker
		claims  []sched.Home
		reasons []string
	}

	// held is a job with the version of its row.
	held struct {
		job     jobs.Job
		version int64
	}

	// jobKey names a job within the shard.
	jobKey struct {
		workspace ident.Workspace
		job       ident.Job
	}

	// round is the value that passes through the filters.
	round struct {
		now    time.Time
		lease  lease.State
		config *config.Config
		// ticks are those of the reports received before config was read, and
		// proven is the instant of that read. Only they may go into a start.
		ticks  map[ident.Worker]tick
		proven time.Time
		// verdicts are the judgements about the gangs that hold workers.
		verdicts map[jobKey]gang.Verdict
		// actions are what the policy decided.
		actions []sched.Action
		// stop ends the round early, and tending are the calls that go on
		// until its end.
		stop    context.CancelFunc
		tending sync.WaitGroup
	}
)

const (
	// roundEvery is the period of rounds while jobs wait or start. It bounds
	// the age of the proofs that starts carry.
	roundEvery = 500 * time.Millisecond
	// roundSlowest is the longest period of rounds with nothing to place. It
	// is below gang.Fresh, so that a gang stays complete between two rounds.
	roundSlowest = 2 * time.Second
	// callsPerSecond bounds the calls to workers while there is nothing to
	// place: a call takes about 400 bytes, and an instance may use 20 KB a
	// second for control.
	callsPerSecond = 50
	// callTimeout bounds one call to a worker. A worker that is slower counts
	// as silent for this round.
	callTimeout = 400 * time.Millisecond
	// storeTimeout bounds the store's part of a round.
	storeTimeout = 2 * time.Second
	// actLimit is the number of actions of one round that run at once.
	actLimit = 16
	// pastKept is the number of ended jobs from which run times are learnt.
	pastKept = 200
	// outrankedFor is the time for which another instance must be preferred
	// before a shard is handed over, so that a view that changes back and
	// forth moves nothing.
	outrankedFor = 10 * time.Second
)

// errNotOwner ends the round of an instance that does not hold the lease.
var errNotOwner = errors.New("not the owner of the shard")

// NewShard returns a shard that is not running.
func NewShard(d Deps) *Shard {
	s := &Shard{deps: d, wake: make(chan struct{}, 1), storeUp: true}
	s.reset(0, time.Time{})
	s.chain = pipe.New("placement",
		pipe.Filter[*round]{Name: "hold", Do: s.hold},
		pipe.Filter[*round]{Name: "observe", Do: s.observe},
		pipe.Filter[*round]{Name: "judge", Do: s.judgeAll},
		pipe.Filter[*round]{Name: "renew", Do: s.renew},
		pipe.Filter[*round]{Name: "tend", Do: s.tend},
		pipe.Filter[*round]{Name: "read", Do: s.read},
		pipe.Filter[*round]{Name: "queue", Do: s.queue},
		pipe.Filter[*round]{Name: "reconcile", Do: s.reconcile},
		pipe.Filter[*round]{Name: "decide", Do: s.decide},
		pipe.Filter[*round]{Name: "act", Do: s.act},
	)
	return s
}

// Run performs rounds until ctx ends.
func (s *Shard) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// What a round could not do, the next one does.
		_ = s.Round(ctx)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(s.period()):
		}
	}
}

// period returns the time until the next round without a reason to hurry.
func (s *Shard) period() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.jobs {
		if !h.job.State.Ended() && h.job.State != jobs.Running {
			return roundEvery
		}
	}
	return s.pacedLocked()
}

// paced returns the period at which all workers can be called.
func (s *Shard) paced() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacedLocked()
}

func (s *Shard) pacedLocked() time.Duration {
	period := time.Second * time.Duration(len(s.workers)) / callsPerSecond
	return min(max(period, roundEvery), roundSlowest)
}

// Round performs one round and returns the error that ended it, if any.
func (s *Shard) Round(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	r := &round{now: time.Now(), stop: stop}
	err := s.chain.Run(ctx, r)
	stop()
	r.tending.Wait()
	s.noteStore(err)
	return err
}

// Wake starts the next round now.
func (s *Shard) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Release hands the shard over. Run must have ended.
func (s *Shard) Release(ctx context.Context) error {
	state := s.deps.Lease.State()
	if !state.Held {
		return nil
	}
	s.deps.Log.Write(event.LeaseReleased, "domain", s.deps.Domain, "epoch", state.Epoch)
	s.reset(0, time.Time{})
	return s.deps.Lease.Release(ctx)
}

// Summary returns the state of the shard and whether this instance owns it.
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
	var out []ident.Worker
	for id, t := range s.workers {
		if !t.answered || !t.fenced || s.records.IsBarred(id, now) {
			out = append(out, id)
		}
	}
	return out
}

// Reason returns why a waiting job waits, and whether the shard knows it.
func (s *Shard) Reason(w ident.Workspace, j ident.Job) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.waits[jobKey{w, j}]
	return r, ok
}

// reset forgets everything and starts an epoch.
func (s *Shard) reset(epoch int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = epoch
	s.since = now
	s.workers = make(map[ident.Worker]*tracked)
	s.jobs = make(map[jobKey]held)
	s.unread = make(map[jobKey]int64)
	s.head, s.scanned = 0, false
	s.waits = make(map[jobKey]string)
	s.aborted = make(map[jobKey]int)
	s.findings = make(map[jobKey]finding)
	s.summary = sched.Summary{Domain: s.deps.Domain, Epoch: epoch}
	s.ready = false
	s.outrank = time.Time{}
	s.complete, s.judged, s.past = nil, time.Time{}, nil
	s.records, s.unmet = fleet.NewRecords(), unmet{}
}

// noteStore logs when the store stops and starts answering.
func (s *Shard) noteStore(err error) {
	down := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUncertain)
	if err != nil && !down {
		return
	}
	s.mu.Lock()
	changed := s.storeUp == down
	s.storeUp = !down
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

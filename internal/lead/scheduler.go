package lead

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/agent"
	"github.com/baobabquay/baobabquay/internal/elect"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/plan"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/queues"
	"github.com/baobabquay/baobabquay/internal/shard"
	"github.com/baobabquay/baobabquay/internal/share"
	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// Deps holds the dependencies of a Scheduler.
	Deps struct {
		Table  store.Table
		Feed   store.Feed
		Calls  agent.Calls
		Queues *queues.ActiveConfig
		Limits agent.Limits
		// WorkerList is the table that holds the platform's list of workers.
		// ReadWorker decodes one of its rows.
		WorkerList string
		ReadWorker func(store.Row) (ListedWorker, error)
		// HandOver asks the leader of an earlier epoch for the progress that it
		// has not stored, and ends its term. It may be nil.
		HandOver func(ctx context.Context, former netip.AddrPort, epoch int64) (map[graph.ID]graph.Snapshot, error)
		// LinkRate is the rate of the instance's link in bytes per second, 0 for one that
		// needs no bound.
		LinkRate float64
		// DrainRuns has runs stopped that would be lost with a draining worker.
		DrainRuns bool
		// LearnRunTimes has finished runs decide what run time is expected.
		LearnRunTimes bool
		Log           event.Log
		// Policy decides placements. If it is nil, plan.Default applies.
		Policy *plan.Policy
	}

	// ListedWorker is a worker as it appears in the platform's list.
	ListedWorker struct {
		ID pool.WorkerID
		pool.Attributes
		// IncarnationStart is the start of the incarnation that has written the
		// entry, zero if the list does not give it.
		IncarnationStart time.Time
		// Draining workers finish their runs and then leave.
		Draining bool
		// Remaining is the least time for which a draining worker stays. It is 0
		// if the list does not give one.
		Remaining time.Duration
	}

	// Status is what the leader reports of a job to its callers.
	Status struct {
		Phase graph.Phase
		Queue string
	}

	// Scheduler runs the terms in which this instance leads, one at a time.
	// Status, Waiting and ReleaseTerm are safe for concurrent use.
	Scheduler struct {
		Deps
		statuses *shard.Map[graph.ID, Status]

		mu sync.Mutex
		// waitingByQueue counts the jobs of which nothing has started.
		waitingByQueue map[string]int
		// serving reports whether a term has loaded its state and is under way.
		serving bool
		// unstored is the progress of the current term that is not stored yet.
		unstored map[graph.ID]graph.Snapshot
		// unmerged is the unstored progress of earlier terms of this instance.
		// It is set until a term has loaded its state and merged it.
		unmerged map[graph.ID]graph.Snapshot
		// epoch is that of the current term, and endTerm cancels it.
		epoch   int64
		endTerm context.CancelFunc
	}

	// job is a job that has not ended.
	job struct {
		progress *graph.Progress
		// placements is the set of its placements that have not ended.
		placements map[*placement]bool
		// idleSince is the time since which it has no placements.
		idleSince time.Time
		// nextDue is the instant of the next occurrence, zero if there is none.
		nextDue time.Time
		// avoid lists the workers on which a step's tasks have failed, stalled or
		// been refused.
		avoid map[stepKey]map[pool.WorkerID]bool
		// failedOn lists the workers on which tasks of a step have failed since the
		// last success of one.
		failedOn map[stepKey]map[pool.WorkerID]bool
		// preemptions counts how often a step was stopped to free capacity for
		// another unit.
		preemptions map[stepKey]int
		// stalls counts how often a unit was stopped because it had stalled.
		stalls map[unitKey]int
		// lastRun is the highest run number used so far.
		lastRun int64
		// dirty reports whether the progress has changed since it was last put
		// into a transaction.
		dirty bool
		// beyondRate reports whether the workspace has submitted the job beyond its
		// weight in jobs per second.
		beyondRate bool
		// heldLoggedAt has the times at which the job was last logged as waiting for a
		// limit, by reason.
		heldLoggedAt map[string]time.Time
		// loggedPhase is the final phase that was logged as published, empty if
		// none was.
		loggedPhase graph.Phase
	}

	// stepKey identifies a step of one occurrence of a job.
	stepKey struct {
		occurrence int
		step       int
	}

	// unitKey identifies a unit of a job by its first member.
	unitKey struct {
		stepKey
		first int
	}

	// term is the state of one term. Only the goroutine of loop uses it, except
	// for inbox, which any goroutine may send to.
	term struct {
		*Scheduler
		elect.Term
		ctx       context.Context
		inbox     chan any
		startedAt time.Time

		jobs    map[graph.ID]*job
		workers map[pool.WorkerID]*worker
		// nextToken is, by removed worker, the number of the fencing token to start
		// from if the worker is listed again.
		nextToken map[pool.WorkerID]int64
		pool      *pool.Pool
		// members are the tasks of the placements that have not ended.
		members map[graph.TaskID]*member
		// unstarted is the set of placements whose starts have not been sent.
		unstarted map[*placement]bool
		// placements is the set of all placements that have not ended.
		placements map[*placement]bool
		// usage has what the workspaces use, beside what the pool's workers do.
		usage share.Account
		limitState
		// urgentPeaks has the recent use of accelerators by urgent units.
		urgentPeaks map[string]*plan.Peak
		// startLimiter bounds the starts, and startsLimited reports whether some wait for
		// it or for the leader's lease.
		startLimiter  *startLimiter
		startsLimited bool
		// leaving has the draining workers that say how long they stay, and the
		// earliest time at which they leave.
		leaving map[*worker]time.Time
		// runTimes has what finished runs tell about run times, nil if nothing is
		// learned from them.
		runTimes *runTimes
		// outOfService is the set of failure domains that are out of service.
		outOfService map[string]bool

		// inherited are the jobs with progress from former leaders that is not
		// stored yet. It is nil once all of it is stored.
		inherited map[graph.ID]bool

		loadedVersion     int64 // version of the job table that load has read
		queuesVersion     int64 // version of the configuration that the jobs follow
		unresolvedWorkers int   // number of unresolved workers
		// listRead reports whether the whole list of workers has been read.
		listRead bool
		// pending collects acknowledgements and removed workers for the next
		// transaction.
		pending commit
		// inFlight reports whether a transaction is under way.
		inFlight       bool
		sentAt         time.Time // when the last transaction was sent
		dirtySince     time.Time // when the oldest pending change was made, zero for none
		startPending   bool      // whether a start waits for the next transaction
		lastWaitCounts string    // last logged counts of waiting units
		pacer          pacer
		steps          steps
		goroutines     sync.WaitGroup
	}
)

const (
	// inboxSize is the capacity of a term's inbox.
	inboxSize = 1024
	// maxEventBatch bounds the further events that one iteration of loop applies.
	maxEventBatch = 256
	// commitDelay is how long a change waits for others to share its
	// transaction. It is startCommitDelay if a start waits for the transaction.
	commitDelay      = 25 * time.Millisecond
	startCommitDelay = 2 * time.Millisecond
	// statusShards is the number of shards of the status map, each with its own
	// lock.
	statusShards = 16
	// maxPlacedTasks bounds the tasks of one job that are placed at a time. The
	// row of 2000 tasks with their checkpoints takes 48 KB; the limit is 64 KB.
	maxPlacedTasks = 2000
	// maxReadyTasks is about the number of tasks of one job that a decision
	// considers, so that the memory and the time of a decision do not grow with the
	// tasks that wait.
	maxReadyTasks = 500
	// runsPerEpoch bounds the run numbers, and so the starts, of one job in one
	// term.
	runsPerEpoch = 1 << 20
)

// firstStartSeconds is the time from the acceptance, or the due time, of a job
// to its first start.
var firstStartSeconds = metrics.NewHistogram("baobabquay_job_first_start_seconds")

// keptAccelerators is the number of accelerators that the last decision has kept for urgent
// work, 0 where this instance does not lead or nothing waits.
var keptAccelerators = metrics.NewGauge("baobabquay_kept_accelerators", nil)

// New returns a scheduler that is in no term yet.
func New(d Deps) *Scheduler {
	if d.Policy == nil {
		d.Policy = plan.Default()
	}
	return &Scheduler{
		Deps: d, statuses: shard.New[graph.ID, Status](statusShards), waitingByQueue: make(map[string]int),
	}
}

// Status returns the status of a job and whether it is known. It is never known
// while this instance does not lead.
func (s *Scheduler) Status(id graph.ID) (Status, bool) {
	s.mu.Lock()
	serving := s.serving
	s.mu.Unlock()
	if !serving {
		return Status{}, false
	}
	return s.statuses.Load(id)
}

// Waiting returns the number of jobs in a queue of which nothing has started,
// and whether this instance leads.
func (s *Scheduler) Waiting(queue string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waitingByQueue[queue], s.serving
}

func (s *Scheduler) setServing(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving = on
}

// Run runs a term until ctx ends or another leader has taken over.
func (s *Scheduler) Run(ctx context.Context, elected elect.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	t := &term{
		Scheduler: s, Term: elected, ctx: ctx, startedAt: time.Now(), inbox: make(chan any, inboxSize),
		jobs: make(map[graph.ID]*job), workers: make(map[pool.WorkerID]*worker), pool: pool.New(),
		nextToken: make(map[pool.WorkerID]int64), members: make(map[graph.TaskID]*member),
		unstarted: make(map[*placement]bool), placements: make(map[*placement]bool),
		urgentPeaks: make(map[string]*plan.Peak),
	}
	t.startLimiter = newStartLimiter(s.LinkRate)
	if s.LearnRunTimes {
		t.runTimes = newRunTimes()
	}
	s.dropLiveStatuses()
	s.beginTerm(elected.Epoch, cancel)
	defer func() {
		cancel()
		t.goroutines.Wait()
		t.gauges.close()
		s.setServing(false)
		keptAccelerators.Set(0)
	}()
	if err := t.load(ctx); err != nil {
		return fmt.Errorf("begin term %d: %w", elected.Epoch, err)
	}
	t.publishAll()
	s.setServing(true)
	t.follow(ctx)
	return t.loop(ctx)
}

// dropLiveStatuses deletes the statuses of an earlier term, except for completed
// and failed jobs, whose ends are stored. The other jobs may have ended since, in
// the term of another instance.
func (s *Scheduler) dropLiveStatuses() {
	s.statuses.Range(func(id graph.ID, status Status) bool {
		if status.Phase != graph.Completed && status.Phase != graph.FailedJob {
			s.statuses.Delete(id)
		}
		return true
	})
}

// beginTerm sets the fields of a new term and moves the unstored progress of the
// last one to unmerged.
func (s *Scheduler) beginTerm(epoch int64, endTerm context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unmerged = s.allUnstored()
	s.unstored, s.epoch, s.endTerm = make(map[graph.ID]graph.Snapshot), epoch, endTerm
}

// allUnstored returns the progress that this instance has not stored in any of
// its terms. The caller must hold mu.
func (s *Scheduler) allUnstored() map[graph.ID]graph.Snapshot {
	all := make(map[graph.ID]graph.Snapshot, len(s.unstored)+len(s.unmerged))
	maps.Copy(all, s.unstored)
	// Entries of unmerged take precedence: as long as they are not merged, the
	// current term knows no more of these jobs than their stored rows.
	maps.Copy(all, s.unmerged)
	return all
}

// ReleaseTerm ends the current term if its epoch is lower than the given one, and
// returns the progress that this instance has not stored. Otherwise, and before
// the first term, it returns nil.
func (s *Scheduler) ReleaseTerm(epoch int64) map[graph.ID]graph.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.allUnstored()
	log := s.Log.With("successor", epoch, "epoch", s.epoch, "leads", s.serving, "jobs", len(progress))
	if s.epoch == 0 || s.epoch >= epoch {
		log.Write(event.HandedOver, "outcome", "refused")
		return nil
	}
	log.Write(event.HandedOver, "outcome", "given")
	s.endTerm()
	return progress
}

// post sends an event to the goroutine of loop.
func (t *term) post(ev any) {
	select {
	case t.inbox <- ev:
	case <-t.ctx.Done():
	}
}

// loop applies events and makes decisions until ctx ends.
func (t *term) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-t.inbox:
			if err := t.applyAll(ev); err != nil {
				return err
			}
		case <-timer.C:
		}
		now := time.Now()
		t.openOccurrences(now)
		t.applyOutOfService()
		if now.Sub(t.pacer.lastStallCheck) >= stallCheckInterval {
			t.pacer.lastStallCheck = now
			t.stopStalled(now)
		}
		t.moveOffLeaving(now)
		if t.pacer.due(now) {
			t.pacer.changed = false
			t.decide(now)
			t.pacer.done(now, time.Now())
		}
		t.stopOnClosedWorkers()
		t.startReady(now)
		t.publishWaiting()
		t.flush(now)
		timer.Reset(t.nextWake(now))
	}
}

// applyAll applies ev and up to maxEventBatch further events from the inbox.
func (t *term) applyAll(ev any) error {
	for n := 0; ; n++ {
		if err := t.apply(ev); err != nil {
			return err
		}
		if n >= maxEventBatch {
			return nil
		}
		select {
		case ev = <-t.inbox:
		default:
			return nil
		}
	}
}

func (t *term) apply(ev any) error {
	switch e := ev.(type) {
	case jobChanges:
		t.applyJobs(e)
	case workerChanges:
		t.applyWorkers(e)
	case agent.Event:
		return t.applyAgent(e)
	case committed:
		return t.applyCommitted(e)
	}
	return nil
}

// decide places waiting units, and stops the placements that are preempted for
// them.
func (t *term) decide(now time.Time) {
	config := t.Queues.Current()
	if config == nil {
		return
	}
	t.followQueues(config)
	view := &plan.View{
		Pool: t.pool, Waiting: t.readyUnits(), Guarantees: config.Guarantees(),
		Avoid: t.avoidedWorkers, TaskCounts: t.tasksByWorker,
		UrgentPeaks: t.urgentPeaks, IdleSince: t.idleSince,
	}
	t.limitView(now, view, config.Limits())
	t.expectRunTimes(now, view)
	for p := range t.placements {
		view.Placements = append(view.Placements, &p.Placement)
	}
	if len(view.Waiting) == 0 {
		t.gauges.update(now, &t.usage, config.Limits(), &plan.Decision{})
		keptAccelerators.Set(0)
		return
	}
	decision := t.Policy.Decide(now, view)
	keptAccelerators.Set(float64(view.Kept))
	for _, stop := range decision.Stops {
		t.preempt(now, stop)
	}
	for _, start := range decision.Starts {
		t.place(now, start)
	}
	t.logHeld(now, &decision, config.Limits())
	t.gauges.update(now, &t.usage, config.Limits(), &decision)
	if len(decision.Starts) >= maxReadyTasks {
		// A job may have more tasks that fit.
		t.pacer.changed = true
	}
	if counts := fmt.Sprint(decision.Waits); counts != t.lastWaitCounts {
		t.lastWaitCounts = counts
		t.Log.Write(event.UnitsWait, "counts", decision.Waits, "placed", len(t.placements))
	}
}

// readyUnits returns the units that may be placed.
func (t *term) readyUnits() []graph.Unit {
	var units []graph.Unit
	for _, j := range t.jobs {
		units = append(units, j.limitPlaced(j.progress.Ready(maxReadyTasks))...)
	}
	return units
}

// limitPlaced returns the units from the start of the list that keep the job
// within maxPlacedTasks, so that its row stays within the limit of the store. A
// larger unit is placed alone.
func (j *job) limitPlaced(units []graph.Unit) []graph.Unit {
	tasks := 0
	for p := range j.placements {
		tasks += p.remaining
	}
	for i := range units {
		tasks += len(units[i].Members)
		if tasks > maxPlacedTasks && (i > 0 || len(j.placements) > 0) {
			return units[:i]
		}
	}
	return units
}

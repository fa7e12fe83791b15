package plan

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/share"
)

type (
	// Placement is a unit to which workers are assigned.
	Placement struct {
		Unit graph.Unit
		// Workers has one entry for each task that has not ended.
		Workers []*pool.Worker
		// Since is the instant at which the start orders were sent, zero while
		// the unit waits for its capacity to become free.
		Since time.Time
		// Stopping reports whether the unit's tasks have been ordered to stop.
		Stopping bool
		// Preemptions counts how often the unit's step has been preempted.
		Preemptions int
	}

	// View is the state on which a decision is based.
	View struct {
		Pool       *pool.Pool
		Waiting    []graph.Unit
		Placements []*Placement
		// Guarantees is the number of guaranteed accelerators by workspace.
		Guarantees map[string]int64
		// Avoid returns the workers to use for the unit only if the others do
		// not suffice, since its tasks have failed there.
		Avoid func(graph.Unit) map[pool.WorkerID]bool
		// UrgentPeaks has the peaks of the accelerators in use by urgent units, by
		// service. Each decision adds to it. If it is nil, no capacity is kept for
		// urgent units.
		UrgentPeaks map[string]*Peak
		// Kept is the number of accelerators that the decision has kept for urgent
		// units, some of which may be in use still.
		Kept int64
		// IdleSince returns the time since which nothing of the unit's job runs, zero
		// if something does. If it is nil, something does for all jobs.
		IdleSince func(graph.Unit) time.Time
		// TaskCounts returns, by worker, the number of tasks of the unit's step
		// and occurrence.
		TaskCounts func(graph.Unit) map[pool.WorkerID]int
		// Expected returns the run time that is expected of a task of the unit near
		// its data. If it is nil, the declared run time applies.
		Expected func(graph.Unit) time.Duration
		// Limits has the weights and caps by workspace, and Usage what each workspace
		// uses. If Usage is nil, there are no limits.
		Limits map[string]share.Limit
		Usage  *share.Account
		// Remaining returns the time that a started placement is expected to take
		// still. If it is nil, nothing is known. No rule queries it yet.
		Remaining func(*Placement) time.Duration
		// BeyondRate reports whether the workspace has submitted the unit's job beyond
		// its weight in jobs per second. If it is nil, none is.
		BeyondRate func(graph.Unit) bool
	}

	// Start assigns workers to a unit.
	Start struct {
		Unit    graph.Unit
		Workers []*pool.Worker
		// Near reports whether the workers satisfy the locality of the step: all
		// are on DataRack if that rack is in the pool, else those of a SameRack
		// gang are on one rack.
		Near bool
		// Reason tells where the capacity comes from: "room" is free capacity,
		// "far" is free capacity used for an urgent unit after the search for
		// capacity near its data was in vain, "leaving" is capacity of tasks
		// that are stopping already, and "reclaim" is capacity made free by
		// preemption.
		Reason string
	}

	// Stop preempts a placed unit.
	Stop struct {
		Placement *Placement
		// For is the unit that is to use the capacity.
		For graph.Unit
	}

	// Decision is the outcome of a round. Waits counts the units that remain
	// waiting, by reason: "room" if the unit does not fit, "headroom" if it fits
	// only on capacity that is kept for urgent units, "guarantee" if the unit is
	// urgent and may not preempt enough others either, "cap" if it does not fit
	// the cap of its workspace, "share" if there is no room and the workspace has
	// more than its share, "spent" if it has lost its value and others want the capacity.
	// Once a unit has to wait, the other units of its step
	// count under "room", or under "cap" or "share" if it waits for that.
	Decision struct {
		Starts []Start
		Stops  []Stop
		Waits  map[string]int
		// WaitsByWorkspace counts the same by workspace, if there are limits.
		WaitsByWorkspace map[WorkspaceWait]int
		// Held has the first unit of each step that waits for a cap or a share.
		Held []Held
		// Shares has the workspaces that have a weight or waiting units, if any
		// workspace has a weight.
		Shares map[string]Share
	}

	// Policy holds the rules that can be replaced one by one, so that a test
	// can compare a rule with the default on the same load.
	Policy struct {
		// Order sorts v.Waiting in the order in which the units are to be placed.
		Order func(now time.Time, v *View)
		// LostWork returns the work in core-seconds that is lost when p is
		// stopped.
		LostWork func(now time.Time, v *View, p *Placement) float64
		// WaitsForLocality reports whether a unit waits for capacity near its
		// data rather than start elsewhere. For urgent units, others are
		// preempted there.
		WaitsForLocality func(now time.Time, v *View, u graph.Unit) bool
		// SpareAccelerators returns, by service, the free accelerators that units
		// without urgency may use, or nil if they may use all.
		SpareAccelerators func(now time.Time, v *View) map[string]int64
		// LateGroup returns the group of u by its lateness. Order must place the units
		// of a lower group first. Workspaces share capacity by their weights within
		// a group.
		LateGroup func(now time.Time, v *View, u graph.Unit) int
		// IsSpent reports whether u has lost its value, so that it gets only capacity
		// that no other waiting unit wants. If it is nil, none has. Order must sort
		// such units last.
		IsSpent func(now time.Time, v *View, u graph.Unit) bool
	}

	// round is the state of one scheduling round.
	round struct {
		*Policy
		*View
		now        time.Time
		urgentUsed map[string]int64
		decision   Decision
		// noFit has the units that did not fit in this round, with the reason under which
		// equal ones count. These are not tried again.
		noFit map[noFitKey]string
		// taskCounts counts, for steps with a limit of tasks per worker, the
		// tasks on each worker, including those placed in this round.
		taskCounts map[stepKey]map[pool.WorkerID]int
		// victimsOn lists the placed units of each worker, once for each task
		// there. It is built before the first search for victims.
		victimsOn map[*pool.Worker][]*victim
		// spare has the accelerators that units without urgency may still use, by
		// service. It is nil if there is no limit.
		spare map[string]int64
		// onlyQuarantined caches the answers of Pool.OnlyQuarantined.
		onlyQuarantined map[workerKind]bool
		// underHalfUsed caches the answers of View.underHalfUsed by service.
		underHalfUsed map[string]bool
		// searches counts the searches for victims.
		searches int
		// capUses has the usage of the workspaces with a cap, nil for one without.
		capUses map[string]*capUse
		// onlyWorkspace restricts the search for victims to a workspace. It is empty
		// if there is no restriction.
		onlyWorkspace string
		// shares compares the workspaces. It is nil if none has a weight.
		shares *shares
		// waitingWithValue has the units that have to wait and are not spent, and
		// unwanted the free accelerators by service that they leave. Both are in use
		// only if IsSpent is set.
		waitingWithValue []graph.Unit
		unwanted         map[string]int64
		// overdueRunning has an overdue step that runs, by service. It is built before the
		// first overdue unit is considered.
		overdueRunning map[string]stepKey
	}

	// workerKind is what decides whether a step may use a worker, whatever its capacity.
	workerKind struct {
		service     string
		label       string
		longRunning bool
	}

	// noFitKey is what units that fit or do not fit together have in common.
	noFitKey struct {
		stepKey
		// waitsForLocality reports whether they only fit near their data.
		waitsForLocality bool
	}

	stepKey struct {
		job        graph.ID
		occurrence int
		step       int
	}
)

const (
	// coresPerAccelerator converts accelerators to processor cores. Users price
	// lost work at the same rate.
	coresPerAccelerator = 8
)

// Urgent reports whether the job may preempt others.
func Urgent(j *graph.Job) bool { return j.Priority == 0 }

// Default returns the policy that the scheduler uses.
func Default() *Policy {
	return &Policy{Order: Order, LostWork: LostWork, WaitsForLocality: WaitsForLocality, SpareAccelerators: SpareAccelerators, LateGroup: LateGroup}
}

// Decide returns the starts and stops of one round under the default policy and
// reserves the capacity of the starts in the pool.
func Decide(now time.Time, v *View) Decision { return Default().Decide(now, v) }

// Decide returns the starts and stops of one round and reserves the capacity of
// the starts in the pool.
func (p *Policy) Decide(now time.Time, v *View) Decision {
	r := newRound(p, now, v)
	p.Order(now, v)
	if r.shares = r.newShares(); r.shares != nil {
		r.placeByShare()
		return r.decision
	}
	for _, u := range v.Waiting {
		r.try(u)
	}
	return r.decision
}

// try places u, or counts the reason for which it waits. It reports whether u was placed.
func (r *round) try(u graph.Unit) bool {
	key := r.noFitKeyOf(u)
	if reason := r.noFit[key]; reason != "" {
		r.countWait(u, reason)
		return false
	}
	reason := r.place(u)
	if reason == "" {
		return true
	}
	if reason = r.limitReason(u, reason); reason == waitsForCap || reason == waitsForShare {
		r.noFit[key] = reason
		r.decision.Held = append(r.decision.Held, Held{u, reason})
	} else {
		r.noFit[key] = "room"
	}
	r.countWait(u, reason)
	return false
}

func newRound(p *Policy, now time.Time, v *View) *round {
	return &round{
		Policy: p, View: v, now: now, urgentUsed: v.countUrgentAccelerators(), noFit: make(map[noFitKey]string),
		taskCounts: make(map[stepKey]map[pool.WorkerID]int), decision: Decision{Waits: make(map[string]int)},
		spare: p.SpareAccelerators(now, v), onlyQuarantined: make(map[workerKind]bool),
		underHalfUsed: make(map[string]bool),
	}
}

// countUrgentAccelerators returns the accelerators that urgent jobs use, by
// workspace.
func (v *View) countUrgentAccelerators() map[string]int64 {
	used := make(map[string]int64)
	for _, p := range v.Placements {
		if !p.Stopping && Urgent(p.Unit.Progress.Job) {
			used[p.Unit.Progress.Job.Workspace] += accelerators(p.Unit)
		}
	}
	return used
}

func accelerators(u graph.Unit) int64 {
	return u.Spec().Demand.Accelerators * int64(len(u.Members))
}

// place starts u on free capacity or, if u is urgent, by preemption. It returns
// the reason for which u has to wait, or an empty string.
func (r *round) place(u graph.Unit) string {
	if r.yields(u) {
		return "spent"
	}
	if c := r.capUse(u); c != nil && !c.withinCap(u) {
		if r.placeOverCap(u, c) {
			return ""
		}
		c.keepFor(u)
		return waitsForCap
	}
	if !Urgent(u.Progress.Job) && !r.hasSpare(u) {
		return "headroom"
	}
	req := r.request(u)
	req.LocalOnly = r.waitsForLocality(u) && r.nearFeasible(req)
	if chosen, near := r.Pool.Choose(req); chosen != nil {
		r.start(u, chosen, near, "room")
		return ""
	}
	if !Urgent(u.Progress.Job) {
		return "room"
	}
	if r.placeByPreemption(u, req) {
		return ""
	}
	if req.LocalOnly {
		req.LocalOnly = false
		if chosen, near := r.Pool.Choose(req); chosen != nil {
			r.start(u, chosen, near, "far")
			return ""
		}
		if r.placeByPreemption(u, req) {
			return ""
		}
	}
	return "guarantee"
}

// hasSpare reports whether the accelerators of u are not kept for urgent units.
func (r *round) hasSpare(u graph.Unit) bool {
	need := accelerators(u)
	return r.spare == nil || need == 0 || need <= r.spare[u.Progress.Job.Service]
}

// placeByPreemption places an urgent unit on capacity of tasks that are
// stopping, or stops others for it, and reports whether u was placed.
func (r *round) placeByPreemption(u graph.Unit, req pool.Request) bool {
	req.Free = (*pool.Worker).FreeSoon
	if chosen, near := r.Pool.Choose(req); chosen != nil {
		r.start(u, chosen, near, "leaving")
		return true
	}
	return r.preempt(u, req)
}

func (r *round) request(u graph.Unit) pool.Request {
	s := u.Spec()
	req := pool.Request{
		Now: r.now, Service: u.Progress.Job.Service, Count: len(u.Members),
		TaskDemand: s.Footprint(), Label: s.Label,
		DataRack: s.DataRack, SameRack: s.SameRack, MaxPerWorker: s.MaxPerWorker,
	}
	if s.MaxPerWorker > 0 {
		req.TaskCounts = r.taskCountsOf(u)
	}
	if r.Avoid != nil {
		req.Avoid = r.Avoid(u)
	}
	r.allowQuarantined(&req, s.LongRunning)
	return req
}

// allowQuarantined permits quarantined workers if no other worker can run the tasks,
// which would wait in vain if the tasks are at fault rather than the workers. Workers
// that are quarantined for failures are permitted to long-running tasks only, since
// other tasks have a limited number of attempts.
func (r *round) allowQuarantined(req *pool.Request, longRunning bool) {
	req.AllowStalled, req.AllowFailing = true, longRunning
	kind := workerKind{req.Service, req.Label, longRunning}
	only, known := r.onlyQuarantined[kind]
	if !known {
		only = r.Pool.OnlyQuarantined(*req)
		r.onlyQuarantined[kind] = only
	}
	if !only {
		req.AllowStalled, req.AllowFailing = false, false
	}
}

func stepKeyOf(u graph.Unit) stepKey {
	return stepKey{u.Progress.Job.ID, u.Occurrence, u.Step}
}

// noFitKeyOf returns the key of u. The occurrences of a step are equal, unless tasks of
// the same occurrence count on a worker.
func (r *round) noFitKeyOf(u graph.Unit) noFitKey {
	key := noFitKey{stepKeyOf(u), r.waitsForLocality(u)}
	if u.Spec().MaxPerWorker == 0 {
		key.occurrence = 0
	}
	return key
}

// taskCountsOf returns the number of tasks of u's step on each worker, which
// start updates.
func (r *round) taskCountsOf(u graph.Unit) map[pool.WorkerID]int {
	key := stepKeyOf(u)
	if r.taskCounts[key] == nil {
		r.taskCounts[key] = r.TaskCounts(u)
	}
	return r.taskCounts[key]
}

func (r *round) start(u graph.Unit, chosen []*pool.Worker, near bool, reason string) {
	demand := u.Spec().Footprint()
	counts := r.taskCounts[stepKeyOf(u)]
	for _, w := range chosen {
		w.Reserved = w.Reserved.Plus(demand)
		if counts != nil {
			counts[w.ID]++
		}
	}
	r.countStart(u)
	if Urgent(u.Progress.Job) {
		r.urgentUsed[u.Progress.Job.Workspace] += accelerators(u)
	}
	if r.overdueRunning != nil && r.overdue(r.now, u) {
		r.overdueRunning[u.Progress.Job.Service] = stepKeyOf(u)
	}
	if r.spare != nil {
		r.spare[u.Progress.Job.Service] -= accelerators(u)
	}
	r.decision.Starts = append(r.decision.Starts, Start{Unit: u, Workers: chosen, Near: near, Reason: reason})
}

// weight returns a demand in processor cores.
func weight(d graph.Demand) float64 {
	const millicoresPerCore = 1000
	return float64(d.Millicores)/millicoresPerCore + coresPerAccelerator*float64(d.Accelerators)
}

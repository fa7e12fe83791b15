package worker

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/google/uuid"
)

type (
	// Simulator is an in-memory worker. It keeps reservations and running
	// attempts under leases and simulates each attempt by a Program. It is safe
	// for concurrent use.
	Simulator struct {
		// Run returns the simulated behaviour of an attempt. It is called when
		// the attempt starts and must not block.
		Run func(s Start) Program
		// OnLog, if not nil, is called for each reservation, start and end of
		// an attempt, with the lock of the Simulator held.
		OnLog func(e Entry)
		// Guards are the acceptance rules. Tests replace single rules to verify
		// that a missing one is detected.
		Guards Guards

		spec         Spec
		incarnation  string
		processStart time.Time

		mu            sync.Mutex
		epoch         int64
		configVersion int64
		changes       int64
		allocations   map[Attempt]*allocation
		// endedAttempts maps each attempt that must not start again to the
		// instant at which it ended.
		endedAttempts map[Attempt]time.Time
	}

	// Guards are the rules by which a worker accepts or refuses a message.
	Guards struct {
		// Epoch reports whether a message of epoch got is accepted by a worker
		// whose highest epoch is seen.
		Epoch func(seen, got int64) bool
		// Config reports whether a start under configuration version got is
		// accepted by a worker whose highest version is seen.
		Config func(seen, got int64) bool
		// Permit reports whether a start permit of the given age is accepted.
		Permit func(age time.Duration) bool
		// Ended reports whether a reservation or start of a is refused, given
		// whether a has ended.
		Ended func(a Attempt, ended bool) bool
		// InService reports whether a start is accepted, given whether the
		// domain is in service in the sender's configuration.
		InService func(inService bool) bool
		// Lapsed reports whether a lease or reservation that expires at the
		// given instant has expired at now.
		Lapsed func(expires, now time.Time) bool
	}

	// Program is the simulated behaviour of an attempt.
	Program struct {
		// RunFor is the run time of the whole job.
		RunFor time.Duration
		// FailAfter, if positive, is the run time at which the attempt fails.
		FailAfter time.Duration
		// Result is the output of member 0.
		Result []byte
		// Detail is the reason of the failure.
		Detail string
	}

	// Entry is one entry of a Simulator's log. It records the actual change of
	// an attempt, whether or not a message reported it.
	Entry struct {
		At      time.Time
		Attempt Attempt
		Event   Event
		Members int
	}

	// Event is a change of the state of an attempt on a worker.
	Event string

	// allocation is the state of the members of an attempt on this worker.
	allocation struct {
		state        State
		members      int
		member       shape.Resources
		firstMember  int
		expires      time.Time // expiry of the reservation or lease
		started      time.Time
		baseProgress time.Duration // progress at shareSince
		shareSince   time.Time     // instant of the last change of share
		share        float64
		saved        time.Duration
		program      Program
		detail       string
	}
)

// Events in the log of a Simulator.
const (
	EventReserved Event = "reserved"
	EventStarted  Event = "started"
	EventDone     Event = "done"
	EventFailed   Event = "failed"
	EventStopped  Event = "stopped"
	EventLapsed   Event = "lapsed"
)

// endedRetention is how long an ended attempt is remembered. A start that is
// delayed for longer is refused because the attempt has no reservation.
const endedRetention = time.Hour

// NewSimulator returns an idle worker with all guards enabled.
func NewSimulator(s Spec) *Simulator {
	return &Simulator{
		Run: func(Start) Program { return Program{} },
		Guards: Guards{
			Epoch:  func(seen, got int64) bool { return got >= seen },
			Config: func(seen, got int64) bool { return got >= seen },
			// A negative age means that the uptime is from an earlier process
			// of this worker.
			Permit:    func(age time.Duration) bool { return age >= 0 && age <= MaxPermitAge },
			Ended:     func(_ Attempt, ended bool) bool { return ended },
			InService: func(inService bool) bool { return inService },
			Lapsed:    func(expires, now time.Time) bool { return !now.Before(expires) },
		},
		spec:          s,
		incarnation:   uuid.NewString(),
		processStart:  time.Now(),
		allocations:   make(map[Attempt]*allocation),
		endedAttempts: make(map[Attempt]time.Time),
	}
}

// Agent returns an Agent whose calls act on sim directly, without a network.
func (sim *Simulator) Agent() Agent {
	return Agent{
		Report:     func(context.Context) (Report, error) { return sim.Report(time.Now()), nil },
		Fence:      func(_ context.Context, f Fence) (Report, error) { return sim.Fence(f, time.Now()) },
		Heartbeat:  func(_ context.Context, b Heartbeat) (Report, error) { return sim.Heartbeat(b, time.Now()) },
		Reserve:    func(_ context.Context, r Reserve) error { return sim.Reserve(r, time.Now()) },
		Start:      func(_ context.Context, s Start) error { return sim.Start(s, time.Now()) },
		Renew:      func(_ context.Context, r Renew) error { return sim.Renew(r, time.Now()) },
		Checkpoint: func(_ context.Context, c Checkpoint) error { return sim.Checkpoint(c, time.Now()) },
		Throttle:   func(_ context.Context, t Throttle) error { return sim.Throttle(t, time.Now()) },
		Stop:       func(_ context.Context, s Stop) error { return sim.Stop(s, time.Now()) },
	}
}

// Spec returns the specification passed to NewSimulator.
func (sim *Simulator) Spec() Spec { return sim.spec }

// Report returns the state of the worker at now.
func (sim *Simulator) Report(now time.Time) Report {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.report(now)
}

func (sim *Simulator) report(now time.Time) Report {
	sim.advance(now)
	r := Report{
		Worker:        sim.spec.ID,
		Epoch:         sim.epoch,
		ConfigVersion: sim.configVersion,
		Uptime:        now.Sub(sim.processStart),
		Incarnation:   sim.incarnation,
		Changes:       sim.changes,
	}
	for a, al := range sim.allocations {
		r.Statuses = append(r.Statuses, al.status(a, now))
	}
	slices.SortFunc(r.Statuses, func(x, y Status) int { return compareAttempts(x.Attempt, y.Attempt) })
	return r
}

// Fence raises the accepted epoch and returns the state of the worker.
func (sim *Simulator) Fence(f Fence, now time.Time) (Report, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err := sim.acceptHeader(f.Header); err != nil {
		return Report{}, err
	}
	return sim.report(now), nil
}

// Heartbeat extends the leases of all running attempts if the sender's view of
// the worker is current. Otherwise it extends none and returns a full report.
func (sim *Simulator) Heartbeat(b Heartbeat, now time.Time) (Report, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err := sim.acceptHeader(b.Header); err != nil {
		return Report{}, err
	}
	sim.advance(now)
	if b.Incarnation != sim.incarnation || b.Changes != sim.changes {
		return sim.report(now), nil
	}
	for _, al := range sim.allocations {
		if al.state == Running {
			al.expires = now.Add(b.Lease)
		}
	}
	return Report{
		Worker: sim.spec.ID, Epoch: sim.epoch, ConfigVersion: sim.configVersion, Uptime: now.Sub(sim.processStart),
		Incarnation: sim.incarnation, Changes: sim.changes, Unchanged: true,
	}, nil
}

// Reserve reserves resources for the members of an attempt until r.Hold has
// passed. A repeated reservation of the same attempt restarts the hold.
func (sim *Simulator) Reserve(r Reserve, now time.Time) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err := sim.acceptHeader(r.Header); err != nil {
		return err
	}
	sim.advance(now)
	if _, ended := sim.endedAttempts[r.Attempt]; sim.Guards.Ended(r.Attempt, ended) {
		return refuse(ReasonAttemptEnded, "attempt %v has ended", r.Attempt)
	}
	if al, ok := sim.allocations[r.Attempt]; ok {
		if al.state != Reserved {
			return refuse(ReasonAttemptEnded, "attempt %v is %v", r.Attempt, al.state)
		}
		al.expires = now.Add(r.Hold)
		return nil
	}
	need := r.Member.Times(r.Members)
	if free := sim.free(); !need.Fits(free) {
		return refuse(ReasonCapacity, "requested %+v, available %+v", need, free)
	}
	sim.allocations[r.Attempt] = &allocation{
		state: Reserved, members: r.Members, member: r.Member, expires: now.Add(r.Hold),
	}
	sim.logChange(now, r.Attempt, EventReserved, r.Members)
	return nil
}

// Start starts the reserved members. A repeated start of a running attempt has
// no effect and returns nil.
func (sim *Simulator) Start(s Start, now time.Time) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err := sim.acceptHeader(s.Header); err != nil {
		return err
	}
	sim.advance(now)
	if err := sim.checkStart(s, now); err != nil {
		return err
	}
	al := sim.allocations[s.Attempt]
	if al.state == Running {
		return nil
	}
	al.state = Running
	al.firstMember = s.First
	al.started = now
	al.shareSince = now
	al.baseProgress = s.Saved
	al.saved = s.Saved
	al.share = 1
	al.program = sim.Run(s)
	sim.logChange(now, s.Attempt, EventStarted, al.members)
	return nil
}

// checkStart returns a refusal if the start must not be carried out.
func (sim *Simulator) checkStart(s Start, now time.Time) error {
	if s.Incarnation != sim.incarnation {
		return refuse(ReasonStalePermit, "start permit is from before a restart of the worker")
	}
	if age := now.Sub(sim.processStart) - s.Uptime; !sim.Guards.Permit(age) {
		return refuse(ReasonStalePermit, "start permit is %v old, outside the range from 0s to %v", age, MaxPermitAge)
	}
	if !sim.Guards.Config(sim.configVersion, s.ConfigVersion) {
		return refuse(ReasonStaleConfig, "configuration version %d is lower than %d, the highest seen", s.ConfigVersion, sim.configVersion)
	}
	if !sim.Guards.InService(s.InService) {
		return refuse(ReasonDomain, "domain %s is out of service", sim.spec.Domain)
	}
	if _, ended := sim.endedAttempts[s.Attempt]; sim.Guards.Ended(s.Attempt, ended) {
		return refuse(ReasonAttemptEnded, "attempt %v has ended", s.Attempt)
	}
	al, ok := sim.allocations[s.Attempt]
	if !ok {
		return refuse(ReasonUnknownAttempt, "attempt %v has no reservation", s.Attempt)
	}
	if !al.state.Holds() {
		return refuse(ReasonAttemptEnded, "attempt %v is %v", s.Attempt, al.state)
	}
	return nil
}

// Renew extends the leases of running attempts. Other attempts are ignored: the
// next report shows that they are not running.
func (sim *Simulator) Renew(r Renew, now time.Time) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err := sim.acceptHeader(r.Header); err != nil {
		return err
	}
	sim.advance(now)
	for _, a := range r.Attempts {
		if al, ok := sim.allocations[a]; ok && al.state == Running {
			al.expires = now.Add(r.Lease)
		}
	}
	return nil
}

// Checkpoint saves the progress of a running attempt.
func (sim *Simulator) Checkpoint(c Checkpoint, now time.Time) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err := sim.acceptHeader(c.Header); err != nil {
		return err
	}
	sim.advance(now)
	al, ok := sim.allocations[c.Attempt]
	if !ok || al.state != Running {
		return refuse(ReasonUnknownAttempt, "attempt %v is not running", c.Attempt)
	}
	al.saved = al.progress(now)
	sim.changes++
	return nil
}

// Throttle changes the share of processor time of a running attempt. Shares
// outside the range from 0 to 1 are clamped.
func (sim *Simulator) Throttle(th Throttle, now time.Time) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err := sim.acceptHeader(th.Header); err != nil {
		return err
	}
	sim.advance(now)
	al, ok := sim.allocations[th.Attempt]
	if !ok || al.state != Running {
		return refuse(ReasonUnknownAttempt, "attempt %v is not running", th.Attempt)
	}
	al.baseProgress = al.progress(now)
	al.shareSince = now
	al.share = min(max(th.Share, 0), 1)
	return nil
}

// Stop ends the attempts and removes them from later reports.
func (sim *Simulator) Stop(s Stop, now time.Time) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err := sim.acceptHeader(s.Header); err != nil {
		return err
	}
	sim.advance(now)
	for _, a := range s.Attempts {
		if al, ok := sim.allocations[a]; ok {
			if al.state.Holds() {
				sim.logChange(now, a, EventStopped, al.members)
			}
			delete(sim.allocations, a)
			sim.changes++
		}
		sim.endedAttempts[a] = now
	}
	return nil
}

// acceptHeader checks the epoch and adopts a higher epoch or configuration
// version.
func (sim *Simulator) acceptHeader(h Header) error {
	if !sim.Guards.Epoch(sim.epoch, h.Epoch) {
		return refuse(ReasonStaleEpoch, "epoch %d is lower than %d, the highest seen", h.Epoch, sim.epoch)
	}
	sim.epoch = max(sim.epoch, h.Epoch)
	sim.configVersion = max(sim.configVersion, h.ConfigVersion)
	return nil
}

// advance applies the program ends and the expiries of leases and reservations
// up to now.
func (sim *Simulator) advance(now time.Time) {
	var ends []Entry
	for a, al := range sim.allocations {
		if e, at := al.advance(now, sim.Guards.Lapsed(al.expires, now)); e != "" {
			ends = append(ends, Entry{At: at, Attempt: a, Event: e, Members: al.members})
			sim.endedAttempts[a] = at
		}
	}
	slices.SortFunc(ends, func(x, y Entry) int {
		return cmp.Or(x.At.Compare(y.At), compareAttempts(x.Attempt, y.Attempt))
	})
	for _, e := range ends {
		sim.logChange(e.At, e.Attempt, e.Event, e.Members)
	}
	for a, at := range sim.endedAttempts {
		if _, ok := sim.allocations[a]; !ok && now.Sub(at) > endedRetention {
			delete(sim.endedAttempts, a)
		}
	}
}

// free returns the resources that no attempt holds.
func (sim *Simulator) free() shape.Resources {
	free := sim.spec.Capacity
	for _, al := range sim.allocations {
		if al.state.Holds() {
			free = free.Sub(al.member.Times(al.members))
		}
	}
	return free
}

// logChange counts and logs a change of an attempt.
func (sim *Simulator) logChange(now time.Time, a Attempt, e Event, members int) {
	sim.changes++
	if sim.OnLog != nil {
		sim.OnLog(Entry{At: now, Attempt: a, Event: e, Members: members})
	}
}

// advance applies an end or expiry up to now. It returns the event, which is
// empty if there was none, and the instant at which it occurred. That instant
// may be long before now, because a Simulator advances its attempts only when
// it is called.
func (al *allocation) advance(now time.Time, lapsed bool) (Event, time.Time) {
	if !al.state.Holds() {
		return "", now
	}
	at := now
	if lapsed {
		at = al.expires
	}
	if al.state == Running {
		// Progress after the expiry of the lease does not count.
		p := al.progress(at)
		switch {
		case al.program.FailAfter > 0 && p >= al.program.FailAfter && al.program.FailAfter <= al.program.RunFor:
			at = al.timeAt(al.program.FailAfter)
			al.finish(at, Failed, al.program.Detail)
			return EventFailed, at
		case p >= al.program.RunFor:
			at = al.timeAt(al.program.RunFor)
			al.finish(at, Done, "")
			return EventDone, at
		}
	}
	if lapsed {
		al.finish(at, Lapsed, "lease or reservation expired without renewal")
		return EventLapsed, at
	}
	return "", now
}

// finish ends the attempt in state s at the given instant.
func (al *allocation) finish(at time.Time, s State, detail string) {
	al.baseProgress, al.shareSince = al.progress(at), at
	al.state, al.detail = s, detail
}

// timeAt returns the instant at which the running attempt reached progress p.
// The attempt must have reached p already.
func (al *allocation) timeAt(p time.Duration) time.Time {
	if al.share <= 0 || p <= al.baseProgress {
		return al.shareSince
	}
	return al.shareSince.Add(time.Duration(float64(p-al.baseProgress) / al.share))
}

// progress returns the useful run time up to now.
func (al *allocation) progress(now time.Time) time.Duration {
	if al.state != Running {
		return al.baseProgress
	}
	return al.baseProgress + time.Duration(float64(now.Sub(al.shareSince))*al.share)
}

func (al *allocation) status(a Attempt, now time.Time) Status {
	s := Status{
		Attempt: a, State: al.state, Members: al.members, Member: al.member,
		Progress: al.progress(now), Saved: al.saved, Detail: al.detail,
	}
	if al.state == Done && al.firstMember == 0 {
		s.Result = al.program.Result
	}
	return s
}

// refuse returns a RefusedError with a formatted detail.
func refuse(r Reason, format string, args ...any) error {
	return &RefusedError{Reason: r, Detail: fmt.Sprintf(format, args...)}
}

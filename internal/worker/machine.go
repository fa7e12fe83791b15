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
	// Machine is an in-memory worker. It keeps reservations and running
	// attempts under leases and simulates each attempt by a Program. It is safe
	// for concurrent use.
	Machine struct {
		// Run returns the simulated behaviour of an attempt. It is called when
		// the attempt starts and must not block.
		Run func(s Start) Program
		// Logged, if not nil, is called for each reservation, start and end of
		// an attempt, with the machine's lock held.
		Logged func(e Entry)
		// Guards are the acceptance rules. Tests replace single rules to verify
		// that a missing one is detected.
		Guards Guards

		spec         Spec
		boot         string
		processStart time.Time

		mu          sync.Mutex
		epoch       int64
		config      int64
		changes     int64
		allocations map[Attempt]*allocation
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

	// Entry is one entry of the machine's log. It records the actual change of
	// an attempt, whether or not a message reported it.
	Entry struct {
		At      time.Time
		Attempt Attempt
		Event   Event
		Members int
	}

	// Event is a change of the state of an attempt on a worker.
	Event string

	// allocation is the state of the members of an attempt on this machine.
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

// Events in a machine's log.
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

// NewMachine returns an idle machine with all guards enabled.
func NewMachine(s Spec) *Machine {
	return &Machine{
		Run: func(Start) Program { return Program{} },
		Guards: Guards{
			Epoch:  func(seen, got int64) bool { return got >= seen },
			Config: func(seen, got int64) bool { return got >= seen },
			// A negative age means that the tick is from an earlier process of
			// this worker.
			Permit:    func(age time.Duration) bool { return age >= 0 && age <= MaxPermitAge },
			Ended:     func(_ Attempt, ended bool) bool { return ended },
			InService: func(inService bool) bool { return inService },
			Lapsed:    func(expires, now time.Time) bool { return !now.Before(expires) },
		},
		spec:          s,
		boot:          uuid.NewString(),
		processStart:  time.Now(),
		allocations:   make(map[Attempt]*allocation),
		endedAttempts: make(map[Attempt]time.Time),
	}
}

// Agent returns an Agent whose calls act on m directly, without a network.
func (m *Machine) Agent() Agent {
	return Agent{
		Report:     func(context.Context) (Report, error) { return m.Report(time.Now()), nil },
		Fence:      func(_ context.Context, f Fence) (Report, error) { return m.Fence(f, time.Now()) },
		Heartbeat:  func(_ context.Context, b Heartbeat) (Report, error) { return m.Heartbeat(b, time.Now()) },
		Reserve:    func(_ context.Context, r Reserve) error { return m.Reserve(r, time.Now()) },
		Start:      func(_ context.Context, s Start) error { return m.Start(s, time.Now()) },
		Renew:      func(_ context.Context, r Renew) error { return m.Renew(r, time.Now()) },
		Checkpoint: func(_ context.Context, c Checkpoint) error { return m.Checkpoint(c, time.Now()) },
		Throttle:   func(_ context.Context, t Throttle) error { return m.Throttle(t, time.Now()) },
		Stop:       func(_ context.Context, s Stop) error { return m.Stop(s, time.Now()) },
	}
}

// Spec returns the specification passed to NewMachine.
func (m *Machine) Spec() Spec { return m.spec }

// Report returns the state of the machine at now.
func (m *Machine) Report(now time.Time) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report(now)
}

func (m *Machine) report(now time.Time) Report {
	m.advance(now)
	r := Report{
		Worker: m.spec.ID,
		Epoch:  m.epoch,
		Config: m.config,
		Tick:   now.Sub(m.processStart),
		Boot:   m.boot,

		Changes: m.changes,
	}
	for a, al := range m.allocations {
		r.Statuses = append(r.Statuses, al.status(a, now))
	}
	slices.SortFunc(r.Statuses, func(x, y Status) int { return compareAttempts(x.Attempt, y.Attempt) })
	return r
}

// Fence raises the accepted epoch and returns the state of the machine.
func (m *Machine) Fence(f Fence, now time.Time) (Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.acceptHeader(f.Header); err != nil {
		return Report{}, err
	}
	return m.report(now), nil
}

// Heartbeat extends the leases of all running attempts if the sender's view of
// the worker is current. Otherwise it extends none and returns a full report.
func (m *Machine) Heartbeat(b Heartbeat, now time.Time) (Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.acceptHeader(b.Header); err != nil {
		return Report{}, err
	}
	m.advance(now)
	if b.Boot != m.boot || b.Changes != m.changes {
		return m.report(now), nil
	}
	for _, al := range m.allocations {
		if al.state == Running {
			al.expires = now.Add(b.Lease)
		}
	}
	return Report{
		Worker: m.spec.ID, Epoch: m.epoch, Config: m.config, Tick: now.Sub(m.processStart), Boot: m.boot,
		Changes: m.changes, Unchanged: true,
	}, nil
}

// Reserve reserves resources for the members of an attempt until r.Hold has
// passed. A repeated reservation of the same attempt restarts the hold.
func (m *Machine) Reserve(r Reserve, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.acceptHeader(r.Header); err != nil {
		return err
	}
	m.advance(now)
	if _, ended := m.endedAttempts[r.Attempt]; m.Guards.Ended(r.Attempt, ended) {
		return refuse(ReasonAttemptEnded, "attempt %v has ended", r.Attempt)
	}
	if al, ok := m.allocations[r.Attempt]; ok {
		if al.state != Reserved {
			return refuse(ReasonAttemptEnded, "attempt %v is %v", r.Attempt, al.state)
		}
		al.expires = now.Add(r.Hold)
		return nil
	}
	need := r.Member.Times(r.Members)
	if free := m.free(); !need.Fits(free) {
		return refuse(ReasonCapacity, "requested %+v, available %+v", need, free)
	}
	m.allocations[r.Attempt] = &allocation{
		state: Reserved, members: r.Members, member: r.Member, expires: now.Add(r.Hold),
	}
	m.logChange(now, r.Attempt, EventReserved, r.Members)
	return nil
}

// Start starts the reserved members. A repeated start of a running attempt has
// no effect and returns nil.
func (m *Machine) Start(s Start, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.acceptHeader(s.Header); err != nil {
		return err
	}
	m.advance(now)
	if err := m.checkStart(s, now); err != nil {
		return err
	}
	al := m.allocations[s.Attempt]
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
	al.program = m.Run(s)
	m.logChange(now, s.Attempt, EventStarted, al.members)
	return nil
}

// checkStart returns a refusal if the start must not be carried out.
func (m *Machine) checkStart(s Start, now time.Time) error {
	if s.Boot != m.boot {
		return refuse(ReasonPermit, "start permit is from before a restart of the worker")
	}
	if age := now.Sub(m.processStart) - s.Tick; !m.Guards.Permit(age) {
		return refuse(ReasonPermit, "start permit is %v old, outside the range from 0s to %v", age, MaxPermitAge)
	}
	if !m.Guards.Config(m.config, s.Config) {
		return refuse(ReasonConfig, "configuration version %d is lower than %d, the highest seen", s.Config, m.config)
	}
	if !m.Guards.InService(s.InService) {
		return refuse(ReasonDomain, "domain %s is out of service", m.spec.Domain)
	}
	if _, ended := m.endedAttempts[s.Attempt]; m.Guards.Ended(s.Attempt, ended) {
		return refuse(ReasonAttemptEnded, "attempt %v has ended", s.Attempt)
	}
	al, ok := m.allocations[s.Attempt]
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
func (m *Machine) Renew(r Renew, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.acceptHeader(r.Header); err != nil {
		return err
	}
	m.advance(now)
	for _, a := range r.Attempts {
		if al, ok := m.allocations[a]; ok && al.state == Running {
			al.expires = now.Add(r.Lease)
		}
	}
	return nil
}

// Checkpoint saves the progress of a running attempt.
func (m *Machine) Checkpoint(c Checkpoint, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.acceptHeader(c.Header); err != nil {
		return err
	}
	m.advance(now)
	al, ok := m.allocations[c.Attempt]
	if !ok || al.state != Running {
		return refuse(ReasonUnknownAttempt, "attempt %v is not running", c.Attempt)
	}
	al.saved = al.progress(now)
	m.changes++
	return nil
}

// Throttle changes the share of processor time of a running attempt. Shares
// outside the range from 0 to 1 are clamped.
func (m *Machine) Throttle(th Throttle, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.acceptHeader(th.Header); err != nil {
		return err
	}
	m.advance(now)
	al, ok := m.allocations[th.Attempt]
	if !ok || al.state != Running {
		return refuse(ReasonUnknownAttempt, "attempt %v is not running", th.Attempt)
	}
	al.baseProgress = al.progress(now)
	al.shareSince = now
	al.share = min(max(th.Share, 0), 1)
	return nil
}

// Stop ends the attempts and removes them from later reports.
func (m *Machine) Stop(s Stop, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.acceptHeader(s.Header); err != nil {
		return err
	}
	m.advance(now)
	for _, a := range s.Attempts {
		if al, ok := m.allocations[a]; ok {
			if al.state.Holds() {
				m.logChange(now, a, EventStopped, al.members)
			}
			delete(m.allocations, a)
			m.changes++
		}
		m.endedAttempts[a] = now
	}
	return nil
}

// acceptHeader checks the epoch and adopts a higher epoch or configuration
// version.
func (m *Machine) acceptHeader(h Header) error {
	if !m.Guards.Epoch(m.epoch, h.Epoch) {
		return refuse(ReasonEpoch, "epoch %d is lower than %d, the highest seen", h.Epoch, m.epoch)
	}
	m.epoch = max(m.epoch, h.Epoch)
	m.config = max(m.config, h.Config)
	return nil
}

// advance applies the program ends and the expiries of leases and reservations
// up to now.
func (m *Machine) advance(now time.Time) {
	var ends []Entry
	for a, al := range m.allocations {
		if e, at := al.advance(now, m.Guards.Lapsed(al.expires, now)); e != "" {
			ends = append(ends, Entry{At: at, Attempt: a, Event: e, Members: al.members})
			m.endedAttempts[a] = at
		}
	}
	slices.SortFunc(ends, func(x, y Entry) int {
		return cmp.Or(x.At.Compare(y.At), compareAttempts(x.Attempt, y.Attempt))
	})
	for _, e := range ends {
		m.logChange(e.At, e.Attempt, e.Event, e.Members)
	}
	for a, at := range m.endedAttempts {
		if _, ok := m.allocations[a]; !ok && now.Sub(at) > endedRetention {
			delete(m.endedAttempts, a)
		}
	}
}

// free returns the resources that no attempt holds.
func (m *Machine) free() shape.Resources {
	free := m.spec.Capacity
	for _, al := range m.allocations {
		if al.state.Holds() {
			free = free.Sub(al.member.Times(al.members))
		}
	}
	return free
}

// logChange counts and logs a change of an attempt.
func (m *Machine) logChange(now time.Time, a Attempt, e Event, members int) {
	m.changes++
	if m.Logged != nil {
		m.Logged(Entry{At: now, Attempt: a, Event: e, Members: members})
	}
}

// advance applies an end or expiry up to now. It returns the event, which is
// empty if there was none, and the instant at which it occurred. That instant
// may be long before now, because a machine advances its attempts only when it
// is called.
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

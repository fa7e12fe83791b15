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
	// Machine is the worker's side: reservations and tasks under leases. It is
	// safe for concurrent use.
	Machine struct {
		// Run tells how a started attempt behaves. It is called at the start
		// with the payload and must not block.
		Run func(s Start) Program
		// Logged, if not nil, is called for each start and each end of
		// an attempt, under the machine's lock.
		Logged func(e Entry)
		// Guards hold the acceptance rules. Tests replace one to show that
		// its absence is noticed.
		Guards Guards

		spec  Spec
		boot  string
		begin time.Time

		mu       sync.Mutex
		epoch    int64
		config   int64
		changes  int64
		attempts map[Attempt]*attempt
		// ended keeps attempts that must not start any more.
		ended map[Attempt]time.Time
	}

	// Guards are the rules by which a worker refuses a message.
	Guards struct {
		// Epoch reports whether a message of epoch got is accepted.
		Epoch func(seen, got int64) bool
		// Config reports whether a start under configuration got is accepted.
		Config func(seen, got int64) bool
		// Permit reports whether a proof of the given age is accepted.
		Permit func(age time.Duration) bool
		// Ended reports whether a start of an ended attempt is refused.
		Ended func(a Attempt, ended bool) bool
		// InService reports whether a start is accepted when the domain's
		// state in the sender's configuration is in.
		InService func(in bool) bool
		// Lapsed reports whether a lease or reservation until the given
		// instant has ended at now.
		Lapsed func(until, now time.Time) bool
	}

	// Program is the behaviour of an attempt.
	Program struct {
		// RunFor is the run time of the whole job.
		RunFor time.Duration
		// FailAfter, if positive, is the run time at which it fails.
		FailAfter time.Duration
		Result    []byte
		Detail    string
	}

	// Entry is one line of the machine's log, written from what happened and
	// independent of any message.
	Entry struct {
		At      time.Time
		Attempt Attempt
		Event   Event
		Members int
	}

	// Event is a change in the life of an attempt on a worker.
	Event string

	attempt struct {
		state   State
		members int
		member  shape.Resources
		first   int
		until   time.Time // end of the reservation or lease
		started time.Time
		base    time.Duration // progress at the last change of share
		since   time.Time     // instant of the last change of share
		share   float64
		saved   time.Duration
		program Program
		detail  string
	}
)

// The events of a machine's log.
const (
	EventReserved Event = "reserved"
	EventStarted  Event = "started"
	EventDone     Event = "done"
	EventFailed   Event = "failed"
	EventStopped  Event = "stopped"
	EventLapsed   Event = "lapsed"
)

// endedKept is the time for which an ended attempt is remembered. A start that
// is delayed for longer is refused because its reservation is unknown.
const endedKept = time.Hour

// NewMachine returns an idle machine with all guards on.
func NewMachine(s Spec) *Machine {
	return &Machine{
		Run: func(Start) Program { return Program{} },
		Guards: Guards{
			Epoch:  func(seen, got int64) bool { return got >= seen },
			Config: func(seen, got int64) bool { return got >= seen },
			// A negative age is a tick of an earlier process of this worker.
			Permit:    func(age time.Duration) bool { return age >= 0 && age <= MaxPermitAge },
			Ended:     func(_ Attempt, ended bool) bool { return ended },
			InService: func(in bool) bool { return in },
			Lapsed:    func(until, now time.Time) bool { return !now.Before(until) },
		},
		spec:     s,
		boot:     uuid.NewString(),
		begin:    time.Now(),
		attempts: make(map[Attempt]*attempt),
		ended:    make(map[Attempt]time.Time),
	}
}

// Agent returns calls that act on m directly.
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

// Spec returns what the machine was made with.
func (m *Machine) Spec() Spec { return m.spec }

// Report returns the state at now.
func (m *Machine) Report(now time.Time) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report(now)
}

func (m *Machine) report(now time.Time) Report {
	m.settle(now)
	r := Report{
		Worker: m.spec.ID,
		Epoch:  m.epoch,
		Config: m.config,
		Tick:   now.Sub(m.begin),
		Boot:   m.boot,

		Changes: m.changes,
	}
	for a, t := range m.attempts {
		r.Statuses = append(r.Statuses, t.status(a, now))
	}
	slices.SortFunc(r.Statuses, func(x, y Status) int { return compareAttempts(x.Attempt, y.Attempt) })
	return r
}

// Fence raises the epoch and returns the state.
func (m *Machine) Fence(f Fence, now time.Time) (Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(f.Header); err != nil {
		return Report{}, err
	}
	return m.report(now), nil
}

// Heartbeat extends the leases of all running attempts if the worker is as the
// sender knows it, and otherwise returns the state without extending any.
func (m *Machine) Heartbeat(b Heartbeat, now time.Time) (Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(b.Header); err != nil {
		return Report{}, err
	}
	m.settle(now)
	if b.Boot != m.boot || b.Changes != m.changes {
		return m.report(now), nil
	}
	for _, t := range m.attempts {
		if t.state == Running {
			t.until = now.Add(b.Lease)
		}
	}
	return Report{
		Worker: m.spec.ID, Epoch: m.epoch, Config: m.config, Tick: now.Sub(m.begin), Boot: m.boot,
		Changes: m.changes, Unchanged: true,
	}, nil
}

// Reserve keeps room for the members of an attempt until r.Hold has passed.
// A repeated reservation of the same attempt renews the hold.
func (m *Machine) Reserve(r Reserve, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(r.Header); err != nil {
		return err
	}
	m.settle(now)
	if _, was := m.ended[r.Attempt]; m.Guards.Ended(r.Attempt, was) {
		return refuse(ReasonAttempt, "attempt %v has ended", r.Attempt)
	}
	if t, ok := m.attempts[r.Attempt]; ok {
		if t.state != Reserved {
			return refuse(ReasonAttempt, "attempt %v is %v", r.Attempt, t.state)
		}
		t.until = now.Add(r.Hold)
		return nil
	}
	need := r.Member.Times(r.Members)
	if free := m.free(); !need.Fits(free) {
		return refuse(ReasonCapacity, "need %+v, free %+v", need, free)
	}
	m.attempts[r.Attempt] = &attempt{
		state: Reserved, members: r.Members, member: r.Member, until: now.Add(r.Hold),
	}
	m.log(now, r.Attempt, EventReserved, r.Members)
	return nil
}

// Start starts the reserved members. A repeated start of a running attempt has
// no effect and no error.
func (m *Machine) Start(s Start, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(s.Header); err != nil {
		return err
	}
	m.settle(now)
	if err := m.admitStart(s, now); err != nil {
		return err
	}
	t := m.attempts[s.Attempt]
	if t.state == Running {
		return nil
	}
	t.state = Running
	t.first = s.First
	t.started = now
	t.since = now
	t.base = s.Saved
	t.saved = s.Saved
	t.share = 1
	t.program = m.Run(s)
	m.log(now, s.Attempt, EventStarted, t.members)
	return nil
}

func (m *Machine) admitStart(s Start, now time.Time) error {
	if s.Boot != m.boot {
		return refuse(ReasonPermit, "proof of service is from before a restart of the worker")
	}
	if age := now.Sub(m.begin) - s.Tick; !m.Guards.Permit(age) {
		return refuse(ReasonPermit, "proof of service is %v old, allowed are 0s to %v", age, MaxPermitAge)
	}
	if !m.Guards.Config(m.config, s.Config) {
		return refuse(ReasonConfig, "configuration %d, seen %d", s.Config, m.config)
	}
	if !m.Guards.InService(s.InService) {
		return refuse(ReasonDomain, "domain %s is out of service", m.spec.Domain)
	}
	if _, was := m.ended[s.Attempt]; m.Guards.Ended(s.Attempt, was) {
		return refuse(ReasonAttempt, "attempt %v has ended", s.Attempt)
	}
	t, ok := m.attempts[s.Attempt]
	if !ok {
		return refuse(ReasonUnknown, "attempt %v has no reservation", s.Attempt)
	}
	if !t.state.Holds() {
		return refuse(ReasonAttempt, "attempt %v is %v", s.Attempt, t.state)
	}
	return nil
}

// Renew extends the leases of running attempts. Unknown attempts are ignored:
// the next report shows that they are gone.
func (m *Machine) Renew(r Renew, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(r.Header); err != nil {
		return err
	}
	m.settle(now)
	for _, a := range r.Attempts {
		if t, ok := m.attempts[a]; ok && t.state == Running {
			t.until = now.Add(r.Lease)
		}
	}
	return nil
}

// Checkpoint saves the progress of an attempt.
func (m *Machine) Checkpoint(c Checkpoint, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(c.Header); err != nil {
		return err
	}
	m.settle(now)
	t, ok := m.attempts[c.Attempt]
	if !ok || t.state != Running {
		return refuse(ReasonUnknown, "attempt %v does not run", c.Attempt)
	}
	t.saved = t.progress(now)
	m.changes++
	return nil
}

// Throttle changes the share of processor time of an attempt.
func (m *Machine) Throttle(th Throttle, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(th.Header); err != nil {
		return err
	}
	m.settle(now)
	t, ok := m.attempts[th.Attempt]
	if !ok || t.state != Running {
		return refuse(ReasonUnknown, "attempt %v does not run", th.Attempt)
	}
	t.base = t.progress(now)
	t.since = now
	t.share = min(max(th.Share, 0), 1)
	return nil
}

// Stop ends and forgets the attempts.
func (m *Machine) Stop(s Stop, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(s.Header); err != nil {
		return err
	}
	m.settle(now)
	for _, a := range s.Attempts {
		if t, ok := m.attempts[a]; ok {
			if t.state.Holds() {
				m.log(now, a, EventStopped, t.members)
			}
			delete(m.attempts, a)
			m.changes++
		}
		m.ended[a] = now
	}
	return nil
}

// admit checks the epoch and takes over higher epochs and configurations.
func (m *Machine) admit(h Header) error {
	if !m.Guards.Epoch(m.epoch, h.Epoch) {
		return refuse(ReasonEpoch, "epoch %d, seen %d", h.Epoch, m.epoch)
	}
	m.epoch = max(m.epoch, h.Epoch)
	m.config = max(m.config, h.Config)
	return nil
}

// settle brings the attempts up to now: ends of programs, leases and holds.
func (m *Machine) settle(now time.Time) {
	var ends []Entry
	for a, t := range m.attempts {
		if e, at := t.settle(now, m.Guards.Lapsed(t.until, now)); e != "" {
			ends = append(ends, Entry{At: at, Attempt: a, Event: e, Members: t.members})
			m.ended[a] = at
		}
	}
	slices.SortFunc(ends, func(x, y Entry) int {
		return cmp.Or(x.At.Compare(y.At), compareAttempts(x.Attempt, y.Attempt))
	})
	for _, e := range ends {
		m.log(e.At, e.Attempt, e.Event, e.Members)
	}
	for a, at := range m.ended {
		if _, ok := m.attempts[a]; !ok && now.Sub(at) > endedKept {
			delete(m.ended, a)
		}
	}
}

func (m *Machine) free() shape.Resources {
	free := m.spec.Capacity
	for _, t := range m.attempts {
		if t.state.Holds() {
			free = free.Sub(t.member.Times(t.members))
		}
	}
	return free
}

// log counts and logs a change of an attempt.
func (m *Machine) log(now time.Time, a Attempt, e Event, members int) {
	m.changes++
	if m.Logged != nil {
		m.Logged(Entry{At: now, Attempt: a, Event: e, Members: members})
	}
}

// settle brings the state up to now. It returns the event if there was one and
// the instant at which it occurred, which may be long before now: a machine
// looks at its attempts only when it is called.
func (t *attempt) settle(now time.Time, lapsed bool) (Event, time.Time) {
	if !t.state.Holds() {
		return "", now
	}
	at := now
	if lapsed {
		at = t.until
	}
	if t.state == Running {
		// What a task would have done after the end of its lease does not count.
		p := t.progress(at)
		switch {
		case t.program.FailAfter > 0 && p >= t.program.FailAfter && t.program.FailAfter <= t.program.RunFor:
			at = t.reached(t.program.FailAfter)
			t.freeze(at, Failed, t.program.Detail)
			return EventFailed, at
		case p >= t.program.RunFor:
			at = t.reached(t.program.RunFor)
			t.freeze(at, Done, "")
			return EventDone, at
		}
	}
	if lapsed {
		t.freeze(at, Lapsed, "lease ended without a renewal")
		return EventLapsed, at
	}
	return "", now
}

// freeze ends the attempt at the given instant.
func (t *attempt) freeze(at time.Time, s State, detail string) {
	t.base, t.since = t.progress(at), at
	t.state, t.detail = s, detail
}

// reached returns the instant at which the running attempt reaches p, which it
// has done already.
func (t *attempt) reached(p time.Duration) time.Time {
	if t.share <= 0 || p <= t.base {
		return t.since
	}
	return t.since.Add(time.Duration(float64(p-t.base) / t.share))
}

func (t *attempt) progress(now time.Time) time.Duration {
	if t.state != Running {
		return t.base
	}
	return t.base + time.Duration(float64(now.Sub(t.since))*t.share)
}

func (t *attempt) status(a Attempt, now time.Time) Status {
	s := Status{
		Attempt: a, State: t.state, Members: t.members, Member: t.member,
		Progress: t.progress(now), Saved: t.saved, Detail: t.detail,
	}
	if t.state == Done && t.first == 0 {
		s.Result = t.program.Result
	}
	return s
}

func refuse(r Reason, format string, args ...any) error {
	return &RefusedError{Reason: r, Detail: fmt.Sprintf(format, args...)}
}

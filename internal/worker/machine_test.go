package worker

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/shape"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// script drives a machine through messages and records what it accepts.
type script struct {
	m   *Machine
	out strings.Builder
	// boot replaces the machine's boot identifier in starts if it is set.
	boot string
}

var (
	first  = Attempt{Workspace: "foundry-a", Job: "proofs", Number: 1}
	second = Attempt{Workspace: "foundry-a", Job: "proofs", Number: 2}
)

func (s *script) note(what string, err error) {
	result := "accepted"
	if err != nil {
		result = err.Error()
	}
	fmt.Fprintf(&s.out, "%6v %s: %s\n", time.Since(s.m.begin), what, result)
}

func (s *script) wait(d time.Duration) { <-time.After(d) }

func (s *script) reserve(a Attempt, epoch int64, members int) {
	s.note(fmt.Sprintf("reserve %v epoch %d members %d", a, epoch, members), s.m.Reserve(Reserve{
		Header: Header{Epoch: epoch}, Attempt: a, Members: members,
		Member: shape.Resources{Accelerators: 4}, Hold: 10 * time.Second,
	}, time.Now()))
}

// tick returns the tick of a report received now.
func (s *script) tick() time.Duration { return s.m.Report(time.Now()).Tick }

func (s *script) start(a Attempt, h Header, tick time.Duration, inService bool) {
	s.note(fmt.Sprintf("start %v epoch %d configuration %d tick %v", a, h.Epoch, h.Config, tick), s.m.Start(Start{
		Header: h, Attempt: a, Tick: tick, Boot: cmp.Or(s.boot, s.m.boot), InService: inService,
	}, time.Now()))
}

func (s *script) heartbeat(known Report, lease time.Duration) {
	r, err := s.m.Heartbeat(Heartbeat{Boot: known.Boot, Changes: known.Changes, Header: Header{Epoch: 1}, Lease: lease}, time.Now())
	s.note(fmt.Sprintf("heartbeat lease %v unchanged %v statuses %d", lease, r.Unchanged, len(r.Statuses)), err)
}

func (s *script) renew(a Attempt, lease time.Duration) {
	s.note(fmt.Sprintf("renew %v lease %v", a, lease), s.m.Renew(Renew{
		Header: Header{Epoch: 1}, Attempts: []Attempt{a}, Lease: lease,
	}, time.Now()))
}

func (s *script) stop(a Attempt) {
	s.note(fmt.Sprintf("stop %v", a), s.m.Stop(Stop{Header: Header{Epoch: 1}, Attempts: []Attempt{a}}, time.Now()))
}

func (s *script) report() {
	r := s.m.Report(time.Now())
	for _, t := range r.Statuses {
		s.note(fmt.Sprintf("report %v", t.Attempt), fmt.Errorf("%v, progress %v", t.State, t.Progress))
	}
}

var guardCases = []struct {
	name   string
	guards string // the failure that the case guards against
	do     func(s *script)
}{
	{"staleEpoch", "an owner that lost its lease places work", func(s *script) {
		_, err := s.m.Fence(Fence{Header{Epoch: 2}}, time.Now())
		s.note("fence epoch 2", err)
		s.reserve(first, 1, 1)
		s.reserve(first, 2, 1)
		s.start(first, Header{Epoch: 1}, s.tick(), true)
		s.start(first, Header{Epoch: 2}, s.tick(), true)
	}},
	{"staleTick", "an owner that was paused starts work from an old reading of the configuration", func(s *script) {
		s.wait(time.Second)
		tick := s.tick()
		s.reserve(first, 1, 1)
		s.wait(MaxPermitAge + time.Millisecond)
		s.start(first, Header{Epoch: 1}, tick, true)
		s.start(first, Header{Epoch: 1}, s.tick()-MaxPermitAge, true)
	}},
	{"earlierProcess", "a tick of the worker's earlier process passes for a fresh one", func(s *script) {
		s.reserve(first, 1, 1)
		s.start(first, Header{Epoch: 1}, time.Hour, true)
	}},
	{"earlierBoot", "a tick of an earlier process that lies in the present one's past passes", func(s *script) {
		s.wait(10 * time.Second)
		s.reserve(first, 1, 1)
		s.boot = "earlier"
		s.start(first, Header{Epoch: 1}, s.tick(), true)
	}},
	{"heartbeat", "a renewal of the whole worker extends tasks that its sender does not know", func(s *script) {
		s.reserve(first, 1, 1)
		s.start(first, Header{Epoch: 1}, s.tick(), true)
		known := s.m.Report(time.Now())
		s.heartbeat(known, time.Minute)
		s.reserve(second, 1, 1)
		s.wait(5 * time.Second)
		s.heartbeat(known, time.Hour)
		s.wait(time.Minute)
		s.heartbeat(known, time.Hour)
	}},
	{"domainOut", "work starts in a domain that was taken out of service", func(s *script) {
		s.reserve(first, 1, 1)
		s.start(first, Header{Epoch: 1, Config: 5}, s.tick(), false)
		s.start(first, Header{Epoch: 1, Config: 4}, s.tick(), true)
		s.start(first, Header{Epoch: 1, Config: 6}, s.tick(), true)
	}},
	{"lateStart", "a delayed start brings back an attempt that was stopped", func(s *script) {
		s.reserve(first, 1, 1)
		s.stop(first)
		s.start(first, Header{Epoch: 1}, s.tick(), true)
		s.reserve(first, 1, 1)
		s.reserve(second, 1, 1)
		s.start(second, Header{Epoch: 1}, s.tick(), true)
	}},
	{"reservationExpires", "an owner that crashed before its starts holds room for ever", func(s *script) {
		s.reserve(first, 1, 2)
		s.reserve(second, 1, 1)
		s.wait(10 * time.Second)
		s.start(first, Header{Epoch: 1}, s.tick(), true)
		s.reserve(second, 1, 2)
	}},
	{"firstLeaseExpires", "a member runs on alone when the start of another was lost", func(s *script) {
		s.reserve(first, 1, 2)
		s.wait(4 * time.Second)
		s.start(first, Header{Epoch: 1}, s.tick(), true)
		s.wait(6*time.Second - time.Millisecond)
		s.report()
		s.wait(time.Millisecond)
		s.report()
		s.reserve(second, 1, 2)
	}},
	{"renewalInTime", "a gang whose members all run is ended with its first lease", func(s *script) {
		s.reserve(first, 1, 2)
		s.start(first, Header{Epoch: 1}, s.tick(), true)
		s.renew(first, 30*time.Second)
		s.wait(30*time.Second - time.Millisecond)
		s.report()
		s.wait(time.Millisecond)
		s.renew(first, 30*time.Second)
		s.report()
	}},
	{"endAfterLease", "a task counts as done because nobody asked while its lease ended", func(s *script) {
		s.m.Run = func(Start) Program { return Program{RunFor: 15 * time.Second} }
		s.reserve(first, 1, 1)
		s.start(first, Header{Epoch: 1}, s.tick(), true)
		s.wait(20 * time.Second)
		s.report()
	}},
	{"endBeforeLease", "a task that was done in time is lost because nobody asked", func(s *script) {
		s.m.Run = func(Start) Program { return Program{RunFor: 9 * time.Second} }
		s.reserve(first, 1, 1)
		s.start(first, Header{Epoch: 1}, s.tick(), true)
		s.wait(20 * time.Second)
		s.report()
	}},
}

// run plays a case on a machine with the changed guards.
func run(t *testing.T, do func(*script), change func(*Guards)) string {
	var out string
	synctest.Test(t, func(*testing.T) {
		s := &script{m: NewMachine(Spec{ID: "w1", Domain: "ub1", Capacity: shape.Resources{Accelerators: 8}})}
		s.m.Run = func(Start) Program { return Program{RunFor: time.Hour} }
		change(&s.m.Guards)
		begin := s.m.begin
		s.m.Logged = func(e Entry) {
			fmt.Fprintf(&s.out, "%6v log: %v %s\n", e.At.Sub(begin), e.Attempt, e.Event)
		}
		do(s)
		out = s.out.String()
	})
	return out
}

func TestMachineGuards(t *testing.T) {
	for _, c := range guardCases {
		t.Run(c.name, func(t *testing.T) {
			out := run(t, c.do, func(*Guards) {})
			golden.Assert(t, "guards against: "+c.guards+"\n"+out, c.name+".golden")
		})
	}
}

// TestMachineGuardsNoticed guards against a case above that passes without the
// guard that it is about.
func TestMachineGuardsNoticed(t *testing.T) {
	off := map[string]func(*Guards){
		"staleEpoch":     func(g *Guards) { g.Epoch = func(int64, int64) bool { return true } },
		"domainOut":      func(g *Guards) { g.Config = func(int64, int64) bool { return true } },
		"staleTick":      func(g *Guards) { g.Permit = func(time.Duration) bool { return true } },
		"earlierProcess": func(g *Guards) { g.Permit = func(age time.Duration) bool { return age <= MaxPermitAge } },
		"lateStart":      func(g *Guards) { g.Ended = func(Attempt, bool) bool { return false } },
	}
	for _, c := range guardCases {
		if change, ok := off[c.name]; ok {
			assert.Assert(t, run(t, c.do, change) != run(t, c.do, func(*Guards) {}), c.name)
		}
	}
}

// TestMachineRepeats guards against a repeated message, sent because the first
// answer was lost, having a second effect.
func TestMachineRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMachine(Spec{ID: "w1", Domain: "ub1", Capacity: shape.Resources{Accelerators: 8}})
		m.Run = func(Start) Program { return Program{RunFor: time.Hour} }
		var starts int
		m.Logged = func(e Entry) {
			if e.Event == EventStarted {
				starts++
			}
		}
		r := Reserve{Attempt: first, Members: 2, Member: shape.Resources{Accelerators: 4}, Hold: 10 * time.Second}
		for range 2 {
			assert.NilError(t, m.Reserve(r, time.Now()))
		}
		for range 2 {
			assert.NilError(t, m.Start(Start{Attempt: first, Boot: m.boot, InService: true}, time.Now()))
		}
		assert.Equal(t, starts, 1)
	})
}

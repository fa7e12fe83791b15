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

// scenario sends messages to a Simulator and records the answers and the log.
type scenario struct {
	sim *Simulator
	log strings.Builder
	// incarnation, if not empty, replaces the incarnation of the worker in
	// starts.
	incarnation string
}

var (
	firstAttempt  = Attempt{Workspace: "foundry-a", Job: "proofs", Number: 1}
	secondAttempt = Attempt{Workspace: "foundry-a", Job: "proofs", Number: 2}
)

func (s *scenario) record(call string, err error) {
	result := "accepted"
	if err != nil {
		result = err.Error()
	}
	fmt.Fprintf(&s.log, "%6v %s: %s\n", time.Since(s.sim.processStart), call, result)
}

func (s *scenario) wait(d time.Duration) { <-time.After(d) }

func (s *scenario) reserve(a Attempt, epoch int64, members int) {
	s.record(fmt.Sprintf("reserve %v epoch %d members %d", a, epoch, members), s.sim.Reserve(Reserve{
		Header: Header{Epoch: epoch}, Attempt: a, Members: members,
		Member: shape.Resources{Accelerators: 4}, Hold: 10 * time.Second,
	}, time.Now()))
}

// uptime returns the uptime in a report made now.
func (s *scenario) uptime() time.Duration { return s.sim.Report(time.Now()).Uptime }

func (s *scenario) start(a Attempt, h Header, uptime time.Duration, inService bool) {
	s.record(fmt.Sprintf("start %v epoch %d configuration %d uptime %v", a, h.Epoch, h.ConfigVersion, uptime), s.sim.Start(Start{
		Header: h, Attempt: a, Uptime: uptime, Incarnation: cmp.Or(s.incarnation, s.sim.incarnation), InService: inService,
	}, time.Now()))
}

func (s *scenario) heartbeat(view Report, lease time.Duration) {
	r, err := s.sim.Heartbeat(Heartbeat{Incarnation: view.Incarnation, Changes: view.Changes, Header: Header{Epoch: 1}, Lease: lease}, time.Now())
	s.record(fmt.Sprintf("heartbeat lease %v unchanged %v statuses %d", lease, r.Unchanged, len(r.Statuses)), err)
}

func (s *scenario) renew(a Attempt, lease time.Duration) {
	s.record(fmt.Sprintf("renew %v lease %v", a, lease), s.sim.Renew(Renew{
		Header: Header{Epoch: 1}, Attempts: []Attempt{a}, Lease: lease,
	}, time.Now()))
}

func (s *scenario) stop(a Attempt) {
	s.record(fmt.Sprintf("stop %v", a), s.sim.Stop(Stop{Header: Header{Epoch: 1}, Attempts: []Attempt{a}}, time.Now()))
}

func (s *scenario) report() {
	r := s.sim.Report(time.Now())
	for _, t := range r.Statuses {
		s.record(fmt.Sprintf("report %v", t.Attempt), fmt.Errorf("%v, progress %v", t.State, t.Progress))
	}
}

var guardCases = []struct {
	name    string
	failure string // failure that the case guards against
	steps   func(s *scenario)
}{
	{"staleEpoch", "an owner that lost its lease reserves or starts attempts", func(s *scenario) {
		_, err := s.sim.Fence(Fence{Header{Epoch: 2}}, time.Now())
		s.record("fence epoch 2", err)
		s.reserve(firstAttempt, 1, 1)
		s.reserve(firstAttempt, 2, 1)
		s.start(firstAttempt, Header{Epoch: 1}, s.uptime(), true)
		s.start(firstAttempt, Header{Epoch: 2}, s.uptime(), true)
	}},
	{"stalePermit", "an owner that was paused starts an attempt with an outdated configuration", func(s *scenario) {
		s.wait(time.Second)
		uptime := s.uptime()
		s.reserve(firstAttempt, 1, 1)
		s.wait(MaxPermitAge + time.Millisecond)
		s.start(firstAttempt, Header{Epoch: 1}, uptime, true)
		s.start(firstAttempt, Header{Epoch: 1}, s.uptime()-MaxPermitAge, true)
	}},
	{"earlierProcess", "a start permit of an earlier worker process whose uptime is above the present one is accepted", func(s *scenario) {
		s.reserve(firstAttempt, 1, 1)
		s.start(firstAttempt, Header{Epoch: 1}, time.Hour, true)
	}},
	{"earlierIncarnation", "a start permit of an earlier worker process whose uptime matches a recent one is accepted", func(s *scenario) {
		s.wait(10 * time.Second)
		s.reserve(firstAttempt, 1, 1)
		s.incarnation = "earlier"
		s.start(firstAttempt, Header{Epoch: 1}, s.uptime(), true)
	}},
	{"heartbeat", "a heartbeat extends the leases of attempts that its sender does not know", func(s *scenario) {
		s.reserve(firstAttempt, 1, 1)
		s.start(firstAttempt, Header{Epoch: 1}, s.uptime(), true)
		view := s.sim.Report(time.Now())
		s.heartbeat(view, time.Minute)
		s.reserve(secondAttempt, 1, 1)
		s.wait(5 * time.Second)
		s.heartbeat(view, time.Hour)
		s.wait(time.Minute)
		s.heartbeat(view, time.Hour)
	}},
	{"domainOut", "an attempt starts in a domain that was taken out of service", func(s *scenario) {
		s.reserve(firstAttempt, 1, 1)
		s.start(firstAttempt, Header{Epoch: 1, ConfigVersion: 5}, s.uptime(), false)
		s.start(firstAttempt, Header{Epoch: 1, ConfigVersion: 4}, s.uptime(), true)
		s.start(firstAttempt, Header{Epoch: 1, ConfigVersion: 6}, s.uptime(), true)
	}},
	{"lateStart", "a delayed start restarts an attempt that was stopped", func(s *scenario) {
		s.reserve(firstAttempt, 1, 1)
		s.stop(firstAttempt)
		s.start(firstAttempt, Header{Epoch: 1}, s.uptime(), true)
		s.reserve(firstAttempt, 1, 1)
		s.reserve(secondAttempt, 1, 1)
		s.start(secondAttempt, Header{Epoch: 1}, s.uptime(), true)
	}},
	{"reservationExpires", "an owner that crashed before its starts keeps resources reserved for ever", func(s *scenario) {
		s.reserve(firstAttempt, 1, 2)
		s.reserve(secondAttempt, 1, 1)
		s.wait(10 * time.Second)
		s.start(firstAttempt, Header{Epoch: 1}, s.uptime(), true)
		s.reserve(secondAttempt, 1, 2)
	}},
	{"firstLeaseExpires", "a member keeps running alone after the start of another member was lost", func(s *scenario) {
		s.reserve(firstAttempt, 1, 2)
		s.wait(4 * time.Second)
		s.start(firstAttempt, Header{Epoch: 1}, s.uptime(), true)
		s.wait(6*time.Second - time.Millisecond)
		s.report()
		s.wait(time.Millisecond)
		s.report()
		s.reserve(secondAttempt, 1, 2)
	}},
	{"renewalInTime", "a renewed gang ends when its first lease would have expired", func(s *scenario) {
		s.reserve(firstAttempt, 1, 2)
		s.start(firstAttempt, Header{Epoch: 1}, s.uptime(), true)
		s.renew(firstAttempt, 30*time.Second)
		s.wait(30*time.Second - time.Millisecond)
		s.report()
		s.wait(time.Millisecond)
		s.renew(firstAttempt, 30*time.Second)
		s.report()
	}},
	{"endAfterLease", "an attempt that ends after its lease expired counts as done when no call came in between", func(s *scenario) {
		s.sim.Run = func(Start) Program { return Program{RunFor: 15 * time.Second} }
		s.reserve(firstAttempt, 1, 1)
		s.start(firstAttempt, Header{Epoch: 1}, s.uptime(), true)
		s.wait(20 * time.Second)
		s.report()
	}},
	{"endBeforeLease", "an attempt that was done before its lease expired counts as lapsed when no call came in between", func(s *scenario) {
		s.sim.Run = func(Start) Program { return Program{RunFor: 9 * time.Second} }
		s.reserve(firstAttempt, 1, 1)
		s.start(firstAttempt, Header{Epoch: 1}, s.uptime(), true)
		s.wait(20 * time.Second)
		s.report()
	}},
}

// runScenario runs steps on a Simulator with modified guards and returns the
// record.
func runScenario(t *testing.T, steps func(*scenario), modify func(*Guards)) string {
	var out string
	synctest.Test(t, func(*testing.T) {
		s := &scenario{sim: NewSimulator(Spec{ID: "w1", Domain: "ub1", Capacity: shape.Resources{Accelerators: 8}})}
		s.sim.Run = func(Start) Program { return Program{RunFor: time.Hour} }
		modify(&s.sim.Guards)
		processStart := s.sim.processStart
		s.sim.OnLog = func(e Entry) {
			fmt.Fprintf(&s.log, "%6v log: %v %s\n", e.At.Sub(processStart), e.Attempt, e.Event)
		}
		steps(s)
		out = s.log.String()
	})
	return out
}

func TestSimulatorGuards(t *testing.T) {
	for _, c := range guardCases {
		t.Run(c.name, func(t *testing.T) {
			out := runScenario(t, c.steps, func(*Guards) {})
			golden.Assert(t, "guards against: "+c.failure+"\n"+out, c.name+".golden")
		})
	}
}

// TestSimulatorDisabledGuards guards against a case in guardCases that passes
// without the guard that it tests. The record must differ with the guard disabled.
func TestSimulatorDisabledGuards(t *testing.T) {
	disabled := map[string]func(*Guards){
		"staleEpoch":     func(g *Guards) { g.Epoch = func(int64, int64) bool { return true } },
		"domainOut":      func(g *Guards) { g.Config = func(int64, int64) bool { return true } },
		"stalePermit":    func(g *Guards) { g.Permit = func(time.Duration) bool { return true } },
		"earlierProcess": func(g *Guards) { g.Permit = func(age time.Duration) bool { return age <= MaxPermitAge } },
		"lateStart":      func(g *Guards) { g.Ended = func(Attempt, bool) bool { return false } },
	}
	for _, c := range guardCases {
		if modify, ok := disabled[c.name]; ok {
			assert.Assert(t, runScenario(t, c.steps, modify) != runScenario(t, c.steps, func(*Guards) {}), c.name)
		}
	}
}

// TestSimulatorRepeatedMessages guards against a second effect of a message that
// is repeated because the answer to the first was lost.
func TestSimulatorRepeatedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := NewSimulator(Spec{ID: "w1", Domain: "ub1", Capacity: shape.Resources{Accelerators: 8}})
		sim.Run = func(Start) Program { return Program{RunFor: time.Hour} }
		var starts int
		sim.OnLog = func(e Entry) {
			if e.Event == EventStarted {
				starts++
			}
		}
		r := Reserve{Attempt: firstAttempt, Members: 2, Member: shape.Resources{Accelerators: 4}, Hold: 10 * time.Second}
		for range 2 {
			assert.NilError(t, sim.Reserve(r, time.Now()))
		}
		for range 2 {
			assert.NilError(t, sim.Start(Start{Attempt: firstAttempt, Incarnation: sim.incarnation, InService: true}, time.Now()))
		}
		assert.Equal(t, starts, 1)
	})
}

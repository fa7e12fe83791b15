package matrix

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/assert"
)

// TestGuards turns one guard of the product off in each case, and fails if the
// checker does not report the promise that the guard keeps, or reports another
// one. It guards against checks that cannot fail.
func TestGuards(t *testing.T) {
	tests := []struct {
		promise string
		setup   Setup
		cell    Cell
	}{
		{
			// Without a reclaim the guarantee waits for the end of lent work.
			"P1", Setup{Policy: withoutReclaim, LentFor: 100 * time.Second}, Cell{},
		},
		{
			// Workers that keep tasks whose lease has ended.
			"P2", Setup{Worker: func(m *worker.Machine) {
				m.Guards.Lapsed = func(time.Time, time.Time) bool { return false }
			}, LentFor: time.Minute, Hold: time.Minute}, Cell{Step: "cancel", Faults: []string{"workerSilent"}},
		},
		{
			// Workers that start tasks in a domain that is out of service, for
			// an owner that places them there.
			"P3", Setup{Policy: ignoreService, Worker: func(m *worker.Machine) {
				m.Guards.InService = func(bool) bool { return true }
			}, LentFor: time.Minute, Hold: 3400 * time.Millisecond},
			Cell{Step: "domainOut", Faults: []string{"workerKilled"}},
		},
		{
			// A relay that passes on whatever an endpoint answers.
			"P4", Setup{Relay: func(g *relay.Guards) {
				g.Matches = func(relay.Attempt, relay.Reply) bool { return true }
			}}, Cell{Step: "answer", Faults: []string{"messagesReordered"}},
		},
		{
			// A relay that takes each error of an attempt as a proof that
			// nothing ran, and so refuses what may have run.
			"P5", Setup{Relay: func(g *relay.Guards) {
				g.NotRun = func(error) bool { return true }
			}, Settings: func(s *relay.Settings) { s.MaxAttempts = 1 }, Plain: true}, Cell{Step: "answer", Faults: []string{"endpointDies"}},
		},
		{
			// A relay that sends a non-idempotent request again.
			"P6", Setup{Relay: func(g *relay.Guards) {
				g.NotRun = func(error) bool { return true }
			}, RetryShare: 1, CutFirst: 6}, Cell{},
		},
		{
			// A relay that does not take note that endpoints leave.
			"P7", Setup{Relay: func(g *relay.Guards) {
				g.MarkLeaving = func(ident.Endpoint, time.Time) {}
			}, BlindList: true}, Cell{Step: "answer", Faults: []string{"endpointLeaving"}},
		},
		{
			// A planned stop that does not wait for requests in flight.
			"P8", Setup{Relay: func(g *relay.Guards) {
				g.Wait = func(context.Context) error { return nil }
			}}, Cell{},
		},
		{
			// A keeper that installs whatever version it last learnt, from an
			// instance that was paused while the store is down.
			"P9", Setup{Site: site.Guards{
				Newer: func(present, next int64) bool { return next != present },
			}, Unasked: true}, Cell{Step: "domainOut", Faults: []string{"storeDown", "pause"}},
		},
	}
	for _, tc := range tests {
		t.Run(tc.promise, func(t *testing.T) {
			t.Parallel()
			r := runWorld(t, tc.setup, tc.cell)
			assert.Assert(t, len(r.Breaches) > 0, "the checker reports nothing")
			for _, b := range r.Breaches {
				assert.Equal(t, b.Promise, tc.promise, "%s", b.Detail)
			}
		})
	}
}

// withoutReclaim leaves work on lent capacity alone.
func withoutReclaim() sched.Policy {
	p := sched.Default()
	return sched.Policy{Name: "withoutReclaim", Decide: func(now time.Time, v *sched.View) []sched.Action {
		return slices.DeleteFunc(p.Decide(now, v), func(a sched.Action) bool { return a.Kind == sched.Reclaim })
	}}
}

// ignoreService places jobs whether the domain is in service or not, and moves
// none to another domain.
func ignoreService() sched.Policy {
	p := sched.Default()
	return sched.Policy{Name: "ignoreService", Decide: func(now time.Time, v *sched.View) []sched.Action {
		in := *v
		in.InService = true
		return slices.DeleteFunc(p.Decide(now, &in), func(a sched.Action) bool { return a.Kind == sched.Wait })
	}}
}

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

// TestGuards guards against checks that cannot fail. Each case disables one
// guard of the system, and the checker must report the promise that the guard
// protects and no other.
func TestGuards(t *testing.T) {
	tests := []struct {
		promise string
		setup   Setup
		cell    Cell
	}{
		{
			// Without a reclaim, a job with a guarantee waits for the end of the
			// jobs that run on the capacity of the guarantee.
			"P1", Setup{Policy: withoutReclaim, LongJobRunTime: 100 * time.Second}, Cell{},
		},
		{
			// Workers that keep tasks running after the end of their lease.
			"P2", Setup{WorkerGuards: func(s *worker.Simulator) {
				s.Guards.Lapsed = func(time.Time, time.Time) bool { return false }
			}, LongJobRunTime: time.Minute, FaultDuration: time.Minute}, Cell{Step: "cancel", Faults: []string{"workerSilent"}},
		},
		{
			// Workers that start tasks in a domain that is out of service, and a
			// shard owner that places them there.
			"P3", Setup{Policy: ignoreService, WorkerGuards: func(s *worker.Simulator) {
				s.Guards.InService = func(bool) bool { return true }
			}, LongJobRunTime: time.Minute, FaultDuration: 3400 * time.Millisecond},
			Cell{Step: "domainOut", Faults: []string{"workerKilled"}},
		},
		{
			// A relay that passes on every answer of an endpoint, also one to
			// another request.
			"P4", Setup{RelayGuards: func(g *relay.Guards) {
				g.Matches = func(relay.Attempt, relay.Reply) bool { return true }
			}}, Cell{Step: "answer", Faults: []string{"messagesReordered"}},
		},
		{
			// A relay that takes every error of an attempt as a proof that the
			// request did not run, and answers notRun for one that may have run.
			"P5", Setup{RelayGuards: func(g *relay.Guards) {
				g.NotRun = func(error) bool { return true }
			}, RelaySettings: func(s *relay.Settings) { s.MaxAttempts = 1 }, AllIdempotent: true}, Cell{Step: "answer", Faults: []string{"endpointDies"}},
		},
		{
			// A relay that sends a non-idempotent request again.
			"P6", Setup{RelayGuards: func(g *relay.Guards) {
				g.NotRun = func(error) bool { return true }
			}, RetryShare: 1, CutFirstAnswers: 6}, Cell{},
		},
		{
			// A relay that ignores the announcement of an endpoint that it is
			// leaving, while the platform's list does not show it either.
			"P7", Setup{RelayGuards: func(g *relay.Guards) {
				g.MarkLeaving = func(ident.Endpoint, time.Time) {}
			}, HideLeaving: true}, Cell{Step: "answer", Faults: []string{"endpointLeaving"}},
		},
		{
			// A planned stop that does not wait for requests in flight.
			"P8", Setup{RelayGuards: func(g *relay.Guards) {
				g.Wait = func(context.Context) error { return nil }
			}}, Cell{},
		},
		{
			// A manager of the configuration that installs any version other
			// than its own, also a lower one. An instance that was paused after
			// the store had been down sends it a lower one.
			"P9", Setup{SiteGuards: site.Guards{
				Newer: func(present, next int64) bool { return next != present },
			}, AlwaysSendConfig: true}, Cell{Step: "domainOut", Faults: []string{"storeDown", "pause"}},
		},
	}
	for _, tc := range tests {
		t.Run(tc.promise, func(t *testing.T) {
			t.Parallel()
			r := runSimulation(t, tc.setup, tc.cell)
			assert.Assert(t, len(r.Breaches) > 0, "checker reported no breach with the guard disabled")
			for _, b := range r.Breaches {
				assert.Equal(t, b.Promise, tc.promise, "%s", b.Detail)
			}
		})
	}
}

// withoutReclaim returns the default policy without its reclaims.
func withoutReclaim() sched.Policy {
	p := sched.Default()
	return sched.Policy{Name: "withoutReclaim", Decide: func(now time.Time, v *sched.View) []sched.Action {
		return slices.DeleteFunc(p.Decide(now, v), func(a sched.Action) bool { return a.Kind == sched.Reclaim })
	}}
}

// ignoreService returns the default policy, changed to decide as if the domain
// were in service: it places jobs in a domain that is out of service and does not
// move them away for that reason. Its decisions to leave jobs waiting are dropped.
func ignoreService() sched.Policy {
	p := sched.Default()
	return sched.Policy{Name: "ignoreService", Decide: func(now time.Time, v *sched.View) []sched.Action {
		view := *v
		view.InService = true
		return slices.DeleteFunc(p.Decide(now, &view), func(a sched.Action) bool { return a.Kind == sched.Wait })
	}}
}

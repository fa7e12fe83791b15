package intake

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// fixture is an Intake over a table in memory, with one domain of one worker and
// a workspace that may have one queued job.
type fixture struct {
	table *fakes.Table
	in    *Intake
	// outOfService takes the domain out of service.
	outOfService bool
	stop         chan struct{}
}

// scenario is a list of steps separated by spaces, in the syntax of
// fixture.step.
type scenario struct{ name, steps string }

// scenarios cover repeated submissions, failures of the store and waits.
var scenarios = []scenario{
	{"a repeated submission finds its job when the queue is full", "submit:a submit:b submit:a"},
	{"a repeated submission finds its job when no domain is in service", "submit:a out submit:a submit:b"},
	{"an identifier is not used for other work", "submit:a submit:a:class submit:a:guaranteed submit:a:payload"},
	{"a store that is down", "submit:a down submit:a submit:b read:a list cancel:a clear read:a"},
	{"an answer lost once", "lostOnce submit:a read:a lostOnce cancel:a read:a"},
	{"answers lost permanently", "lost submit:a clear read:a lost cancel:a clear read:a"},
	{"a store that is slow", "slow submit:a cancel:a read:a"},
	{"a job that has ended", "submit:a end:a cancel:a"},
	{"a job that is cancelled before it is submitted", "cancel:a read:a list submit:a cancel:a submit:a read:a"},
	{"a cancel of an unknown job while the store is down", "down cancel:a clear submit:a"},
	{"a cancel of an unknown job whose answer is lost", "lostOnce cancel:a submit:a"},
	{"a shape that never fits", "submit:large"},
	{"the end of a wait", "submit:a wait:a end:a wait:a"},
	{"a wait at an instance that stops", "submit:a stop wait:a"},
}

func newFixture() *fixture {
	f := &fixture{table: fakes.NewTable(), stop: make(chan struct{})}
	c := &config.Config{
		Domains:    []config.Domain{{Name: "ub1", InService: true}},
		Workspaces: []config.Workspace{{Name: "foundryA", MaxQueuedJobs: 1}},
	}
	capacity := shape.Resources{Accelerators: 8}
	f.in = New(Deps{
		Table: f.table.Store(), Objects: fakes.NewObjects().Store(), Log: event.Discard(),
		Config: func() *config.Config { return c },
		Candidates: func(ident.Workspace, jobs.Spec) []sched.Candidate {
			workers := []fleet.Worker{{Spec: worker.Spec{ID: "w1", Domain: "ub1", Capacity: capacity}, Free: capacity}}
			return []sched.Candidate{{Summary: sched.Summary{Domain: "ub1"}, InService: !f.outOfService, Workers: workers}}
		},
		Notify:   func(ident.Domain, ident.Workspace, ident.Job) {},
		Stopping: f.stop,
	})
	return f
}

// step performs one step, written as VERB or VERB:ARGUMENT, and returns its
// result.
func (f *fixture) step(ctx context.Context, step string) (jobs.Job, error) {
	verb, id, _ := strings.Cut(step, ":")
	switch verb {
	case "out":
		f.outOfService = true
	case "stop":
		// The stop begins while the next step waits.
		time.AfterFunc(3*time.Second, func() { close(f.stop) })
	case "down":
		f.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
	case "lost":
		f.table.Faults.Set(fakes.Fault{Kind: fakes.Lost})
	case "lostOnce":
		f.table.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 1})
	case "slow":
		f.table.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: 3 * time.Second})
	case "clear":
		f.table.Faults.Clear()
	case "submit":
		return f.submit(ctx, id)
	case "read":
		return f.in.Read(ctx, "foundryA", jobID(ident.Request(id)))
	case "cancel":
		return f.in.Cancel(ctx, "foundryA", jobID(ident.Request(id)))
	case "wait":
		return f.in.Wait(ctx, "foundryA", jobID(ident.Request(id)), 10*time.Second)
	case "list":
		_, err := f.in.List(ctx, "foundryA")
		return jobs.Job{}, err
	case "end":
		j, version, err := f.in.load(ctx, "foundryA", jobID(ident.Request(id)))
		if err != nil {
			return j, err
		}
		j.State = jobs.Done
		return j, f.in.write(ctx, j, version)
	}
	return jobs.Job{}, nil
}

// submit submits a job with the request identifier ID, where text is ID or
// ID:CHANGE. A change makes the specification differ. The job of ID large fits
// no domain.
func (f *fixture) submit(ctx context.Context, text string) (jobs.Job, error) {
	id, change, _ := strings.Cut(text, ":")
	spec := jobs.Spec{Shape: shape.Shape{Members: 1, Member: shape.Resources{Accelerators: 1}}, Class: jobs.Normal}
	switch change {
	case "class":
		spec.Class = jobs.Urgent
	case "guaranteed":
		spec.Guaranteed = true
	case "payload":
		spec.Payload = []byte("other")
	}
	if id == "large" {
		spec.Shape.Members = 9
	}
	return f.in.Submit(ctx, Submission{Workspace: "foundryA", Request: ident.Request(id), Spec: spec})
}

// TestOutcomes guards against a refusal with the outcome NotRun although the
// job exists or a write may have taken effect, and against a call that lasts as
// long as an outage of the store.
func TestOutcomes(t *testing.T) {
	var all strings.Builder
	for _, s := range scenarios {
		fmt.Fprintf(&all, "%s\n", s.name)
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			defer cancel()
			for _, step := range strings.Fields(s.steps) {
				start := time.Now()
				j, err := f.step(ctx, step)
				// A commit pauses for a random time between its attempts, but
				// the duration in whole seconds is deterministic.
				took := time.Since(start).Truncate(time.Second)
				fmt.Fprintf(&all, "  %s: %s after %v\n", step, result(t, j, err), took)
			}
		})
	}
	golden.Assert(t, all.String(), "outcomes.golden")
}

// result formats the job or the refusal that a step returned.
func result(t *testing.T, j jobs.Job, err error) string {
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		return fmt.Sprintf("%s %s", refusal.Outcome, refusal.Reason)
	case j.ID == "":
		assert.NilError(t, err)
		return "done"
	}
	assert.NilError(t, err)
	text := fmt.Sprintf("%s is %v", j.ID, j.State)
	if j.CancelRequested {
		text += ", cancellation requested"
	}
	return text
}

// TestUnreadJob guards against a submission that is answered as not stored although
// a job of an earlier one exists, whose row cannot be decoded.
func TestUnreadJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		_, err := f.table.Store().Commit(t.Context(), store.Txn{Puts: []store.Put{
			{Key: record.JobKey("foundryA", jobID("a")), Value: []byte("odd")},
		}})
		assert.NilError(t, err)
		_, err = f.submit(t.Context(), "a")
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Outcome, Unknown)
		assert.Equal(t, refusal.Reason, ReasonUnread)
	})
}

// TestSubmissionAfterCancel guards against a job that is stored after its cancelling was
// answered as that of an unknown job, because the store carries out the submission late,
// and against identifiers without a submission that take a row.
func TestSubmissionAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.table.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: 30 * time.Second, Next: 1})
		submitted := make(chan error, 1)
		go func() {
			_, err := f.submit(t.Context(), "a")
			submitted <- err
		}()
		var refusal *Refusal
		assert.Assert(t, errors.As(<-submitted, &refusal))
		assert.Equal(t, refusal.Outcome, Unknown)
		_, err := f.in.Cancel(t.Context(), "foundryA", jobID("a"))
		assert.ErrorIs(t, err, ErrNotFound)
		time.Sleep(time.Minute)
		_, err = f.in.Read(t.Context(), "foundryA", jobID("a"))
		assert.ErrorIs(t, err, ErrNotFound)
		all, err := f.in.List(t.Context(), "foundryA")
		assert.NilError(t, err)
		assert.Equal(t, len(all), 0)
		_, err = f.submit(t.Context(), "a")
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Outcome, NotRun)
		assert.Equal(t, refusal.Reason, ReasonCancelled)

		rows := len(f.table.Log())
		for _, id := range []ident.Job{"", "job-1", "req-", "req-a/b", "other"} {
			_, err := f.in.Cancel(t.Context(), "foundryA", id)
			assert.ErrorIs(t, err, ErrNotFound)
		}
		assert.Equal(t, len(f.table.Log()), rows)
	})
}

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
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
)

// rig is an intake over a table in memory, with one domain of one worker and
// room for one job of the workspace.
type rig struct {
	table *fakes.Table
	in    *Intake
	out   bool
	stop  chan struct{}
}

// script is what a rig is made to do, one word a step.
type script struct{ name, steps string }

// scripts ask for refusals that are true and for outcomes in time.
var scripts = []script{
	{"a repeated submission finds its job when the queue is full", "submit:a submit:b submit:a"},
	{"a repeated submission finds its job when no domain is in service", "submit:a out submit:a submit:b"},
	{"an identifier is not used for other work", "submit:a submit:a:class submit:a:guaranteed submit:a:payload"},
	{"a store that is down", "submit:a down submit:a submit:b read:a list cancel:a clear read:a"},
	{"an answer lost once", "lostOnce submit:a read:a lostOnce cancel:a read:a"},
	{"answers lost for good", "lost submit:a clear read:a lost cancel:a clear read:a"},
	{"a store that is slow", "slow submit:a cancel:a read:a"},
	{"a job that has ended or never was", "cancel:a read:a submit:a end:a cancel:a"},
	{"a shape that never fits", "submit:large"},
	{"the end of a wait", "submit:a wait:a end:a wait:a"},
	{"a wait at an instance that stops", "submit:a stop wait:a"},
}

func newRig() *rig {
	r := &rig{table: fakes.NewTable(), stop: make(chan struct{})}
	c := &config.Config{
		Domains:    []config.Domain{{Name: "ub1", InService: true}},
		Workspaces: []config.Workspace{{Name: "foundryA", MaxQueuedJobs: 1}},
	}
	capacity := shape.Resources{Accelerators: 8}
	r.in = New(Deps{
		Table: r.table.Store(), Objects: fakes.NewObjects().Store(), Log: event.Discard(),
		Config: func() *config.Config { return c },
		Candidates: func(ident.Workspace, jobs.Spec) []sched.Candidate {
			workers := []fleet.Worker{{Spec: worker.Spec{ID: "w1", Domain: "ub1", Capacity: capacity}, Free: capacity}}
			return []sched.Candidate{{Summary: sched.Summary{Domain: "ub1"}, InService: !r.out, Workers: workers}}
		},
		Notify:   func(ident.Domain, ident.Workspace, ident.Job) {},
		Stopping: r.stop,
	})
	return r
}

// step does one step and returns its result.
func (r *rig) step(ctx context.Context, step string) (jobs.Job, error) {
	verb, id, _ := strings.Cut(step, ":")
	switch verb {
	case "out":
		r.out = true
	case "stop":
		// The wait has begun when the stop does.
		time.AfterFunc(3*time.Second, func() { close(r.stop) })
	case "down":
		r.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
	case "lost":
		r.table.Faults.Set(fakes.Fault{Kind: fakes.Lost})
	case "lostOnce":
		r.table.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 1})
	case "slow":
		r.table.Faults.Set(fakes.Fault{Kind: fakes.Slow, Delay: 3 * time.Second})
	case "clear":
		r.table.Faults.Clear()
	case "submit":
		return r.submit(ctx, id)
	case "read":
		return r.in.Read(ctx, "foundryA", jobID(ident.Request(id)))
	case "cancel":
		return r.in.Cancel(ctx, "foundryA", jobID(ident.Request(id)))
	case "wait":
		return r.in.Wait(ctx, "foundryA", jobID(ident.Request(id)), 10*time.Second)
	case "list":
		_, err := r.in.List(ctx, "foundryA")
		return jobs.Job{}, err
	case "end":
		j, version, err := r.in.load(ctx, "foundryA", jobID(ident.Request(id)))
		if err != nil {
			return j, err
		}
		j.State = jobs.Done
		return j, r.in.write(ctx, j, version)
	}
	return jobs.Job{}, nil
}

func (r *rig) submit(ctx context.Context, text string) (jobs.Job, error) {
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
	return r.in.Submit(ctx, Submission{Workspace: "foundryA", Request: ident.Request(id), Spec: spec})
}

// TestOutcomes guards against a call that is refused as not run although its
// job exists or its write may have taken effect, and against a call that hangs
// as long as the store does.
func TestOutcomes(t *testing.T) {
	var all strings.Builder
	for _, s := range scripts {
		fmt.Fprintf(&all, "%s\n", s.name)
		synctest.Test(t, func(t *testing.T) {
			r := newRig()
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			defer cancel()
			for _, step := range strings.Fields(s.steps) {
				start := time.Now()
				j, err := r.step(ctx, step)
				// The pauses of a commit are random; whole seconds are not.
				took := time.Since(start).Truncate(time.Second)
				fmt.Fprintf(&all, "  %s: %s after %v\n", step, result(t, j, err), took)
			}
		})
	}
	golden.Assert(t, all.String(), "outcomes.golden")
}

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
		text += ", cancellation asked for"
	}
	return text
}

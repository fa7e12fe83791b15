package cmds

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// jobOptions are the flags of job submit.
type jobOptions struct {
	members      string
	accelerators string
	processors   string
	memory       string
	adjacency    string
	class        string
	guaranteed   bool
	runTime      string
	requestID    string
	payload      string
}

// doneState is the final state of a job that succeeded.
const doneState = "done"

// standardInput names the standard input as a file.
const standardInput = "-"

var errJobEnd = errors.New("the job did not succeed")

func newJob() *command {
	return &command{
		name: "job", summary: "submit, show, wait for and cancel jobs of the workspace of the key",
		subs: []*command{
			{
				name: "submit", run: runSubmit, flags: append(serverFlags(), submitFlags()...),
				summary: "submit a job and print it",
				details: "A submission with the identifier of an earlier one returns the job of that one. After an unknown\n" +
					"outcome, repeat the command with the identifier that the error names.",
				examples: []example{
					{"baobabquay job submit --members 4 --accelerators 8 --adjacency rack", "run a gang of 4 in one rack"},
					{"baobabquay job submit --accelerators 1 --payload task.json --request-id proof-17", "submit a payload that can be repeated"},
				},
			},
			{
				name: "show", args: "JOB", run: runJobShow, flags: serverFlags(),
				summary:  "print a job",
				examples: []example{{"baobabquay job show req-proof-17 --output json", "read the result, which is in base 64"}},
			},
			{
				name: "wait", args: "JOB", run: runJobWait, flags: serverFlags(),
				summary: "wait for the end of a job and print it",
				details: "The exit code is 0 if the job is done, and 1 if it failed, was cancelled or has not ended in time.",
				examples: []example{
					{"baobabquay job wait req-proof-17 --timeout 1h", "wait for at most an hour"},
				},
			},
			{
				name: "cancel", args: "JOB", run: runJobCancel, flags: serverFlags(),
				summary:  "ask for the end of a job and print it",
				examples: []example{{"baobabquay job cancel req-proof-17", "cancel a job that waits or runs"}},
			},
		},
	}
}

func submitFlags() []flag {
	text := func(long, arg, summary string, of func(o *jobOptions) *string) flag {
		return flag{long: long, arg: arg, summary: summary, text: func(o *options) *string { return of(&o.job) }}
	}
	return []flag{
		text("members", "N", "members of the gang (default 1)", func(o *jobOptions) *string { return &o.members }),
		text("accelerators", "N", "accelerators of each member", func(o *jobOptions) *string { return &o.accelerators }),
		text("processors", "N", "processors of each member", func(o *jobOptions) *string { return &o.processors }),
		text("memory", "SIZE", "memory of each member, such as 64GiB", func(o *jobOptions) *string { return &o.memory }),
		text("adjacency", "LEVEL", "domain, rack or worker (default domain)", func(o *jobOptions) *string { return &o.adjacency }),
		text("class", "CLASS", "urgent, normal or background (default normal)", func(o *jobOptions) *string { return &o.class }),
		{
			long: "guaranteed", summary: "use the workspace's guarantee",
			truth: func(o *options) *bool { return &o.job.guaranteed },
		},
		text("run-time", "DURATION", "expected run time", func(o *jobOptions) *string { return &o.runTime }),
		text("request-id", "ID", "identifier of the submission", func(o *jobOptions) *string { return &o.requestID }),
		text("payload", "FILE", "file with the payload, - for the standard input", func(o *jobOptions) *string { return &o.payload }),
	}
}

func runSubmit(ctx context.Context, c *call) error {
	if err := c.refuseArgs(); err != nil {
		return err
	}
	s, err := c.submission()
	if err != nil {
		return err
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		job, err := cl.Submit(ctx, s)
		if err != nil {
			return withRequestID(err)
		}
		return c.print(job, jobText(job))
	})
}

// submission returns what the flags ask for. The server checks the values that
// are well formed.
func (c *call) submission() (wire.Submission, error) {
	o := c.options.job
	s := wire.Submission{RequestID: o.requestID, Class: o.class, Guaranteed: o.guaranteed}
	s.Shape = wire.Shape{Members: 1, Adjacency: o.adjacency}
	for _, n := range []struct {
		name, text string
		to         *int
	}{
		{"members", o.members, &s.Shape.Members},
		{"accelerators", o.accelerators, &s.Shape.Accelerators},
		{"processors", o.processors, &s.Shape.Processors},
	} {
		if n.text == "" {
			continue
		}
		var err error
		if *n.to, err = strconv.Atoi(n.text); err != nil {
			return s, usageErrorf("%s %q, allowed is a whole number", n.name, n.text)
		}
	}
	if o.memory != "" {
		b, err := shape.ParseBytes(o.memory)
		if err != nil {
			return s, usageErrorf("memory: %v", err)
		}
		s.Shape.Memory = int64(b)
	}
	if o.runTime != "" {
		d, err := time.ParseDuration(o.runTime)
		if err != nil {
			return s, usageErrorf("run time %q, allowed is a duration such as 2h30m", o.runTime)
		}
		s.RunTime = wire.Duration(d)
	}
	var err error
	s.Payload, err = c.payload(o.payload)
	return s, err
}

func (c *call) payload(file string) ([]byte, error) {
	switch file {
	case "":
		return nil, nil
	case standardInput:
		b, err := io.ReadAll(c.env.In)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return b, nil
	}
	b, err := c.env.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read payload: %w", err)
	}
	return b, nil
}

func runJobShow(ctx context.Context, c *call) error {
	return c.runJob(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client, id string) (wire.Job, error) {
		return cl.Job(ctx, id)
	})
}

func runJobCancel(ctx context.Context, c *call) error {
	return c.runJob(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client, id string) (wire.Job, error) {
		return cl.Cancel(ctx, id)
	})
}

func runJobWait(ctx context.Context, c *call) error {
	var job wire.Job
	err := c.runJob(ctx, 0, func(ctx context.Context, cl *client.Client, id string) (wire.Job, error) {
		var err error
		job, err = cl.Wait(ctx, id)
		return job, err
	})
	if err == nil && job.State != doneState {
		return fmt.Errorf("job %s is %s: %w", job.ID, job.State, errJobEnd)
	}
	return err
}

// runJob runs a command on one job and prints the job.
func (c *call) runJob(
	ctx context.Context, limit time.Duration, do func(ctx context.Context, cl *client.Client, id string) (wire.Job, error),
) error {
	id, err := c.oneArg("JOB")
	if err != nil {
		return err
	}
	return c.online(ctx, limit, func(ctx context.Context, cl *client.Client) error {
		job, err := do(ctx, cl, id)
		if err != nil {
			return err
		}
		return c.print(job, jobText(job))
	})
}

// withRequestID adds the identifier with which an unknown call can be repeated.
func withRequestID(err error) error {
	var e *client.Error
	if !errors.As(err, &e) || e.Outcome != wire.Unknown || e.RequestID == "" {
		return err
	}
	return fmt.Errorf("repeat it with --request-id %s: %w", e.RequestID, err)
}

// jobText returns one line for each property that is set.
func jobText(j wire.Job) string {
	var b strings.Builder
	for _, p := range []struct{ name, value string }{
		{"job", j.ID}, {"workspace", j.Workspace}, {"state", j.State}, {"reason", j.Reason}, {"domain", j.Domain},
		{"shape", shapeText(j.Shape)}, {"class", j.Class}, {"guaranteed", strconv.FormatBool(j.Guaranteed)},
		{"attempt", strconv.Itoa(j.Attempt)}, {"cancelRequested", strconv.FormatBool(j.CancelRequested)},
		{"submitted", timeText(j.Submitted)}, {"started", timeText(j.Started)}, {"ended", timeText(j.Ended)},
		{"result", strconv.Itoa(len(j.Result)) + " bytes"},
	} {
		if p.value != "" {
			fmt.Fprintf(&b, "%s %s\n", p.name, p.value)
		}
	}
	return b.String()
}

func shapeText(s wire.Shape) string {
	return fmt.Sprintf("%dx%dacc/%s", s.Members, s.Accelerators, s.Adjacency)
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

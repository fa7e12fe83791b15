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

// jobOptions holds the flags of job submit.
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

// stateDone is the final state of a job that succeeded.
const stateDone = "done"

// stdinFile is the file name that stands for the standard input.
const stdinFile = "-"

var errJobNotDone = errors.New("the job did not succeed")

func newJobCommand() *command {
	return &command{
		name: "job", summary: "submit, show, wait for and cancel jobs of the workspace of the key",
		subs: []*command{
			{
				name: "submit", run: runSubmit, flags: append(serverFlags(), submitFlags()...),
				summary: "submit a job and print it",
				details: "A submission with the identifier of an earlier submission returns the job of the earlier one. After an\n" +
					"unknown outcome, repeat the command with the identifier in the error message.",
				examples: []example{
					{"baobabquay job submit --members 4 --accelerators 8 --adjacency rack", "run a gang of 4 in one rack"},
					{"baobabquay job submit --accelerators 1 --payload task.json --request-id proof-17", "submit a payload with an identifier, so that the command can be repeated"},
				},
			},
			{
				name: "show", args: "JOB", run: runJobShow, flags: serverFlags(),
				summary:  "print a job",
				examples: []example{{"baobabquay job show req-proof-17 --output json", "read the result, which is encoded in base 64"}},
			},
			{
				name: "wait", args: "JOB", run: runJobWait, flags: serverFlags(),
				summary: "wait for the end of a job and print it",
				details: "The exit code is 0 if the job is done, and 1 if it failed, was cancelled or did not end in time.",
				examples: []example{
					{"baobabquay job wait req-proof-17 --timeout 1h", "wait for at most an hour"},
				},
			},
			{
				name: "cancel", args: "JOB", run: runJobCancel, flags: serverFlags(),
				summary:  "request the cancellation of a job and print it",
				examples: []example{{"baobabquay job cancel req-proof-17", "cancel a waiting or running job"}},
			},
		},
	}
}

func submitFlags() []flag {
	stringFlag := func(long, arg, summary string, field func(o *jobOptions) *string) flag {
		return flag{long: long, arg: arg, summary: summary, stringVar: func(o *options) *string { return field(&o.job) }}
	}
	return []flag{
		stringFlag("members", "N", "members of the gang (default 1)", func(o *jobOptions) *string { return &o.members }),
		stringFlag("accelerators", "N", "accelerators of each member", func(o *jobOptions) *string { return &o.accelerators }),
		stringFlag("processors", "N", "processors of each member", func(o *jobOptions) *string { return &o.processors }),
		stringFlag("memory", "SIZE", "memory of each member, such as 64GiB", func(o *jobOptions) *string { return &o.memory }),
		stringFlag("adjacency", "LEVEL", "domain, rack or worker (default domain)", func(o *jobOptions) *string { return &o.adjacency }),
		stringFlag("class", "CLASS", "urgent, normal or background (default normal)", func(o *jobOptions) *string { return &o.class }),
		{
			long: "guaranteed", summary: "use the workspace's guarantee",
			boolVar: func(o *options) *bool { return &o.job.guaranteed },
		},
		stringFlag("run-time", "DURATION", "expected run time", func(o *jobOptions) *string { return &o.runTime }),
		stringFlag("request-id", "ID", "identifier of the submission", func(o *jobOptions) *string { return &o.requestID }),
		stringFlag("payload", "FILE", "file with the payload, - for the standard input", func(o *jobOptions) *string { return &o.payload }),
	}
}

func runSubmit(ctx context.Context, inv *invocation) error {
	if err := inv.rejectArgs(); err != nil {
		return err
	}
	s, err := inv.submission()
	if err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		job, err := c.Submit(ctx, s)
		if err != nil {
			return withRequestID(err)
		}
		return inv.print(job, jobText(job))
	})
}

// submission returns the submission described by the flags. It rejects values
// that cannot be parsed; the server checks all other constraints.
func (inv *invocation) submission() (wire.Submission, error) {
	o := inv.options.job
	s := wire.Submission{RequestID: o.requestID, Class: o.class, Guaranteed: o.guaranteed}
	s.Shape = wire.Shape{Members: 1, Adjacency: o.adjacency}
	for _, n := range []struct {
		name, text string
		dest       *int
	}{
		{"members", o.members, &s.Shape.Members},
		{"accelerators", o.accelerators, &s.Shape.Accelerators},
		{"processors", o.processors, &s.Shape.Processors},
	} {
		if n.text == "" {
			continue
		}
		var err error
		if *n.dest, err = strconv.Atoi(n.text); err != nil {
			return s, usageErrorf("invalid number of %s %q: must be an integer", n.name, n.text)
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
			return s, usageErrorf("invalid run time %q: must be a duration such as 2h30m", o.runTime)
		}
		s.RunTime = wire.Duration(d)
	}
	var err error
	s.Payload, err = inv.readPayload(o.payload)
	return s, err
}

// readPayload returns the contents of a file, or of the standard input if the name
// is stdinFile. An empty name means no payload.
func (inv *invocation) readPayload(file string) ([]byte, error) {
	switch file {
	case "":
		return nil, nil
	case stdinFile:
		b, err := io.ReadAll(inv.env.In)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return b, nil
	}
	b, err := inv.env.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read payload: %w", err)
	}
	return b, nil
}

func runJobShow(ctx context.Context, inv *invocation) error {
	return inv.runJob(ctx, defaultTimeout, func(ctx context.Context, c *client.Client, id string) (wire.Job, error) {
		return c.Job(ctx, id)
	})
}

func runJobCancel(ctx context.Context, inv *invocation) error {
	return inv.runJob(ctx, defaultTimeout, func(ctx context.Context, c *client.Client, id string) (wire.Job, error) {
		return c.Cancel(ctx, id)
	})
}

func runJobWait(ctx context.Context, inv *invocation) error {
	var job wire.Job
	err := inv.runJob(ctx, 0, func(ctx context.Context, c *client.Client, id string) (wire.Job, error) {
		var err error
		job, err = c.Wait(ctx, id)
		return job, err
	})
	if err == nil && job.State != stateDone {
		return fmt.Errorf("job %s is %s: %w", job.ID, job.State, errJobNotDone)
	}
	return err
}

// runJob calls fn for the job named by the argument and prints the returned job.
func (inv *invocation) runJob(
	ctx context.Context, timeout time.Duration, fn func(ctx context.Context, c *client.Client, id string) (wire.Job, error),
) error {
	id, err := inv.singleArg("JOB")
	if err != nil {
		return err
	}
	return inv.withClient(ctx, timeout, func(ctx context.Context, c *client.Client) error {
		job, err := fn(ctx, c, id)
		if err != nil {
			return err
		}
		return inv.print(job, jobText(job))
	})
}

// withRequestID adds to an error with an unknown outcome the identifier with which
// the call can be repeated.
func withRequestID(err error) error {
	var e *client.Error
	if !errors.As(err, &e) || e.Outcome != wire.Unknown || e.RequestID == "" {
		return err
	}
	return fmt.Errorf("repeat the command with --request-id %s: %w", e.RequestID, err)
}

// jobText returns a line for each property of the job that is set.
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

package cmds

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// eventTime is the form of the time of a decision; decisions about one job
// are milliseconds apart.
const eventTime = "15:04:05.000"

var workspaceFlag = flag{
	long: "workspace", short: "w", arg: "NAME", summary: "workspace that an operator asks about",
	text: func(o *options) *string { return &o.workspace },
}

func newJobs() *command {
	return &command{
		name: "jobs", run: runJobs, flags: append(serverFlags(), workspaceFlag),
		summary: "list jobs in the order of submission",
		details: "With the key of a workspace the jobs are its own. An operator names the workspace.",
		examples: []example{
			{"baobabquay jobs", "list the jobs of the key's workspace"},
			{"baobabquay jobs --workspace foundryA", "list a workspace's jobs as an operator"},
		},
	}
}

func newExplain() *command {
	return &command{
		name: "explain", args: "JOB", run: runExplain,
		flags: append(serverFlags(), workspaceFlag, flag{
			long: "from", arg: "ADDR[,ADDR]", summary: "metrics addresses of the instances whose decisions are printed",
			text: func(o *options) *string { return &o.from },
		}),
		summary: "tell an operator why a job waits, or what was decided about it",
		details: "Without --from, the flag --workspace is required, because two workspaces can have jobs of the same\n" +
			"name. With --from, the decisions that these instances still know are printed in the order of their\n" +
			"times; an instance keeps its last 4,096.",
		examples: []example{
			{"baobabquay explain req-proof-17 --workspace foundryA", "see what the job waits for"},
			{"baobabquay explain 5c0e7a21d94b36f8 --from 10.1.0.19:7001,10.2.0.35:7001", "see what was decided about the job"},
		},
	}
}

func runJobs(ctx context.Context, c *call) error {
	if err := c.refuseArgs(); err != nil {
		return err
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		var list wire.JobList
		var err error
		if c.options.workspace == "" {
			list, err = cl.Jobs(ctx)
		} else {
			list, err = cl.JobsOf(ctx, c.options.workspace)
		}
		if err != nil {
			return err
		}
		t := table{{"JOB", "STATE", "DOMAIN", "SHAPE", "CLASS", "ATTEMPT", "SUBMITTED", "REASON"}}
		for _, j := range list.Jobs {
			t = append(t, []string{
				j.ID, j.State, j.Domain, shapeText(j.Shape), j.Class, strconv.Itoa(j.Attempt), timeText(j.Submitted), j.Reason,
			})
		}
		return c.print(list, t.String())
	})
}

func runExplain(ctx context.Context, c *call) error {
	id, err := c.oneArg("JOB")
	if err != nil {
		return err
	}
	if c.options.from != "" {
		return c.explainFrom(ctx, id)
	}
	if c.options.workspace == "" {
		return usageErrorf("the flag --workspace is missing")
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		e, err := cl.Explain(ctx, c.options.workspace, id)
		if err != nil {
			return err
		}
		return c.print(e, "job "+e.ID+"\nstate "+e.State+"\nreason "+e.Reason+"\n")
	})
}

// explainFrom prints the decisions about a job that instances still know.
func (c *call) explainFrom(ctx context.Context, id string) error {
	from, err := parseServers(c.options.from)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	events, failure := c.env.Events(ctx, from, id)
	t := table{{"TIME", "INSTANCE", "EVENT", "DECIDEDBY"}}
	for _, e := range events.Events {
		t = append(t, []string{e.At.UTC().Format(eventTime), e.Instance, e.Name, fieldsText(e.Fields)})
	}
	if err := c.print(events, t.String()); err != nil {
		return err
	}
	return failure
}

// fieldsText returns the fields in the order of their names.
func fieldsText(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if text := fmt.Sprint(fields[name]); text != "" {
			parts = append(parts, name+"="+text)
		}
	}
	return strings.Join(parts, " ")
}

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

// eventTimeFormat is the format of the time of a decision. It includes
// milliseconds, because decisions about one job are milliseconds apart.
const eventTimeFormat = "15:04:05.000"

var workspaceFlag = flag{
	long: "workspace", short: "w", arg: "NAME", summary: "workspace to query, for operators",
	stringVar: func(o *options) *string { return &o.workspace },
}

func newJobsCommand() *command {
	return &command{
		name: "jobs", run: runJobs, flags: append(serverFlags(), workspaceFlag),
		summary: "list jobs in the order of submission",
		details: "With the key of a workspace, the command lists the jobs of this workspace. An operator selects a\nworkspace with --workspace.",
		examples: []example{
			{"baobabquay jobs", "list the jobs of the key's workspace"},
			{"baobabquay jobs --workspace foundryA", "list a workspace's jobs as an operator"},
		},
	}
}

func newExplainCommand() *command {
	return &command{
		name: "explain", args: "JOB", run: runExplain,
		flags: append(serverFlags(), workspaceFlag, flag{
			long: "from", arg: "ADDR[,ADDR]", summary: "metrics addresses of the instances whose decisions are printed",
			stringVar: func(o *options) *string { return &o.from },
		}),
		summary: "print why a job waits or the decisions about it, for operators",
		details: "Without --from, the flag --workspace is required, because two workspaces can have jobs of the same\n" +
			"name. With --from, the command prints the decisions about the job in order of time, as far as these\n" +
			"instances still have them in memory; an instance keeps its last 4,096 decisions.",
		examples: []example{
			{"baobabquay explain req-proof-17 --workspace foundryA", "see why the job waits"},
			{"baobabquay explain 5c0e7a21d94b36f8 --from 10.1.0.19:7001,10.2.0.35:7001", "see the decisions about the job"},
		},
	}
}

func runJobs(ctx context.Context, inv *invocation) error {
	if err := inv.rejectArgs(); err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		var list wire.JobList
		var err error
		if inv.options.workspace == "" {
			list, err = c.Jobs(ctx)
		} else {
			list, err = c.JobsOf(ctx, inv.options.workspace)
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
		return inv.print(list, t.String())
	})
}

func runExplain(ctx context.Context, inv *invocation) error {
	id, err := inv.singleArg("JOB")
	if err != nil {
		return err
	}
	if inv.options.from != "" {
		return inv.explainFrom(ctx, id)
	}
	if inv.options.workspace == "" {
		return usageErrorf("the flag --workspace is missing")
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		e, err := c.Explain(ctx, inv.options.workspace, id)
		if err != nil {
			return err
		}
		return inv.print(e, "job "+e.ID+"\nstate "+e.State+"\nreason "+e.Reason+"\n")
	})
}

// explainFrom prints the decisions about a job that the instances of the flag
// --from still have in memory. If some instances do not answer, it prints the
// decisions of the others and returns an error.
func (inv *invocation) explainFrom(ctx context.Context, id string) error {
	from, err := parseServers(inv.options.from)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	events, eventsErr := inv.env.Events(ctx, from, id)
	t := table{{"TIME", "INSTANCE", "EVENT", "DECIDEDBY"}}
	for _, e := range events.Events {
		t = append(t, []string{e.At.UTC().Format(eventTimeFormat), e.Instance, e.Name, fieldsText(e.Fields)})
	}
	if err := inv.print(events, t.String()); err != nil {
		return err
	}
	return eventsErr
}

// fieldsText returns the non-empty fields in the order of their names.
func fieldsText(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if text := fmt.Sprint(fields[name]); text != "" {
			parts = append(parts, name+"="+text)
		}
	}
	return strings.Join(parts, " ")
}

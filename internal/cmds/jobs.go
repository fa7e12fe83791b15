package cmds

import (
	"context"
	"strconv"

	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

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
		name: "explain", args: "JOB", run: runExplain, flags: append(serverFlags(), workspaceFlag),
		summary: "tell an operator why a job waits",
		details: "The flag --workspace is required, because two workspaces can have jobs of the same name.",
		examples: []example{
			{"baobabquay explain req-proof-17 --workspace foundryA", "see what the job waits for"},
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

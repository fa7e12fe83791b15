package cmds

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/inifmt"
	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// appliedJSON is the result of a change: its version and the version that it
// replaced.
type appliedJSON struct {
	Version int64 `json:"version"`
	Base    int64 `json:"base"`
}

var inForceFlag = flag{
	long: "in-force", short: "i", summary: "use the configuration in force at the server",
	boolVar: func(o *options) *bool { return &o.inForce },
}

// newApplyCommand returns the command that changes the configuration in force.
func newApplyCommand() *command {
	return &command{
		name: "apply", args: "FILE...", run: runApply,
		summary: "put the configuration of a base file and its overlays in force",
		details: filesHelp + "\n\nThe change is accepted only if the version that it is based on is still in force. This version is\n" +
			"--base, by default the version in force when the command starts. A conflict (exit code 4) changes\n" +
			"nothing. After an unknown outcome (exit code 5) \"config diff --in-force\" shows whether the change\n" +
			"was accepted.",
		flags: append(serverFlags(), flag{
			long: "base", short: "b", arg: "VERSION", summary: "version that the change is based on",
			stringVar: func(o *options) *string { return &o.base },
		}),
		examples: []example{
			{"baobabquay config apply base.ini erdenet.ini", "replace the version in force"},
			{"baobabquay config apply base.ini --base 12", "replace version 12 and no other"},
		},
	}
}

func runApply(ctx context.Context, inv *invocation) error {
	base := int64(-1)
	if text := inv.options.base; text != "" {
		var err error
		if base, err = strconv.ParseInt(text, 10, 64); err != nil || base < 0 {
			return usageErrorf("invalid base version %q: must be 0 or higher", text)
		}
	}
	r, err := inv.readFiles(ctx, append(inv.args, inv.rest...))
	if err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		if base < 0 {
			current, err := c.Config(ctx)
			if err != nil {
				return fmt.Errorf("read the version in force: %w", err)
			}
			base = current.Version
		}
		accepted, err := c.ApplyConfig(ctx, wire.ConfigChange{Base: base, Text: inifmt.Write(r.Config)})
		if exitCodeOf(err) == Conflict {
			return fmt.Errorf("nothing was changed; compare with \"config diff --in-force\" and apply again: %w", err)
		}
		if err != nil {
			return err
		}
		return inv.print(appliedJSON{accepted.Version, base},
			fmt.Sprintf("version %d accepted in place of version %d\n", accepted.Version, base))
	})
}

// readInForce reads the configuration in force from the server. Before the first
// change, at version 0, it is empty but for the default limits.
func (inv *invocation) readInForce(ctx context.Context, c *client.Client) (wire.Config, *config.Config, error) {
	current, err := c.Config(ctx)
	if err != nil {
		return current, nil, err
	}
	if current.Version == 0 {
		return current, &config.Config{Limits: config.DefaultLimits()}, nil
	}
	r, err := inifmt.Read(ctx, inifmt.Source{File: fmt.Sprintf("version %d", current.Version), Text: current.Text})
	if err != nil {
		return current, nil, fmt.Errorf("parse configuration from server: %w", err)
	}
	return current, r.Config, nil
}

func (inv *invocation) showInForce(ctx context.Context) error {
	if err := inv.rejectArgs(); err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		current, parsed, err := inv.readInForce(ctx, c)
		if err != nil {
			return err
		}
		result := valuesJSON{Version: current.Version}
		for _, v := range parsed.Values() {
			result.Values = append(result.Values, valueJSON{Kind: v.Path.Kind, Name: v.Path.Name, Key: v.Path.Field, Value: v.Text})
		}
		return inv.print(result, current.Text)
	})
}

// diffInForce prints the changes from the configuration in force to the files. It
// omits homes that no file sets, because they are computed when a change is
// committed.
func (inv *invocation) diffInForce(ctx context.Context) error {
	changed, err := inv.readFiles(ctx, append(inv.args, inv.rest...))
	if err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		_, old, err := inv.readInForce(ctx, c)
		if err != nil {
			return err
		}
		changes := config.Diff(old, changed.Config)
		return inv.printChanges(slices.DeleteFunc(changes, func(ch config.Change) bool {
			return ch.Path.Field == config.FieldHomes && ch.New == ""
		}))
	})
}

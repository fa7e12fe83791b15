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

// appliedForm is the version that a change made.
type appliedForm struct {
	Version int64 `json:"version"`
	Base    int64 `json:"base"`
}

var inForceFlag = flag{
	long: "in-force", short: "i", summary: "use the configuration in force at the server",
	truth: func(o *options) *bool { return &o.inForce },
}

// newApply returns the command that changes the configuration in force.
func newApply() *command {
	return &command{
		name: "apply", args: "FILE...", run: runApply,
		summary: "put the configuration of a base file and its overlays in force",
		details: filesHelp + "\n\nThe change is accepted only if the version in force is still the one that it is based on, which\n" +
			"is --base or else the version in force when the command starts. After a conflict (exit code 4)\n" +
			"nothing was changed. After an unknown outcome (exit code 5) \"config diff --in-force\" shows whether\n" +
			"the change was accepted.",
		flags: append(serverFlags(), flag{
			long: "base", short: "b", arg: "VERSION", summary: "version that the change is based on",
			text: func(o *options) *string { return &o.base },
		}),
		examples: []example{
			{"baobabquay config apply base.ini erdenet.ini", "replace the version in force"},
			{"baobabquay config apply base.ini --base 12", "replace version 12 and no other"},
		},
	}
}

func runApply(ctx context.Context, c *call) error {
	base := int64(-1)
	if text := c.options.base; text != "" {
		var err error
		if base, err = strconv.ParseInt(text, 10, 64); err != nil || base < 0 {
			return usageErrorf("base %q, allowed is a version, 0 or higher", text)
		}
	}
	r, err := c.read(ctx, append(c.args, c.rest...))
	if err != nil {
		return err
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		if base < 0 {
			present, err := cl.Config(ctx)
			if err != nil {
				return fmt.Errorf("read the version in force: %w", err)
			}
			base = present.Version
		}
		accepted, err := cl.ApplyConfig(ctx, wire.ConfigChange{Base: base, Text: inifmt.Write(r.Config)})
		if codeOf(err) == Conflict {
			return fmt.Errorf("nothing was changed; compare with \"config diff --in-force\" and apply again: %w", err)
		}
		if err != nil {
			return err
		}
		return c.print(appliedForm{accepted.Version, base},
			fmt.Sprintf("version %d accepted in place of version %d\n", accepted.Version, base))
	})
}

// inForce reads the configuration in force.
func (c *call) inForce(ctx context.Context, cl *client.Client) (wire.Config, *config.Config, error) {
	present, err := cl.Config(ctx)
	if err != nil {
		return present, nil, err
	}
	if present.Version == 0 {
		return present, &config.Config{Limits: config.DefaultLimits()}, nil
	}
	r, err := inifmt.Read(ctx, inifmt.Source{File: fmt.Sprintf("version %d", present.Version), Text: present.Text})
	if err != nil {
		return present, nil, fmt.Errorf("read what the server sent: %w", err)
	}
	return present, r.Config, nil
}

func (c *call) showInForce(ctx context.Context) error {
	if err := c.refuseArgs(); err != nil {
		return err
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		present, parsed, err := c.inForce(ctx, cl)
		if err != nil {
			return err
		}
		f := valuesForm{Version: present.Version}
		for _, v := range parsed.Values() {
			f.Values = append(f.Values, valueForm{Kind: v.Path.Kind, Name: v.Path.Name, Key: v.Path.Field, Value: v.Text})
		}
		return c.print(f, present.Text)
	})
}

// diffInForce leaves out homes that no file names: they are computed when a
// change is committed.
func (c *call) diffInForce(ctx context.Context) error {
	changed, err := c.read(ctx, append(c.args, c.rest...))
	if err != nil {
		return err
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		_, old, err := c.inForce(ctx, cl)
		if err != nil {
			return err
		}
		changes := config.Diff(old, changed.Config)
		return c.printChanges(slices.DeleteFunc(changes, func(ch config.Change) bool {
			return ch.Path.Field == config.FieldHomes && ch.New == ""
		}))
	})
}

package cmds

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/inifmt"
)

const filesHelp = "The first FILE is the base, the others are overlays that apply in their order. An overlay\n" +
	"section that the files before it do not have needs the key \"add = true\"; \"remove = true\"\n" +
	"removes a section."

// newConfig returns the commands for configurations.
func newConfig() *command {
	return &command{
		name:    "config",
		summary: "check, show, compare and apply configurations",
		examples: []example{
			{"baobabquay config check base.ini erdenet.ini", "check a base and an overlay"},
			{"baobabquay config show base.ini erdenet.ini", "see which file each value comes from"},
		},
		subs: []*command{
			{
				name: "check", args: "FILE...", run: runCheck,
				summary: "list every mistake in a base file and its overlays",
				details: filesHelp,
				examples: []example{
					{"baobabquay config check base.ini erdenet.ini", "check what the site in Erdenet reads"},
					{"baobabquay config check base.ini --output json", "list mistakes for another program"},
				},
			},
			{
				name: "show", args: "[FILE...]", run: runShow, flags: append(serverFlags(), inForceFlag),
				summary: "print each value in effect and the file and line it comes from",
				details: filesHelp + "\n\nThe output is INI that can be read again. Values that no file has are marked as default.\n" +
					"With --in-force it is the configuration in force, and there are no files.",
				examples: []example{
					{"baobabquay config show base.ini erdenet.ini", "see what the overlay changes, and where"},
					{"baobabquay config show --in-force", "print the configuration in force and its version"},
				},
			},
			{
				name: "diff", args: "FILE... [-- FILE...]", run: runDiff, flags: append(serverFlags(), inForceFlag),
				summary: "list the changes from one configuration to another",
				details: "The files before -- make the old configuration, those after it the new one. With --in-force the\n" +
					"old configuration is the one in force, and all files make the new one.\n" + filesHelp,
				examples: []example{
					{"baobabquay config diff base.ini -- base.ini erdenet.ini", "list what an overlay changes"},
					{"baobabquay config diff old.ini site.ini -- new.ini site.ini", "list the effect of a new base on a site"},
					{"baobabquay config diff --in-force base.ini erdenet.ini", "list what applying the files would change"},
				},
			},
			newApply(),
		},
	}
}

func runCheck(ctx context.Context, c *call) error {
	r, err := c.read(ctx, append(c.args, c.rest...))
	if err != nil {
		return err
	}
	n := r.Config
	f := countsForm{n.Site, len(n.Domains), len(n.Workspaces), len(n.Services), len(n.Operators)}
	return c.print(f, fmt.Sprintf("site %s: no mistakes; domains %d, workspaces %d, services %d, operators %d\n",
		f.Site, f.Domains, f.Workspaces, f.Services, f.Operators))
}

func runShow(ctx context.Context, c *call) error {
	if c.options.inForce {
		return c.showInForce(ctx)
	}
	r, err := c.read(ctx, append(c.args, c.rest...))
	if err != nil {
		return err
	}
	var f valuesForm
	for _, o := range r.Origins {
		p := o.Value.Path
		f.Values = append(f.Values, valueForm{p.Kind, p.Name, p.Field, o.Value.Text, o.Place.File, o.Place.Line})
	}
	return c.print(f, inifmt.WriteOrigins(r.Origins))
}

func runDiff(ctx context.Context, c *call) error {
	if c.options.inForce {
		return c.diffInForce(ctx)
	}
	if len(c.rest) == 0 {
		return usageErrorf("the files of the new configuration are missing; they stand after --")
	}
	old, oldErr := c.read(ctx, c.args)
	changed, newErr := c.read(ctx, c.rest)
	if err := joined(oldErr, newErr); err != nil {
		return err
	}
	return c.printChanges(config.Diff(old.Config, changed.Config))
}

func (c *call) printChanges(changes []config.Change) error {
	f := changesForm{Changes: []changeForm{}}
	var b strings.Builder
	for _, change := range changes {
		p := change.Path
		f.Changes = append(f.Changes, changeForm{change.Op, p.Kind, p.Name, p.Field, change.Old, change.New})
		fmt.Fprintln(&b, change)
	}
	if b.Len() == 0 {
		b.WriteString("no changes\n")
	}
	return c.print(f, b.String())
}

// read returns the configuration of a base file and its overlays.
func (c *call) read(ctx context.Context, files []string) (*inifmt.Result, error) {
	if len(files) == 0 {
		return nil, usageErrorf("a base file is missing")
	}
	sources := make([]inifmt.Source, 0, len(files))
	for _, name := range files {
		b, err := c.env.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read file: %w", err)
		}
		sources = append(sources, inifmt.Source{File: name, Text: string(b)})
	}
	r, err := inifmt.Read(ctx, sources[0], sources[1:]...)
	if err != nil {
		return nil, fmt.Errorf("files %s: %w", strings.Join(files, " "), err)
	}
	return r, nil
}

// joined returns one error with the mistakes of both, each once. An error of
// another kind takes precedence, because it concerns whole files.
func joined(a, b error) error {
	var all, more inifmt.Mistakes
	if a == nil || b == nil || !errors.As(a, &all) || !errors.As(b, &more) {
		return firstOther(a, b)
	}
	all = slices.Clone(all)
	for _, m := range more {
		if !slices.Contains(all, m) {
			all = append(all, m)
		}
	}
	return fmt.Errorf("both configurations: %w", all)
}

// firstOther returns the first error that has no mistakes, or else the first.
func firstOther(list ...error) error {
	var first error
	for _, err := range list {
		var mistakes inifmt.Mistakes
		if err != nil && !errors.As(err, &mistakes) {
			return err
		}
		if first == nil {
			first = err
		}
	}
	return first
}

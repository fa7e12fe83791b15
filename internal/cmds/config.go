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

const filesHelp = "The first FILE is the base, the others are overlays that are applied in the given order. An\n" +
	"overlay section that is not in the files before it needs the key \"add = true\"; \"remove = true\"\n" +
	"removes a section."

// newConfigCommand returns the commands for configurations.
func newConfigCommand() *command {
	return &command{
		name:    "config",
		summary: "check, show, compare and apply configurations",
		examples: []example{
			{"baobabquay config check base.ini erdenet.ini", "check a base and an overlay"},
			{"baobabquay config show base.ini erdenet.ini", "see which file each value comes from"},
		},
		subs: []*command{
			{
				name: "check", args: "FILE...", run: runCheck, flags: []flag{acceleratorsFlag},
				summary: "list every mistake in a base file and its overlays",
				details: filesHelp + "\n\n" + platformHelp + "\nIt is checked on its own, with the flag --accelerators also against the workers.",
				examples: []example{
					{"baobabquay config check base.ini erdenet.ini", "check the configuration of the site in Erdenet"},
					{"baobabquay config check base.ini --output json", "list mistakes for another program"},
					{"baobabquay config check op.json --accelerators 2800", "check the platform's configuration"},
				},
			},
			{
				name: "show", args: "[FILE...]", run: runShow, flags: append(serverFlags(), inForceFlag),
				summary: "print each value in effect and the file and line it comes from",
				details: filesHelp + "\n\nThe output is INI and can be used as a base file. Values that no file sets are marked as default.\n" +
					"With --in-force, the command takes no files and prints the configuration in force.",
				examples: []example{
					{"baobabquay config show base.ini erdenet.ini", "see which values the overlay changes, and where"},
					{"baobabquay config show --in-force", "print the configuration in force and its version"},
				},
			},
			{
				name: "diff", args: "FILE... [-- FILE...]", run: runDiff, flags: append(serverFlags(), inForceFlag),
				summary: "list the changes from one configuration to another",
				details: "The files before -- form the old configuration, the files after -- the new one. With --in-force,\n" +
					"the old configuration is the one in force, and all files form the new one.\n" + filesHelp +
					"\n\n" + platformHelp + "\nTwo versions of it are given as OLD NEW.",
				examples: []example{
					{"baobabquay config diff base.ini -- base.ini erdenet.ini", "list the changes of an overlay"},
					{"baobabquay config diff old.ini site.ini -- new.ini site.ini", "list the effect of a new base on a site"},
					{"baobabquay config diff --in-force base.ini erdenet.ini", "list the changes that applying the files would make"},
					{"baobabquay config diff old.json new.json", "list what a version of the platform's configuration means for callers"},
				},
			},
			newApplyCommand(),
		},
	}
}

func runCheck(ctx context.Context, inv *invocation) error {
	files := slices.Concat(inv.args, inv.rest)
	if inv.holdsPlatformConfig(files) {
		return inv.checkPlatform(files)
	}
	if inv.options.accelerators != "" {
		return usageErrorf("flag --accelerators is for the platform's configuration only")
	}
	r, err := inv.readFiles(ctx, files)
	if err != nil {
		return err
	}
	cfg := r.Config
	result := countsJSON{cfg.Site, len(cfg.Domains), len(cfg.Workspaces), len(cfg.Services), len(cfg.Operators)}
	return inv.print(result, fmt.Sprintf("site %s: no mistakes; domains %d, workspaces %d, services %d, operators %d\n",
		result.Site, result.Domains, result.Workspaces, result.Services, result.Operators))
}

func runShow(ctx context.Context, inv *invocation) error {
	if inv.options.inForce {
		return inv.showInForce(ctx)
	}
	r, err := inv.readFiles(ctx, append(inv.args, inv.rest...))
	if err != nil {
		return err
	}
	var result valuesJSON
	for _, o := range r.Origins {
		p := o.Value.Path
		result.Values = append(result.Values, valueJSON{p.Kind, p.Name, p.Field, o.Value.Text, o.Position.File, o.Position.Line})
	}
	return inv.print(result, inifmt.WriteOrigins(r.Origins))
}

func runDiff(ctx context.Context, inv *invocation) error {
	if inv.options.inForce {
		if inv.holdsPlatformConfig(slices.Concat(inv.args, inv.rest)) {
			return usageErrorf("flag --in-force is not for the platform's configuration")
		}
		return inv.diffInForce(ctx)
	}
	if files := slices.Concat(inv.args, inv.rest); inv.holdsPlatformConfig(files) {
		return inv.diffPlatform(files)
	}
	if len(inv.rest) == 0 {
		return usageErrorf("the files of the new configuration are missing after --")
	}
	old, oldErr := inv.readFiles(ctx, inv.args)
	changed, newErr := inv.readFiles(ctx, inv.rest)
	if err := joinMistakes(oldErr, newErr); err != nil {
		return err
	}
	return inv.printChanges(config.Diff(old.Config, changed.Config))
}

func (inv *invocation) printChanges(changes []config.Change) error {
	result := changesJSON{Changes: []changeJSON{}}
	var b strings.Builder
	for _, change := range changes {
		p := change.Path
		result.Changes = append(result.Changes, changeJSON{change.Op, p.Kind, p.Name, p.Field, change.Old, change.New})
		fmt.Fprintln(&b, change)
	}
	if b.Len() == 0 {
		b.WriteString("no changes\n")
	}
	return inv.print(result, b.String())
}

// readFiles returns the configuration of a base file and its overlays.
func (inv *invocation) readFiles(ctx context.Context, files []string) (*inifmt.Result, error) {
	if len(files) == 0 {
		return nil, usageErrorf("a base file is missing")
	}
	sources := make([]inifmt.Source, 0, len(files))
	for _, name := range files {
		b, err := inv.env.ReadFile(name)
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

// joinMistakes returns one error with the mistakes of both errors, without
// duplicates. An error of another kind takes precedence, because it concerns whole
// files.
func joinMistakes(a, b error) error {
	var all, more inifmt.Mistakes
	if a == nil || b == nil || !errors.As(a, &all) || !errors.As(b, &more) {
		return firstOtherError(a, b)
	}
	all = slices.Clone(all)
	for _, m := range more {
		if !slices.Contains(all, m) {
			all = append(all, m)
		}
	}
	return fmt.Errorf("both configurations: %w", all)
}

// firstOtherError returns the first error that wraps no mistakes, or the first
// error if all of them do.
func firstOtherError(list ...error) error {
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

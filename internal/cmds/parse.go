package cmds

import (
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// errFlaggyPanic is wrapped by errors about arguments for which flaggy panics
// instead of exiting the process.
var errFlaggyPanic = errors.New("argument parser panicked")

// init makes flaggy panic instead of exiting the process; parseWithFlaggy
// recovers from the panic. This is a second safeguard behind the checks in parse,
// which reject such arguments before flaggy sees them.
func init() { flaggy.PanicInsteadOfExit = true }

// parse returns the invocation described by the arguments. The invocation has a
// command even if there is an error, because error messages name the command.
func parse(root *command, args []string) (*invocation, error) {
	inv := &invocation{command: root, options: options{output: textOutput}}
	if i := slices.Index(args, "--"); i >= 0 {
		args, inv.rest = args[:i], args[i+1:]
	}
	if err := checkArgs(args, root.subtreeFlags()); err != nil {
		return inv, err
	}
	if err := inv.parseWithFlaggy(root, args); err != nil {
		return inv, &exitError{Usage, fmt.Errorf("parse arguments: %w", err)}
	}
	if err := checkArgs(args, inv.command.acceptedFlags()); err != nil {
		return inv, err
	}
	if o := inv.options.output; o != textOutput && o != jsonOutput {
		return inv, usageErrorf("invalid output format %q: must be text or json", o)
	}
	return inv, nil
}

// parseWithFlaggy sets the command, options and args of inv.
func (inv *invocation) parseWithFlaggy(root *command, args []string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errFlaggyPanic, r)
		}
	}()
	p := flaggy.NewParser(root.name)
	p.ShowCompletion = false
	p.ShowHelpWithHFlag = false
	p.ShowVersionWithVersionFlag = false
	// Arguments that are neither flags nor commands become trailing arguments, so
	// that a command can take any number of files.
	p.ShowHelpOnUnexpected = false
	commands := map[*flaggy.Subcommand]*command{}
	inv.attach(&p.Subcommand, root, commands)
	if err := p.ParseArgs(args); err != nil {
		return fmt.Errorf("flaggy: %w", err)
	}
	inv.command = commands[p.TrailingSubcommand()]
	inv.args = p.TrailingArguments
	return nil
}

// attach adds the flags and subcommands of cmd to node, recursively, and records
// the command of each node in commands.
func (inv *invocation) attach(node *flaggy.Subcommand, cmd *command, commands map[*flaggy.Subcommand]*command) {
	commands[node] = cmd
	for _, f := range cmd.flags {
		if f.boolVar != nil {
			node.Bool(f.boolVar(&inv.options), f.short, f.long, f.summary)
		} else {
			node.String(f.stringVar(&inv.options), f.short, f.long, f.summary)
		}
	}
	for _, sub := range cmd.subs {
		child := flaggy.NewSubcommand(sub.name)
		child.Description = sub.summary
		node.AttachSubcommand(child, 1)
		inv.attach(child, sub, commands)
	}
}

// checkArgs rejects the arguments for which flaggy prints a message and exits, or
// which flaggy skips: empty arguments, unknown flags, and a last flag without its
// value.
func checkArgs(args []string, flags []flag) error {
	for i := 0; i < len(args); i++ {
		if args[i] == "" {
			return usageErrorf("argument %d is empty", i+1)
		}
		if args[i][0] != '-' {
			continue
		}
		name, _, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		index := slices.IndexFunc(flags, func(f flag) bool { return name == f.long || name == f.short })
		if name == "" || index < 0 {
			return usageErrorf("unknown flag %q", args[i])
		}
		if flags[index].boolVar != nil || hasValue {
			continue
		}
		i++
		if i == len(args) {
			return usageErrorf("flag %q needs a value", args[i-1])
		}
	}
	return nil
}

package cmds

import (
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// errParser is wrapped by errors about arguments at which flaggy wants to end
// the process.
var errParser = errors.New("arguments not understood")

// init makes flaggy panic where it would end the process; parse recovers. This
// is a second line of defence behind the checks in parse.
func init() { flaggy.PanicInsteadOfExit = true }

// parse returns the call that the arguments ask for. The call has a command
// even when there is an error, for the message.
func parse(root *command, args []string) (*call, error) {
	c := &call{command: root, options: options{output: textOutput}}
	if i := slices.Index(args, "--"); i >= 0 {
		args, c.rest = args[:i], args[i+1:]
	}
	if err := checkArgs(args, root.treeFlags()); err != nil {
		return c, err
	}
	if err := c.parseFlaggy(root, args); err != nil {
		return c, &codeError{Usage, fmt.Errorf("parse arguments: %w", err)}
	}
	if err := checkArgs(args, c.command.allFlags()); err != nil {
		return c, err
	}
	if o := c.options.output; o != textOutput && o != jsonOutput {
		return c, usageErrorf("output %q, allowed are text and json", o)
	}
	return c, nil
}

// parseFlaggy sets the command, options and args of c.
func (c *call) parseFlaggy(root *command, args []string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errParser, r)
		}
	}()
	p := flaggy.NewParser(root.name)
	p.ShowCompletion = false
	p.ShowHelpWithHFlag = false
	p.ShowVersionWithVersionFlag = false
	// Arguments that are neither flags nor commands become trailing arguments,
	// which allows any number of files.
	p.ShowHelpOnUnexpected = false
	commands := map[*flaggy.Subcommand]*command{}
	c.attach(&p.Subcommand, root, commands)
	if err := p.ParseArgs(args); err != nil {
		return fmt.Errorf("flaggy: %w", err)
	}
	c.command = commands[p.TrailingSubcommand()]
	c.args = p.TrailingArguments
	return nil
}

func (c *call) attach(node *flaggy.Subcommand, m *command, commands map[*flaggy.Subcommand]*command) {
	commands[node] = m
	for _, f := range m.flags {
		if f.truth != nil {
			node.Bool(f.truth(&c.options), f.short, f.long, f.summary)
		} else {
			node.String(f.text(&c.options), f.short, f.long, f.summary)
		}
	}
	for _, sub := range m.subs {
		child := flaggy.NewSubcommand(sub.name)
		child.Description = sub.summary
		node.AttachSubcommand(child, 1)
		c.attach(child, sub, commands)
	}
}

// checkArgs refuses the arguments at which flaggy prints and exits, or which it
// skips: empty ones, unknown flags, and a last flag without its value.
func checkArgs(args []string, flags []flag) error {
	for i := 0; i < len(args); i++ {
		if args[i] == "" {
			return usageErrorf("argument %d is empty", i+1)
		}
		if args[i][0] != '-' {
			continue
		}
		name, _, joined := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		at := slices.IndexFunc(flags, func(f flag) bool { return name == f.long || name == f.short })
		if name == "" || at < 0 {
			return usageErrorf("unknown flag %q", args[i])
		}
		if flags[at].truth != nil || joined {
			continue
		}
		i++
		if i == len(args) {
			return usageErrorf("flag %q needs a value", args[i-1])
		}
	}
	return nil
}

package cmds

import (
	"context"
	"slices"
)

type (
	// command is a node of the command tree. A command with subcommands has no
	// run function.
	command struct {
		name string
		// path is the full name, such as "baobabquay config check". It is set
		// by link.
		path    string
		parent  *command
		args    string
		summary string
		// details is an optional longer help text.
		details  string
		examples []example
		flags    []flag
		subs     []*command
		run      func(ctx context.Context, inv *invocation) error
	}

	// example is a command line and its purpose.
	example struct{ line, purpose string }

	// flag is an option of a command and of all commands below it. Exactly one
	// of stringVar and boolVar is set; it returns the variable that receives the
	// flag's value.
	flag struct {
		long      string
		short     string
		arg       string
		summary   string
		stringVar func(o *options) *string
		boolVar   func(o *options) *bool
	}

	// options holds the values of all flags.
	options struct {
		help    bool
		output  string
		server  string
		key     string
		timeout string
		// base and inForce are flags of the config commands.
		base         string
		inForce      bool
		accelerators string
		// workspace is the workspace that an operator queries.
		workspace string
		// from lists the metrics addresses of the instances whose decisions are
		// printed.
		from    string
		job     jobOptions
		request requestOptions
	}

	// invocation is one run of a command with its flags and arguments.
	invocation struct {
		env     Env
		command *command
		options options
		// args holds the arguments before "--" that are not flags, rest the
		// arguments after "--".
		args []string
		rest []string
	}
)

// Values of the flag --output.
const (
	textOutput = "text"
	jsonOutput = "json"
)

// newRootCommand returns the tree of all commands.
func newRootCommand() *command {
	root := &command{
		name:    "baobabquay",
		summary: "client of baobabquay, a scheduler for multi-accelerator jobs",
		examples: []example{
			{"baobabquay config check base.ini erdenet.ini", "check a base and an overlay"},
			{"baobabquay key generate", "generate a key and its hash"},
			{"baobabquay config diff --help", "print the help of one command"},
		},
		flags: []flag{
			{
				long: "output", short: "o", arg: "FORMAT", summary: "text or json (default text)",
				stringVar: func(o *options) *string { return &o.output },
			},
			{
				long: "help", short: "h", summary: "print this help",
				boolVar: func(o *options) *bool { return &o.help },
			},
		},
		subs: []*command{
			// Commands that need no server.
			newConfigCommand(),
			newKeyCommand(),
			// Commands that need a server.
			newWorkspaceCommand(),
			newServiceCommand(),
			newDomainCommand(),
			newStatusCommand(),
			newJobsCommand(),
			newExplainCommand(),
			newJobCommand(),
			newRequestCommand(),
		},
	}
	root.link(nil)
	return root
}

// link sets the parent and the path of cmd and of all commands below it.
func (cmd *command) link(parent *command) {
	cmd.parent, cmd.path = parent, cmd.name
	if parent != nil {
		cmd.path = parent.path + " " + cmd.name
	}
	for _, sub := range cmd.subs {
		sub.link(cmd)
	}
}

// acceptedFlags returns the flags of cmd and of all commands above it.
func (cmd *command) acceptedFlags() []flag {
	if cmd == nil {
		return nil
	}
	return append(slices.Clone(cmd.flags), cmd.parent.acceptedFlags()...)
}

// subtreeFlags returns the flags of cmd and of all commands below it.
func (cmd *command) subtreeFlags() []flag {
	flags := slices.Clone(cmd.flags)
	for _, sub := range cmd.subs {
		flags = append(flags, sub.subtreeFlags()...)
	}
	return flags
}

func (inv *invocation) execute(ctx context.Context) error {
	if inv.options.help {
		return inv.printHelp()
	}
	if inv.command.run != nil {
		return inv.command.run(ctx, inv)
	}
	if len(inv.args) > 0 {
		return usageErrorf("unknown command %q", inv.args[0])
	}
	return usageErrorf("a command is missing")
}

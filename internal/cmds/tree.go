package cmds

import (
	"context"
	"slices"
)

type (
	// command is a node of the tree. A command with subcommands has no run.
	command struct {
		name string
		// path is the full name, set by link.
		path    string
		parent  *command
		args    string
		summary string
		// details is the longer help text. It may be empty.
		details  string
		examples []example
		flags    []flag
		subs     []*command
		run      func(ctx context.Context, c *call) error
	}

	// example is a command line with what it does.
	example struct{ line, does string }

	// flag is an option of a command and of all commands below it. Either text
	// or truth is set; it returns where the flag's value is kept.
	flag struct {
		long    string
		short   string
		arg     string
		summary string
		text    func(o *options) *string
		truth   func(o *options) *bool
	}

	// options are the values of all flags.
	options struct {
		help    bool
		output  string
		server  string
		key     string
		timeout string
		// base and inForce belong to the commands for configurations.
		base    string
		inForce bool
		// workspace is the one that an operator asks about.
		workspace string
		// from lists the instances whose decisions are printed.
		from    string
		job     jobOptions
		request requestOptions
	}

	// call is one run of a command.
	call struct {
		env     Env
		command *command
		options options
		// args are the arguments that are no flags; rest are those after "--".
		args []string
		rest []string
	}
)

// Values of the flag --output.
const (
	textOutput = "text"
	jsonOutput = "json"
)

// newRoot returns the tree of all commands.
func newRoot() *command {
	root := &command{
		name:    "baobabquay",
		summary: "client of baobabquay, a scheduler for multi-accelerator jobs",
		examples: []example{
			{"baobabquay config check base.ini erdenet.ini", "check a base and an overlay"},
			{"baobabquay key generate", "make a key and its hash"},
			{"baobabquay config diff --help", "see how to use one command"},
		},
		flags: []flag{
			{
				long: "output", short: "o", arg: "FORMAT", summary: "text or json (default text)",
				text: func(o *options) *string { return &o.output },
			},
			{
				long: "help", short: "h", summary: "print this help",
				truth: func(o *options) *bool { return &o.help },
			},
		},
		subs: []*command{
			// Commands that need no server.
			newConfig(),
			newKey(),
			// Commands that need a server.
			newWorkspace(),
			newService(),
			newDomain(),
			newStatus(),
			newJobs(),
			newExplain(),
			newJob(),
			newRequest(),
		},
	}
	root.link(nil)
	return root
}

func (m *command) link(parent *command) {
	m.parent, m.path = parent, m.name
	if parent != nil {
		m.path = parent.path + " " + m.name
	}
	for _, sub := range m.subs {
		sub.link(m)
	}
}

// allFlags returns the flags of m and of the commands above it.
func (m *command) allFlags() []flag {
	if m == nil {
		return nil
	}
	return append(slices.Clone(m.flags), m.parent.allFlags()...)
}

// treeFlags returns the flags of m and of the commands below it.
func (m *command) treeFlags() []flag {
	flags := slices.Clone(m.flags)
	for _, sub := range m.subs {
		flags = append(flags, sub.treeFlags()...)
	}
	return flags
}

func (c *call) execute(ctx context.Context) error {
	if c.options.help {
		return c.printHelp()
	}
	if c.command.run != nil {
		return c.command.run(ctx, c)
	}
	if len(c.args) > 0 {
		return usageErrorf("unknown command %q", c.args[0])
	}
	return usageErrorf("a command is missing")
}

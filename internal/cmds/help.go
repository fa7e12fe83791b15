package cmds

import (
	"fmt"
	"strings"
)

const exitCodes = `Exit codes:
  0  done
  1  failed, for example because a file cannot be read
  2  invalid usage
  3  mistakes in the configuration
  4  conflict with a concurrent change; nothing was changed
  5  outcome unknown: the call may have taken effect
`

// printHelp prints the help text of the invoked command.
func (inv *invocation) printHelp() error {
	var b strings.Builder
	cmd := inv.command
	// The usage line has the flags first, because arguments after "--" are
	// parsed as files.
	fmt.Fprintf(&b, "%s: %s\n\nUsage:\n  %s [FLAGS]", cmd.path, cmd.summary, cmd.path)
	if len(cmd.subs) > 0 {
		b.WriteString(" COMMAND")
	}
	if cmd.args != "" {
		b.WriteString(" " + cmd.args)
	}
	b.WriteString("\n\n")
	if cmd.details != "" {
		b.WriteString(cmd.details + "\n\n")
	}
	writeCommands(&b, cmd)
	writeFlags(&b, cmd.acceptedFlags())
	writeExamples(&b, cmd)
	b.WriteString(exitCodes)
	if _, err := inv.env.Out.Write([]byte(b.String())); err != nil {
		return fmt.Errorf("print help: %w", err)
	}
	return nil
}

func writeCommands(b *strings.Builder, cmd *command) {
	if len(cmd.subs) == 0 {
		return
	}
	b.WriteString("Commands:\n")
	writeTable(b, len(cmd.subs), func(i int) (string, string) { return cmd.subs[i].name, cmd.subs[i].summary })
}

func writeFlags(b *strings.Builder, flags []flag) {
	b.WriteString("Flags:\n")
	writeTable(b, len(flags), func(i int) (string, string) {
		f := flags[i]
		if f.short == "" {
			return strings.TrimRight(fmt.Sprintf("    --%s %s", f.long, f.arg), " "), f.summary
		}
		return strings.TrimSpace(fmt.Sprintf("-%s, --%s %s", f.short, f.long, f.arg)), f.summary
	})
}

func writeExamples(b *strings.Builder, cmd *command) {
	if len(cmd.examples) == 0 {
		return
	}
	b.WriteString("Examples:\n")
	for _, e := range cmd.examples {
		fmt.Fprintf(b, "  # %s\n  %s\n", e.purpose, e.line)
	}
	b.WriteString("\n")
}

// writeTable writes n rows with two aligned columns.
func writeTable(b *strings.Builder, n int, row func(i int) (string, string)) {
	width := 0
	for i := range n {
		left, _ := row(i)
		width = max(width, len(left))
	}
	for i := range n {
		left, right := row(i)
		fmt.Fprintf(b, "  %-*s  %s\n", width, left, right)
	}
	b.WriteString("\n")
}

package cmds

import (
	"fmt"
	"strings"
)

const exitCodes = `Exit codes:
  0  done
  1  failed, for example because a file cannot be read
  2  wrong usage
  3  mistakes in the configuration
  4  conflict with a change that somebody else made; nothing was changed
  5  outcome unknown: the call may have had its effect
`

// printHelp prints the help text of the command.
func (c *call) printHelp() error {
	var b strings.Builder
	m := c.command
	// The flags stand first: after "--" they would be taken for files.
	fmt.Fprintf(&b, "%s: %s\n\nUsage:\n  %s [FLAGS]", m.path, m.summary, m.path)
	if len(m.subs) > 0 {
		b.WriteString(" COMMAND")
	}
	if m.args != "" {
		b.WriteString(" " + m.args)
	}
	b.WriteString("\n\n")
	if m.details != "" {
		b.WriteString(m.details + "\n\n")
	}
	writeCommands(&b, m)
	writeFlags(&b, m.allFlags())
	writeExamples(&b, m)
	b.WriteString(exitCodes)
	if _, err := c.env.Out.Write([]byte(b.String())); err != nil {
		return fmt.Errorf("print help: %w", err)
	}
	return nil
}

func writeCommands(b *strings.Builder, m *command) {
	if len(m.subs) == 0 {
		return
	}
	b.WriteString("Commands:\n")
	writeTable(b, len(m.subs), func(i int) (string, string) { return m.subs[i].name, m.subs[i].summary })
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

func writeExamples(b *strings.Builder, m *command) {
	if len(m.examples) == 0 {
		return
	}
	b.WriteString("Examples:\n")
	for _, e := range m.examples {
		fmt.Fprintf(b, "  # %s\n  %s\n", e.does, e.line)
	}
	b.WriteString("\n")
}

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

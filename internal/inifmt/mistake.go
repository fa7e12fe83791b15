package inifmt

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/baobabquay/baobabquay/internal/config"
)

type (
	// Position is a position in a file.
	Position struct {
		File string
		// Line is the line number, starting at 1, or 0 for the whole file.
		Line int
	}

	// Mistake is one mistake in a file.
	Mistake struct {
		Position Position
		// Section is the header of the section without brackets. It is empty
		// for a mistake that is not assigned to a section.
		Section string
		// Key is empty for a mistake that concerns the whole section.
		Key string
		// Detail describes the mistake.
		Detail string
		// Allowed describes what is valid. It may be empty.
		Allowed string
	}

	// Mistakes are all mistakes in the files of one call of Read, sorted by
	// file, in the order of the arguments, and by line.
	Mistakes []Mistake
)

// Error returns one line for each mistake.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, mistake := range m {
		lines = append(lines, mistake.Error())
	}
	return strings.Join(lines, "\n")
}

// Error returns a line such as
// `base.ini:7: [domain "ub1"] inService: "yes": not a Boolean value; allowed: true or false`.
func (m Mistake) Error() string {
	var b strings.Builder
	b.WriteString(m.Position.String() + ": ")
	if m.Section != "" {
		fmt.Fprintf(&b, "[%s] ", m.Section)
	}
	if m.Key != "" {
		b.WriteString(m.Key + ": ")
	}
	b.WriteString(m.Detail)
	if m.Allowed != "" {
		b.WriteString("; allowed: " + m.Allowed)
	}
	return b.String()
}

// String returns "file:line", or "file" if the line is 0.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// sorted sorts m in place by the order of the sources and by line, and returns it.
func (m Mistakes) sorted(sources []Source) Mistakes {
	rank := make(map[string]int)
	for i, s := range sources {
		if _, ok := rank[s.File]; !ok {
			rank[s.File] = i
		}
	}
	slices.SortStableFunc(m, func(a, b Mistake) int {
		return cmp.Or(
			cmp.Compare(rank[a.Position.File], rank[b.Position.File]),
			cmp.Compare(a.Position.Line, b.Position.Line),
		)
	})
	return m
}

// header returns the header of the section of a part, without brackets.
func header(part config.Path) string {
	if part.Kind.IsNamed() {
		return fmt.Sprintf(`%s "%s"`, part.Kind, part.Name)
	}
	return string(part.Kind)
}

package inifmt

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/baobabquay/baobabquay/internal/config"
)

type (
	// Place is a place in a file.
	Place struct {
		File string
		// Line counts from 1. It is 0 where no line of a file is meant.
		Line int
	}

	// Mistake is one mistake in a file.
	Mistake struct {
		Place Place
		// Section is the section's header without brackets. It is empty for a
		// mistake outside of sections.
		Section string
		// Key is empty for a mistake that concerns the whole section.
		Key string
		// Detail tells what is wrong.
		Detail string
		// Allowed tells what would be right. It may be empty.
		Allowed string
	}

	// Mistakes are all mistakes of the files of one Read, sorted by file in the
	// order of reading, then by line.
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
// `base.ini:7: [domain "ub1"] inService: "yes" is not a truth value; allowed: true or false`.
func (m Mistake) Error() string {
	var b strings.Builder
	b.WriteString(m.Place.String() + ": ")
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

// String returns "file:line", or "file" where the line is 0.
func (p Place) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// sorted sorts by the order in which the files are read, then by line.
func (m Mistakes) sorted(sources []Source) Mistakes {
	rank := make(map[string]int)
	for i, s := range sources {
		if _, ok := rank[s.File]; !ok {
			rank[s.File] = i
		}
	}
	slices.SortStableFunc(m, func(a, b Mistake) int {
		return cmp.Or(
			cmp.Compare(rank[a.Place.File], rank[b.Place.File]),
			cmp.Compare(a.Place.Line, b.Place.Line),
		)
	})
	return m
}

// header returns the header of a part's section without brackets.
func header(part config.Path) string {
	if part.Kind.IsNamed() {
		return fmt.Sprintf(`%s "%s"`, part.Kind, part.Name)
	}
	return string(part.Kind)
}

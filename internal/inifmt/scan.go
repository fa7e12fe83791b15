package inifmt

import (
	"strings"
	"unicode/utf8"
)

type (
	// scanned is a file whose lines are all well formed.
	scanned struct {
		// text is the file with malformed lines blanked, so that the INI parser,
		// which stops at the first malformed line, reads the others.
		text  string
		heads []head
	}

	// head tells where a section and its keys stand. The INI parser keeps no
	// line numbers.
	head struct {
		line int
		keys map[string]int
	}

	scanner struct {
		file     string
		out      scanned
		mistakes Mistakes
		// skip is set after a malformed header: the keys below it belong to no
		// known section.
		skip bool
	}
)

const (
	byteOrderMark = "\ufeff"
	lineAllowed   = "[section], key = value, or a comment after # or ;"
)

// scan checks each line of a file by itself.
func scan(src Source) (scanned, Mistakes) {
	s := scanner{file: src.File}
	if !utf8.ValidString(src.Text) {
		s.add(0, "the file is not UTF-8 text", "UTF-8")
		return s.out, s.mistakes
	}
	lines := strings.Split(strings.TrimLeft(src.Text, byteOrderMark), "\n")
	for i, line := range lines {
		line = strings.TrimSpace(line)
		if !s.accepts(i+1, line) {
			line = ""
		}
		lines[i] = line
	}
	s.out.text = strings.Join(lines, "\n")
	return s.out, s.mistakes
}

func (s *scanner) accepts(n int, line string) bool {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return true
	case line[0] == '[':
		return s.acceptsHeader(n, line)
	case s.skip:
		return false
	}
	return s.acceptsKey(n, line)
}

func (s *scanner) acceptsHeader(n int, line string) bool {
	end := strings.LastIndexByte(line, ']')
	s.skip = end <= 1
	if s.skip {
		s.add(n, "malformed section header", lineAllowed)
		return false
	}
	rest := strings.TrimSpace(line[end+1:])
	if rest != "" && rest[0] != '#' && rest[0] != ';' {
		s.add(n, "text after a section header", lineAllowed)
	}
	s.out.heads = append(s.out.heads, head{n, make(map[string]int)})
	return true
}

func (s *scanner) acceptsKey(n int, line string) bool {
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || key == "":
		s.add(n, "a line that is no INI", lineAllowed)
	case strings.ContainsAny(key[:1], "\"`"):
		s.add(n, "a quoted key", "keys without quotes")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.add(n, "a value over several lines", "values on one line")
	case len(s.out.heads) == 0:
		s.add(n, "a key outside of a section", "keys below a [section]")
	default:
		keys := s.out.heads[len(s.out.heads)-1].keys
		if keys[key] == 0 {
			keys[key] = n
		}
		return true
	}
	return false
}

// add records a mistake without the line's text, which may hold a plain key.
func (s *scanner) add(line int, detail, allowed string) {
	s.mistakes = append(s.mistakes, Mistake{
		Place: Place{s.file, line}, Detail: detail, Allowed: allowed,
	})
}

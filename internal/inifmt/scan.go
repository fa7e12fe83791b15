package inifmt

import (
	"strings"
	"unicode/utf8"
)

type (
	// scanResult is a file without malformed lines.
	scanResult struct {
		// text is the file with malformed lines blanked. The INI library stops
		// at the first malformed line and would not parse the others.
		text     string
		sections []sectionLines
	}

	// sectionLines contains the line numbers of a section header and of the
	// keys of the section. The INI library does not report line numbers.
	sectionLines struct {
		line int
		keys map[string]int
	}

	// scanner checks the lines of one file.
	scanner struct {
		file     string
		result   scanResult
		mistakes Mistakes
		// skipKeys is set after a malformed header, because the keys below it
		// belong to no known section.
		skipKeys bool
	}
)

const (
	byteOrderMark = "\ufeff"
	lineAllowed   = "[section], key = value, or a comment after # or ;"
)

// scan checks the form of each line of a file, independently of the others.
func scan(src Source) (scanResult, Mistakes) {
	s := scanner{file: src.File}
	if !utf8.ValidString(src.Text) {
		s.add(0, "the file is not UTF-8 text", "UTF-8")
		return s.result, s.mistakes
	}
	lines := strings.Split(strings.TrimLeft(src.Text, byteOrderMark), "\n")
	for i, line := range lines {
		line = strings.TrimSpace(line)
		if !s.accepts(i+1, line) {
			line = ""
		}
		lines[i] = line
	}
	s.result.text = strings.Join(lines, "\n")
	return s.result, s.mistakes
}

// accepts records the mistakes of line n and reports whether the INI library can
// parse it. It rejects the keys below a malformed header without a mistake.
func (s *scanner) accepts(n int, line string) bool {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return true
	case line[0] == '[':
		return s.acceptsHeader(n, line)
	case s.skipKeys:
		return false
	}
	return s.acceptsKey(n, line)
}

func (s *scanner) acceptsHeader(n int, line string) bool {
	end := strings.LastIndexByte(line, ']')
	s.skipKeys = end <= 1
	if s.skipKeys {
		s.add(n, "malformed section header", lineAllowed)
		return false
	}
	rest := strings.TrimSpace(line[end+1:])
	if rest != "" && rest[0] != '#' && rest[0] != ';' {
		s.add(n, "text after a section header", lineAllowed)
	}
	s.result.sections = append(s.result.sections, sectionLines{n, make(map[string]int)})
	return true
}

func (s *scanner) acceptsKey(n int, line string) bool {
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || key == "":
		s.add(n, "not a section header, a key or a comment", lineAllowed)
	case strings.ContainsAny(key[:1], "\"`"):
		s.add(n, "quoted key", "keys without quotes")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.add(n, "multi-line value", "values on one line")
	case len(s.result.sections) == 0:
		s.add(n, "key outside any section", "keys below a [section] header")
	default:
		keys := s.result.sections[len(s.result.sections)-1].keys
		if keys[key] == 0 {
			keys[key] = n
		}
		return true
	}
	return false
}

// add records a mistake without the text of the line, which can contain a plain
// key.
func (s *scanner) add(line int, detail, allowed string) {
	s.mistakes = append(s.mistakes, Mistake{
		Position: Position{s.file, line}, Detail: detail, Allowed: allowed,
	})
}

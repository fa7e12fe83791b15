package inifmt

import (
	"fmt"

	"gopkg.in/ini.v1"

	"github.com/baobabquay/baobabquay/internal/config"
)

type (
	// layer contains the sections of one file.
	layer struct {
		file     string
		sections []*section
	}

	// section contains the entries of the files for one part.
	section struct {
		part config.Path
		// pos is the position of the first header of the section.
		pos     Position
		entries map[config.Field]entry
	}

	// entry is the value of a key.
	entry struct {
		// value is nil if its text is malformed.
		value any
		pos   Position
	}

	// parser converts one file into a layer.
	parser struct {
		layer    layer
		seen     map[config.Path]bool
		mistakes Mistakes
	}
)

// loadOptions makes the INI library keep all values of repeated sections and
// keys, so that repetitions are reported. A comment after a value needs a space
// before it, so that no value is truncated without a mistake.
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// parse returns the known sections of a file, and its mistakes.
func parse(src Source) (layer, Mistakes) {
	p := parser{layer: layer{file: src.File}, seen: make(map[config.Path]bool)}
	scanned, mistakes := scan(src)
	p.mistakes = mistakes
	file, err := ini.LoadSources(loadOptions, []byte(scanned.text))
	if err != nil {
		p.add(Position{File: src.File}, "", "", err.Error(), "")
		return p.layer, p.mistakes
	}
	// The first section of the library holds the keys above all headers, which
	// scan rejects.
	for i, iniSection := range file.Sections()[1:] {
		p.parseSection(iniSection, scanned.sections[i])
	}
	return p.layer, p.mistakes
}

func (p *parser) parseSection(iniSection *ini.Section, lines sectionLines) {
	pos := Position{p.layer.file, lines.line}
	part, ok := parseHeader(iniSection.Name())
	if !ok {
		p.add(pos, iniSection.Name(), "", "unknown section", sectionsAllowed)
		return
	}
	out := &section{part, pos, make(map[config.Field]entry)}
	for _, key := range iniSection.Keys() {
		p.parseKey(out, key, Position{p.layer.file, lines.keys[key.Name()]})
	}
	if p.seen[part] {
		p.add(pos, iniSection.Name(), "", "duplicate section in this file", "each section once")
		return
	}
	p.seen[part] = true
	p.layer.sections = append(p.layer.sections, out)
}

func (p *parser) parseKey(out *section, key *ini.Key, pos Position) {
	field := config.Field(key.Name())
	if !hasKey(out.part.Kind, field) {
		p.add(pos, header(out.part), key.Name(), "unknown key", keysAllowed(out.part.Kind))
		return
	}
	if n := len(key.ValueWithShadows()); n > 1 {
		p.add(pos, header(out.part), key.Name(), fmt.Sprintf("the key appears %d times", n), "each key once")
	}
	// The values of each file are parsed before overlays are applied, so that
	// an overlay does not hide a malformed value of the base.
	f := formats[field]
	v, err := f.parse(key.Value())
	if err != nil {
		p.add(pos, header(out.part), key.Name(), err.Error(), f.allowed)
		v = nil
	}
	out.entries[field] = entry{v, pos}
}

func (p *parser) add(pos Position, section, key, detail, allowed string) {
	p.mistakes = append(p.mistakes, Mistake{pos, section, key, detail, allowed})
}

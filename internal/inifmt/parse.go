package inifmt

import (
	"fmt"

	"gopkg.in/ini.v1"

	"github.com/baobabquay/baobabquay/internal/config"
)

type (
	// layer is one file's sections.
	layer struct {
		file     string
		sections []*section
	}

	// section is what the files say about a part.
	section struct {
		part config.Path
		// place is where the part was first named.
		place   Place
		entries map[config.Field]entry
	}

	// entry is the text of a value.
	entry struct {
		// value is nil where the text is malformed.
		value any
		place Place
	}

	// parser turns one file into a layer.
	parser struct {
		out      layer
		seen     map[config.Path]bool
		mistakes Mistakes
	}
)

// options make the INI library keep all values of repeated sections and keys,
// so that repetitions are found. A comment after a value needs a space before
// it, so that no value is cut short without a mistake.
var options = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// parse returns the sections of a file that are known, and its mistakes.
func parse(src Source) (layer, Mistakes) {
	p := parser{out: layer{file: src.File}, seen: make(map[config.Path]bool)}
	s, mistakes := scan(src)
	p.mistakes = mistakes
	file, err := ini.LoadSources(options, []byte(s.text))
	if err != nil {
		p.add(Place{File: src.File}, "", "", err.Error(), "")
		return p.out, p.mistakes
	}
	// The library's first section holds keys above all headers; scan refuses them.
	for i, in := range file.Sections()[1:] {
		p.parseSection(in, s.heads[i])
	}
	return p.out, p.mistakes
}

func (p *parser) parseSection(in *ini.Section, h head) {
	place := Place{p.out.file, h.line}
	part, ok := partOf(in.Name())
	if !ok {
		p.add(place, in.Name(), "", "unknown section", sectionsAllowed)
		return
	}
	out := &section{part, place, make(map[config.Field]entry)}
	for _, key := range in.Keys() {
		p.parseKey(out, key, Place{p.out.file, h.keys[key.Name()]})
	}
	if p.seen[part] {
		p.add(place, in.Name(), "", "the section stands twice in this file", "each section once")
		return
	}
	p.seen[part] = true
	p.out.sections = append(p.out.sections, out)
}

func (p *parser) parseKey(out *section, key *ini.Key, place Place) {
	field := config.Field(key.Name())
	if !hasKey(out.part.Kind, field) {
		p.add(place, header(out.part), key.Name(), "unknown key", keysAllowed(out.part.Kind))
		return
	}
	if n := len(key.ValueWithShadows()); n > 1 {
		p.add(place, header(out.part), key.Name(), fmt.Sprintf("the key stands %d times", n), "each key once")
	}
	// Each file's values are parsed before overlays apply, so that an overlay
	// does not hide a malformed value of the base.
	f := formats[field]
	v, err := f.parse(key.Value())
	if err != nil {
		p.add(place, header(out.part), key.Name(), err.Error(), f.allowed)
		v = nil
	}
	out.entries[field] = entry{v, place}
}

func (p *parser) add(place Place, section, key, detail, allowed string) {
	p.mistakes = append(p.mistakes, Mistake{place, section, key, detail, allowed})
}

package config

import (
	"fmt"
	"strings"
)

type (
	// Op tells what a change does.
	Op string

	// Change is one difference between two configurations.
	Change struct {
		Op Op
		// Path points to a whole part for Add and Remove, and to a value for Set.
		Path Path
		// Old and New are the values in their text form. They are empty for Add
		// and Remove; an empty one of Set means that the value is not set.
		Old string
		New string
	}

	// index finds the parts and values of a configuration.
	index struct {
		parts []Path
		texts map[Path]string
	}
)

// The operations of changes.
const (
	Add    Op = "add"
	Remove Op = "remove"
	Set    Op = "set"
)

// shownDigits is how much of a hash's salt is shown to recognise it by.
const shownDigits = 8

// Diff returns the changes that make new of old. An added part is followed by
// one Set for each of its values. Version and the order of parts are not
// compared: the version rises with every change, and no decision depends on
// the order.
func Diff(old, new *Config) []Change {
	before, after := indexOf(old), indexOf(new)
	var changes []Change
	for _, p := range after.parts {
		if p.Field == "" && !before.has(p) {
			changes = append(changes, Change{Op: Add, Path: p})
		}
		was, is := before.texts[p], after.texts[p]
		if p.Field != "" && was != is {
			changes = append(changes, Change{Set, p, was, is})
		}
	}
	for _, p := range before.parts {
		switch {
		case after.has(p) || !after.has(p.Part()) && p.Field != "":
		case p.Field == "":
			changes = append(changes, Change{Op: Remove, Path: p})
		default:
			changes = append(changes, Change{Set, p, before.texts[p], ""})
		}
	}
	return changes
}

// String returns a line such as `set workspace "foundryA" weight: 3 -> 4`.
func (c Change) String() string {
	if c.Op != Set {
		return fmt.Sprintf("%s %v", c.Op, c.Path)
	}
	return fmt.Sprintf("%s %v: %s -> %s", c.Op, c.Path, shown(c.Path, c.Old), shown(c.Path, c.New))
}

// indexOf lists each part's own path before those of its values.
func indexOf(c *Config) index {
	x := index{texts: make(map[Path]string)}
	for _, v := range c.Values() {
		if v.Path.Field == FieldVersion {
			continue
		}
		if part := v.Path.Part(); !x.has(part) {
			x.parts = append(x.parts, part)
			x.texts[part] = ""
		}
		x.parts = append(x.parts, v.Path)
		x.texts[v.Path] = v.Text
	}
	return x
}

func (x index) has(p Path) bool {
	_, ok := x.texts[p]
	return ok
}

func shown(p Path, text string) string {
	switch {
	case text == "" && p.Field == FieldWorkspaces:
		return "(all)"
	case text == "":
		return "(unset)"
	case p.Field != FieldKeys:
		return text
	}
	hashes := strings.Split(text, ", ")
	for i, h := range hashes {
		hashes[i] = brief(h)
	}
	return strings.Join(hashes, ", ")
}

// brief returns the start of a hash, up to some digits of its salt.
func brief(hash string) string {
	_, salt, _ := strings.Cut(hash, ":")
	return hash[:len(hash)-len(salt)+min(shownDigits, len(salt))] + "..."
}

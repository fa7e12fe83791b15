package config

import (
	"fmt"
	"strings"
)

type (
	// Op is the operation of a change.
	Op string

	// Change is one difference between two configurations.
	Change struct {
		Op Op
		// Path points to a part for Add and Remove, and to a value for Set.
		Path Path
		// Old and New are the values in their text form. They are empty for Add
		// and Remove. For Set, an empty text means that the value is not set.
		Old string
		New string
	}

	// index holds the parts and values of a configuration by path.
	index struct {
		// paths lists the parts, each followed by its values.
		paths []Path
		// texts holds the text of each value, and an empty text for each part.
		texts map[Path]string
	}
)

// Operations of changes.
const (
	Add    Op = "add"
	Remove Op = "remove"
	Set    Op = "set"
)

// shownSaltDigits is the number of digits of the salt that identify a key hash
// in messages.
const shownSaltDigits = 8

// Diff returns the changes that turn old into new. An added part is followed by
// one Set for each of its values. Version and the order of parts are not
// compared: the version increases with every change, and no decision depends on
// the order.
func Diff(old, new *Config) []Change {
	before, after := indexOf(old), indexOf(new)
	var changes []Change
	for _, p := range after.paths {
		if p.Field == "" && !before.has(p) {
			changes = append(changes, Change{Op: Add, Path: p})
		}
		oldText, newText := before.texts[p], after.texts[p]
		if p.Field != "" && oldText != newText {
			changes = append(changes, Change{Set, p, oldText, newText})
		}
	}
	for _, p := range before.paths {
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
	return fmt.Sprintf("%s %v: %s -> %s", c.Op, c.Path, displayText(c.Path, c.Old), displayText(c.Path, c.New))
}

// indexOf returns the index of c. The path of each part precedes those of its
// values.
func indexOf(c *Config) index {
	x := index{texts: make(map[Path]string)}
	for _, v := range c.Values() {
		if v.Path.Field == FieldVersion {
			continue
		}
		if part := v.Path.Part(); !x.has(part) {
			x.paths = append(x.paths, part)
			x.texts[part] = ""
		}
		x.paths = append(x.paths, v.Path)
		x.texts[v.Path] = v.Text
	}
	return x
}

func (x index) has(p Path) bool {
	_, ok := x.texts[p]
	return ok
}

// displayText returns the text of a value for a message. It abbreviates key
// hashes and replaces an empty text by a word in parentheses.
func displayText(p Path, text string) string {
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
		hashes[i] = abbreviateHash(h)
	}
	return strings.Join(hashes, ", ")
}

// abbreviateHash returns the start of a hash, with shownSaltDigits digits of its
// salt.
func abbreviateHash(hash string) string {
	_, salt, _ := strings.Cut(hash, ":")
	return hash[:len(hash)-len(salt)+min(shownSaltDigits, len(salt))] + "..."
}

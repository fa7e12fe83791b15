package inifmt

import (
	"fmt"
	"slices"

	"github.com/baobabquay/baobabquay/internal/config"
)

// merged is the base with the overlays applied so far.
type merged struct {
	sections []*section
	mistakes Mistakes
}

// overlay returns the sections that the layers make together. The first layer
// is the base.
func overlay(layers []layer) ([]*section, Mistakes) {
	var m merged
	for i, l := range layers {
		for _, s := range l.sections {
			if i == 0 {
				m.applyBase(s)
			} else {
				m.apply(s)
			}
		}
	}
	return m.sections, m.mistakes
}

func (m *merged) applyBase(s *section) {
	m.refuse(s, addKey, "the base file has this key", "add in overlays only")
	m.refuse(s, removeKey, "the base file has this key", "remove in overlays only")
	m.sections = append(m.sections, s)
}

func (m *merged) apply(s *section) {
	adds, removes := m.flag(s, addKey), m.flag(s, removeKey)
	at := slices.IndexFunc(m.sections, func(have *section) bool { return have.part == s.part })
	switch {
	case adds && removes:
		m.add(s, removeKey, "the section has add as well", "one of add and remove")
	case removes && at < 0:
		m.add(s, removeKey, "the files before this one do not have the section", "the sections that they have")
	case removes && len(s.entries) > 0:
		m.add(s, removeKey, "a removed section has other keys", "remove alone")
	case removes:
		m.sections = slices.Delete(m.sections, at, at+1)
	case adds && at >= 0:
		m.add(s, addKey, fmt.Sprintf("the section is in %v already", m.sections[at].place), "add for new sections only")
	case adds:
		m.sections = append(m.sections, s)
	case at < 0:
		m.add(s, "", "the files before this one do not have the section", "add = true to add it")
	default:
		for field, e := range s.entries {
			m.sections[at].entries[field] = e
		}
	}
}

// flag takes the key out of s and reports whether it is there.
func (m *merged) flag(s *section, key config.Field) bool {
	_, ok := s.entries[key]
	delete(s.entries, key)
	return ok
}

func (m *merged) refuse(s *section, key config.Field, detail, allowed string) {
	e, ok := s.entries[key]
	if !ok {
		return
	}
	m.mistakes = append(m.mistakes, Mistake{e.place, header(s.part), string(key), detail, allowed})
	delete(s.entries, key)
}

func (m *merged) add(s *section, key config.Field, detail, allowed string) {
	m.mistakes = append(m.mistakes, Mistake{s.place, header(s.part), string(key), detail, allowed})
}

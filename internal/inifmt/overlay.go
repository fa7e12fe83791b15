package inifmt

import (
	"fmt"
	"slices"

	"github.com/baobabquay/baobabquay/internal/config"
)

// merger applies the overlays to the base. Its sections are the result so far.
type merger struct {
	sections []*section
	mistakes Mistakes
}

// overlay merges the sections of the layers. The first layer is the base, and
// the others are applied to it in order.
func overlay(layers []layer) ([]*section, Mistakes) {
	var m merger
	for i, l := range layers {
		for _, s := range l.sections {
			if i == 0 {
				m.applyBase(s)
			} else {
				m.applyOverlay(s)
			}
		}
	}
	return m.sections, m.mistakes
}

func (m *merger) applyBase(s *section) {
	m.rejectKey(s, addKey, "not allowed in the base file", "add in overlays only")
	m.rejectKey(s, removeKey, "not allowed in the base file", "remove in overlays only")
	m.sections = append(m.sections, s)
}

func (m *merger) applyOverlay(s *section) {
	adds, removes := m.takeFlag(s, addKey), m.takeFlag(s, removeKey)
	at := slices.IndexFunc(m.sections, func(other *section) bool { return other.part == s.part })
	switch {
	case adds && removes:
		m.add(s, removeKey, "the section also has the key add", "one of add and remove")
	case removes && at < 0:
		m.add(s, removeKey, "the section is not in any earlier file", "sections of earlier files")
	case removes && len(s.entries) > 0:
		m.add(s, removeKey, "the removed section has other keys", "remove as the only key")
	case removes:
		m.sections = slices.Delete(m.sections, at, at+1)
	case adds && at >= 0:
		m.add(s, addKey, fmt.Sprintf("the section is already defined at %v", m.sections[at].pos), "add for new sections only")
	case adds:
		m.sections = append(m.sections, s)
	case at < 0:
		m.add(s, "", "the section is not in any earlier file", "add = true to add it")
	default:
		for field, e := range s.entries {
			m.sections[at].entries[field] = e
		}
	}
}

// takeFlag removes the key from s and reports whether s had it.
func (m *merger) takeFlag(s *section, key config.Field) bool {
	_, ok := s.entries[key]
	delete(s.entries, key)
	return ok
}

// rejectKey removes the key from s and records a mistake if s had it.
func (m *merger) rejectKey(s *section, key config.Field, detail, allowed string) {
	e, ok := s.entries[key]
	if !ok {
		return
	}
	m.mistakes = append(m.mistakes, Mistake{e.pos, header(s.part), string(key), detail, allowed})
	delete(s.entries, key)
}

func (m *merger) add(s *section, key config.Field, detail, allowed string) {
	m.mistakes = append(m.mistakes, Mistake{s.pos, header(s.part), string(key), detail, allowed})
}

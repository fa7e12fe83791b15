package inifmt

import (
	"context"
	"fmt"
	"slices"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/pipe"
)

type (
	// Source is one file to read.
	Source struct {
		File string
		Text string
	}

	// Result is a configuration that was read without mistakes.
	Result struct {
		Config *config.Config
		// Origins contains all values of Config in the order of Config.Values.
		Origins []Origin
	}

	// Origin is a value and its position in the files.
	Origin struct {
		Value config.Value
		// Position is the position of the value in the last file that contains
		// it. File is empty for a default value, which no file contains.
		Position Position
	}

	// readState is passed through the filters of Read. Filters append to
	// mistakes instead of failing, so that one run finds all mistakes.
	readState struct {
		sources  []Source
		layers   []layer
		sections []*section
		config   *config.Config
		mistakes Mistakes
	}
)

// pipeline contains the filters that convert files into a checked configuration.
// They need no running site.
var pipeline = pipe.New("config",
	pipe.Filter[*readState]{Name: "parse", Do: parseFilter},
	pipe.Filter[*readState]{Name: "overlay", Do: overlayFilter},
	pipe.Filter[*readState]{Name: "decode", Do: decodeFilter},
	pipe.Filter[*readState]{Name: "check", Do: checkFilter},
)

// Read returns the configuration of a base file and its overlays, which are
// applied in order. If the files have mistakes, the error wraps Mistakes with
// all of them.
func Read(ctx context.Context, base Source, overlays ...Source) (*Result, error) {
	r := &readState{sources: append([]Source{base}, overlays...)}
	if err := pipeline.Run(ctx, r); err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	if len(r.mistakes) > 0 {
		return nil, fmt.Errorf("read configuration: %w", r.mistakes.sorted(r.sources))
	}
	return &Result{Config: r.config, Origins: r.origins()}, nil
}

func parseFilter(_ context.Context, r *readState) error {
	for _, src := range r.sources {
		l, mistakes := parse(src)
		r.layers = append(r.layers, l)
		r.mistakes = append(r.mistakes, mistakes...)
	}
	return nil
}

func overlayFilter(_ context.Context, r *readState) error {
	sections, mistakes := overlay(r.layers)
	r.sections = sections
	r.mistakes = append(r.mistakes, mistakes...)
	return nil
}

func decodeFilter(_ context.Context, r *readState) error {
	c, mistakes := decode(r.sections)
	r.config = c
	r.mistakes = append(r.mistakes, mistakes...)
	return nil
}

// checkFilter appends the problems that Check reports. It omits problems of
// values that are malformed in the files, because Check saw defaults in their
// place, and problems of missing parts if a mistake belongs to no known section,
// because that section can be the missing part.
func checkFilter(_ context.Context, r *readState) error {
	sections := r.sectionsByPart()
	unattributed := slices.ContainsFunc(r.mistakes, func(m Mistake) bool {
		_, ok := parseHeader(m.Section)
		return !ok
	})
	for _, p := range r.config.Check() {
		part := p.Path.Part()
		s := sections[part]
		partMissing := s == nil || part.Kind == config.SiteKind && p.Path.Field == ""
		if partMissing && unattributed || s != nil && s.isMalformed(p.Path.Field) {
			continue
		}
		r.mistakes = append(r.mistakes, Mistake{
			r.positionOf(s, p.Path), header(part), string(p.Path.Field), p.Detail, p.Allowed,
		})
	}
	return nil
}

// isMalformed reports whether the value of key is malformed, or, if key is
// empty, any value of s.
func (s *section) isMalformed(key config.Field) bool {
	for field, e := range s.entries {
		if e.value == nil && (field == key || key == "") {
			return true
		}
	}
	return false
}

// positionOf returns the position of the value at p in s. It falls back to the
// position of s if s does not contain the value, and to the base file if s is
// nil.
func (r *readState) positionOf(s *section, p config.Path) Position {
	if s == nil {
		return Position{File: r.sources[0].File}
	}
	if e, ok := s.entries[p.Field]; ok {
		return e.pos
	}
	return s.pos
}

func (r *readState) origins() []Origin {
	sections := r.sectionsByPart()
	var origins []Origin
	for _, v := range r.config.Values() {
		o := Origin{Value: v}
		if s := sections[v.Path.Part()]; s != nil {
			o.Position = s.entries[v.Path.Field].pos
		}
		origins = append(origins, o)
	}
	return origins
}

func (r *readState) sectionsByPart() map[config.Path]*section {
	sections := make(map[config.Path]*section, len(r.sections))
	for _, s := range r.sections {
		sections[s.part] = s
	}
	return sections
}

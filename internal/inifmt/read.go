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

	// Result is a configuration without mistakes.
	Result struct {
		Config *config.Config
		// Origins has every value of Config in the order of Config.Values.
		Origins []Origin
	}

	// Origin tells where a value comes from.
	Origin struct {
		Value config.Value
		// Place is the last file that has the value. Its file is empty for a
		// value that no file has, which has the default.
		Place Place
	}

	// reading is what passes through the filters of Read. Mistakes do not end
	// the chain, so that one run finds all of them.
	reading struct {
		sources  []Source
		layers   []layer
		sections []*section
		config   *config.Config
		mistakes Mistakes
	}
)

// path is the part of the configuration path that needs no installation.
var path = pipe.New("config",
	pipe.Filter[*reading]{Name: "parse", Do: parseStep},
	pipe.Filter[*reading]{Name: "overlay", Do: overlayStep},
	pipe.Filter[*reading]{Name: "decode", Do: decodeStep},
	pipe.Filter[*reading]{Name: "check", Do: checkStep},
)

// Read returns the configuration of a base file and its overlays, in this
// order. With any mistake in them the error wraps Mistakes, which has all.
func Read(ctx context.Context, base Source, overlays ...Source) (*Result, error) {
	r := &reading{sources: append([]Source{base}, overlays...)}
	if err := path.Run(ctx, r); err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	if len(r.mistakes) > 0 {
		return nil, fmt.Errorf("read configuration: %w", r.mistakes.sorted(r.sources))
	}
	return &Result{Config: r.config, Origins: r.origins()}, nil
}

func parseStep(_ context.Context, r *reading) error {
	for _, src := range r.sources {
		l, mistakes := parse(src)
		r.layers = append(r.layers, l)
		r.mistakes = append(r.mistakes, mistakes...)
	}
	return nil
}

func overlayStep(_ context.Context, r *reading) error {
	sections, mistakes := overlay(r.layers)
	r.sections = sections
	r.mistakes = append(r.mistakes, mistakes...)
	return nil
}

func decodeStep(_ context.Context, r *reading) error {
	c, mistakes := decode(r.sections)
	r.config = c
	r.mistakes = append(r.mistakes, mistakes...)
	return nil
}

// checkStep adds what Check finds, except where the value or part that it saw
// is not the one in the files because that is malformed.
func checkStep(_ context.Context, r *reading) error {
	sections := r.sectionsByPart()
	unclear := slices.ContainsFunc(r.mistakes, func(m Mistake) bool {
		_, ok := partOf(m.Section)
		return !ok
	})
	for _, p := range r.config.Check() {
		part := p.Path.Part()
		s := sections[part]
		absent := s == nil || part.Kind == config.SiteKind && p.Path.Field == ""
		if absent && unclear || s != nil && s.isMalformed(p.Path.Field) {
			continue
		}
		r.mistakes = append(r.mistakes, Mistake{
			r.placeOf(s, p.Path), header(part), string(p.Path.Field), p.Detail, p.Allowed,
		})
	}
	return nil
}

// isMalformed reports whether the value, or any value where key is empty, is
// malformed.
func (s *section) isMalformed(key config.Field) bool {
	for field, e := range s.entries {
		if e.value == nil && (field == key || key == "") {
			return true
		}
	}
	return false
}

// placeOf returns where the value stands, or else its section, or else the
// base file.
func (r *reading) placeOf(s *section, p config.Path) Place {
	if s == nil {
		return Place{File: r.sources[0].File}
	}
	if e, ok := s.entries[p.Field]; ok {
		return e.place
	}
	return s.place
}

func (r *reading) origins() []Origin {
	sections := r.sectionsByPart()
	var origins []Origin
	for _, v := range r.config.Values() {
		o := Origin{Value: v}
		if s := sections[v.Path.Part()]; s != nil {
			o.Place = s.entries[v.Path.Field].place
		}
		origins = append(origins, o)
	}
	return origins
}

func (r *reading) sectionsByPart() map[config.Path]*section {
	sections := make(map[config.Path]*section, len(r.sections))
	for _, s := range r.sections {
		sections[s.part] = s
	}
	return sections
}

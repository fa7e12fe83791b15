package inifmt

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// decoder converts sections into a configuration.
type decoder struct {
	config   *config.Config
	mistakes Mistakes
}

// Defaults of keys that are in no file.
const (
	defaultWeight     = 1
	defaultQueuedJobs = 1000
	defaultQueueLimit = 1000
	defaultTimeout    = 30 * time.Second
	defaultMaxAnswer  = 8 * shape.MiB
)

// decode returns the configuration that the sections describe, and its mistakes.
// A malformed value is replaced by its default.
func decode(sections []*section) (*config.Config, Mistakes) {
	d := decoder{config: &config.Config{Limits: config.DefaultLimits()}}
	for _, s := range sections {
		d.decodePart(s)
	}
	// A guarantee can precede its workspace in the files.
	for _, s := range sections {
		if s.part.Kind == config.GuaranteeKind {
			d.decodeGuarantee(s)
		}
	}
	return d.config, d.mistakes
}

func (d *decoder) decodePart(s *section) {
	c := d.config
	switch s.part.Kind {
	case config.SiteKind:
		c.Site = required[string](d, s, config.FieldName)
		c.Version = optional[int64](s, config.FieldVersion, 0)
	case config.DomainKind:
		c.Domains = append(c.Domains, config.Domain{
			Name:      ident.Domain(s.part.Name),
			Region:    ident.Region(required[string](d, s, config.FieldRegion)),
			InService: optional(s, config.FieldInService, true),
		})
	case config.WorkspaceKind:
		c.Workspaces = append(c.Workspaces, config.Workspace{
			Name:          ident.Workspace(s.part.Name),
			Weight:        optional(s, config.FieldWeight, defaultWeight),
			MaxQueuedJobs: optional(s, config.FieldMaxQueuedJobs, defaultQueuedJobs),
			Keys:          required[[]keys.Hash](d, s, config.FieldKeys),
		})
	case config.ServiceKind:
		c.Services = append(c.Services, config.Service{
			Name:       ident.Service(s.part.Name),
			Workspaces: optional[[]ident.Workspace](s, config.FieldWorkspaces, nil),
			Timeout:    optional(s, config.FieldTimeout, defaultTimeout),
			QueueLimit: optional(s, config.FieldQueueLimit, defaultQueueLimit),
			MaxAnswer:  optional(s, config.FieldMaxAnswer, defaultMaxAnswer),
		})
	case config.OperatorKind:
		c.Operators = append(c.Operators, config.Operator{
			Name: s.part.Name,
			Keys: required[[]keys.Hash](d, s, config.FieldKeys),
		})
	case config.LimitsKind:
		decodeLimits(&c.Limits, s)
	}
}

func decodeLimits(l *config.Limits, s *section) {
	l.MaxBody = optional(s, config.FieldMaxBody, l.MaxBody)
	l.RetryShare = optional(s, config.FieldRetryShare, l.RetryShare)
	l.StopDelay = optional(s, config.FieldStopDelay, l.StopDelay)
	l.StopLimit = optional(s, config.FieldStopLimit, l.StopLimit)
	l.CheckpointLimit = optional(s, config.FieldCheckpointLimit, l.CheckpointLimit)
	l.LinkRate = optional(s, config.FieldLinkRate, l.LinkRate)
	l.LinkBulkShare = optional(s, config.FieldLinkBulkShare, l.LinkBulkShare)
	l.LinkBulkSize = optional(s, config.FieldLinkBulkSize, l.LinkBulkSize)
}

func (d *decoder) decodeGuarantee(s *section) {
	workspace, name, _ := strings.Cut(s.part.Name, "/")
	g := config.Guarantee{
		Name: name,
		Shape: shape.Shape{
			Members: required[int](d, s, config.FieldMembers),
			Member: shape.Resources{
				Accelerators: optional(s, config.FieldAccelerators, 0),
				Processors:   optional(s, config.FieldProcessors, 0),
				Memory:       optional[shape.Bytes](s, config.FieldMemory, 0),
			},
			Adjacency: required[shape.Adjacency](d, s, config.FieldAdjacency),
		},
		Count: required[int](d, s, config.FieldCount),
		Homes: optional[[]ident.Domain](s, config.FieldHomes, nil),
	}
	at := slices.IndexFunc(d.config.Workspaces, func(w config.Workspace) bool { return string(w.Name) == workspace })
	if at < 0 {
		d.add(s, "", fmt.Sprintf("guarantee of unknown workspace %q", workspace), "names of configured workspaces")
		return
	}
	d.config.Workspaces[at].Guarantees = append(d.config.Workspaces[at].Guarantees, g)
}

func (d *decoder) add(s *section, key config.Field, detail, allowed string) {
	d.mistakes = append(d.mistakes, Mistake{s.pos, header(s.part), string(key), detail, allowed})
}

// optional returns the value of the key, or defaultValue if the key is missing or
// its value is malformed, which parse has reported.
func optional[T any](s *section, key config.Field, defaultValue T) T {
	if v, ok := s.entries[key].value.(T); ok {
		return v
	}
	return defaultValue
}

// required returns the value of the key. If the key is missing, it records a
// mistake and returns the zero value.
func required[T any](d *decoder, s *section, key config.Field) T {
	var zero T
	if _, ok := s.entries[key]; !ok {
		d.add(s, key, "missing key", formats[key].allowed)
		// An entry without a value counts as malformed, so that the check does
		// not report the key a second time.
		s.entries[key] = entry{pos: s.pos}
	}
	return optional(s, key, zero)
}

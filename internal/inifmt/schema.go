package inifmt

import (
	"slices"
	"strings"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// format is how the values of a key are written.
type format struct {
	allowed string
	// parse returns a value of the type that decode takes for the key.
	parse func(text string) (any, error)
}

// formats has the format of every key; a key has the same one in all sections.
var formats = map[config.Field]format{
	config.FieldName:            {textAllowed, typed(parseText)},
	config.FieldVersion:         {numberAllowed, typed(parseVersion)},
	config.FieldRegion:          {textAllowed, typed(parseText)},
	config.FieldInService:       {truthAllowed, typed(parseTruth)},
	config.FieldWeight:          {config.WeightRange.String(), typed(parseInt)},
	config.FieldKeys:            {hashesAllowed, typed(parseHashes)},
	config.FieldMaxQueuedJobs:   {config.QueuedJobsRange.String(), typed(parseInt)},
	config.FieldMembers:         {numberAllowed, typed(parseInt)},
	config.FieldAccelerators:    {numberAllowed, typed(parseInt)},
	config.FieldProcessors:      {numberAllowed, typed(parseInt)},
	config.FieldMemory:          {memoryAllowed, typed(shape.ParseBytes)},
	config.FieldAdjacency:       {adjacentAllowed, typed(parseAdjacency)},
	config.FieldCount:           {config.CountRange.String(), typed(parseInt)},
	config.FieldHomes:           {namesAllowed, typed(parseHomes)},
	config.FieldWorkspaces:      {namesAllowed, typed(parseWorkspaces)},
	config.FieldTimeout:         {durationAllowed + ", " + config.TimeoutRange.String(), typed(parseDuration)},
	config.FieldQueueLimit:      {config.QueueLimitRange.String(), typed(parseInt)},
	config.FieldMaxAnswer:       {memoryAllowed + ", " + config.MaxAnswerRange.String(), typed(shape.ParseBytes)},
	config.FieldMaxBody:         {memoryAllowed + ", " + config.MaxBodyRange.String(), typed(shape.ParseBytes)},
	config.FieldRetryShare:      {config.RetryShareRange.String(), typed(parseShare)},
	config.FieldStopDelay:       {durationAllowed + ", " + config.StopDelayRange.String(), typed(parseDuration)},
	config.FieldStopLimit:       {durationAllowed + ", " + config.StopLimitRange.String(), typed(parseDuration)},
	config.FieldCheckpointLimit: {durationAllowed + ", " + config.CheckpointRange.String(), typed(parseDuration)},
	config.FieldLinkRate:        {memoryAllowed + ", " + config.LinkRateRange.String(), typed(shape.ParseBytes)},
	config.FieldLinkBulkShare:   {config.LinkShareRange.String(), typed(parseShare)},
	config.FieldLinkBulkSize:    {memoryAllowed + ", " + config.LinkSizeRange.String(), typed(shape.ParseBytes)},
	addKey:                      {flagAllowed, typed(parseFlag)},
	removeKey:                   {flagAllowed, typed(parseFlag)},
}

// schema lists the keys of each kind of section.
var schema = map[config.Kind][]config.Field{
	config.SiteKind:      {config.FieldName, config.FieldVersion},
	config.DomainKind:    {config.FieldRegion, config.FieldInService},
	config.WorkspaceKind: {config.FieldWeight, config.FieldMaxQueuedJobs, config.FieldKeys},
	config.GuaranteeKind: {
		config.FieldMembers, config.FieldAccelerators, config.FieldProcessors, config.FieldMemory,
		config.FieldAdjacency, config.FieldCount, config.FieldHomes,
	},
	config.ServiceKind: {
		config.FieldWorkspaces, config.FieldTimeout, config.FieldQueueLimit, config.FieldMaxAnswer,
	},
	config.OperatorKind: {config.FieldKeys},
	config.LimitsKind: {
		config.FieldMaxBody, config.FieldRetryShare, config.FieldStopDelay, config.FieldStopLimit,
		config.FieldCheckpointLimit, config.FieldLinkRate, config.FieldLinkBulkShare, config.FieldLinkBulkSize,
	},
}

// Keys of overlays that are no values.
const (
	addKey    config.Field = "add"
	removeKey config.Field = "remove"
)

const sectionsAllowed = `[site], [limits], [domain "NAME"], [workspace "NAME"], ` +
	`[guarantee "WORKSPACE/NAME"], [service "NAME"] or [operator "NAME"]`

func typed[T any](parse func(string) (T, error)) func(string) (any, error) {
	return func(text string) (any, error) { return parse(text) }
}

// partOf returns the part that a section header without brackets names.
func partOf(header string) (config.Path, bool) {
	header = strings.TrimSpace(header)
	word, quoted, _ := strings.Cut(header, `"`)
	kind := config.Kind(strings.TrimSpace(word))
	if _, ok := schema[kind]; !ok {
		return config.Path{}, false
	}
	if !kind.IsNamed() {
		return config.Path{Kind: kind}, header == string(kind)
	}
	name, ok := strings.CutSuffix(quoted, `"`)
	if kind == config.GuaranteeKind {
		ok = ok && strings.Contains(name, "/")
	}
	return config.Path{Kind: kind, Name: name}, ok
}

// hasKey reports whether sections of the kind can have the key.
func hasKey(kind config.Kind, key config.Field) bool {
	return slices.Contains(schema[kind], key) || key == addKey || key == removeKey
}

// keysAllowed lists the keys of a kind of section.
func keysAllowed(kind config.Kind) string {
	var names []string
	for _, f := range schema[kind] {
		names = append(names, string(f))
	}
	return strings.Join(names, ", ") + "; in overlays also add and remove"
}

package inifmt

import (
	"slices"
	"strings"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// format is the text format of the values of a key.
type format struct {
	// allowed describes the valid values for messages.
	allowed string
	// parse returns a value of the type that decode expects for the key.
	parse func(text string) (any, error)
}

// formats contains the format of each key. A key has the same format in all
// sections.
var formats = map[config.Field]format{
	config.FieldName:            {textAllowed, untyped(parseText)},
	config.FieldVersion:         {integerAllowed, untyped(parseVersion)},
	config.FieldRegion:          {textAllowed, untyped(parseText)},
	config.FieldInService:       {boolAllowed, untyped(parseBool)},
	config.FieldWeight:          {config.WeightRange.String(), untyped(parseInt)},
	config.FieldKeys:            {hashesAllowed, untyped(parseHashes)},
	config.FieldMaxQueuedJobs:   {config.QueuedJobsRange.String(), untyped(parseInt)},
	config.FieldMembers:         {integerAllowed, untyped(parseInt)},
	config.FieldAccelerators:    {integerAllowed, untyped(parseInt)},
	config.FieldProcessors:      {integerAllowed, untyped(parseInt)},
	config.FieldMemory:          {memoryAllowed, untyped(shape.ParseBytes)},
	config.FieldAdjacency:       {adjacencyAllowed, untyped(parseAdjacency)},
	config.FieldCount:           {config.CountRange.String(), untyped(parseInt)},
	config.FieldHomes:           {namesAllowed, untyped(parseHomes)},
	config.FieldWorkspaces:      {namesAllowed, untyped(parseWorkspaces)},
	config.FieldTimeout:         {durationAllowed + ", " + config.TimeoutRange.String(), untyped(parseDuration)},
	config.FieldQueueLimit:      {config.QueueLimitRange.String(), untyped(parseInt)},
	config.FieldMaxAnswer:       {memoryAllowed + ", " + config.MaxAnswerRange.String(), untyped(shape.ParseBytes)},
	config.FieldMaxBody:         {memoryAllowed + ", " + config.MaxBodyRange.String(), untyped(shape.ParseBytes)},
	config.FieldRetryShare:      {config.RetryShareRange.String(), untyped(parseFloat)},
	config.FieldStopDelay:       {durationAllowed + ", " + config.StopDelayRange.String(), untyped(parseDuration)},
	config.FieldStopLimit:       {durationAllowed + ", " + config.StopLimitRange.String(), untyped(parseDuration)},
	config.FieldCheckpointLimit: {durationAllowed + ", " + config.CheckpointRange.String(), untyped(parseDuration)},
	config.FieldLinkRate:        {memoryAllowed + ", " + config.LinkRateRange.String(), untyped(shape.ParseBytes)},
	config.FieldLinkBulkShare:   {config.LinkShareRange.String(), untyped(parseFloat)},
	config.FieldLinkBulkSize:    {memoryAllowed + ", " + config.LinkSizeRange.String(), untyped(shape.ParseBytes)},
	addKey:                      {flagAllowed, untyped(parseFlag)},
	removeKey:                   {flagAllowed, untyped(parseFlag)},
}

// schema contains the keys of each kind of section.
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

// Keys of overlays that add or remove a section. They are not values of a part.
const (
	addKey    config.Field = "add"
	removeKey config.Field = "remove"
)

const sectionsAllowed = `[site], [limits], [domain "NAME"], [workspace "NAME"], ` +
	`[guarantee "WORKSPACE/NAME"], [service "NAME"] or [operator "NAME"]`

// untyped converts a parse function to the type of format.parse.
func untyped[T any](parse func(string) (T, error)) func(string) (any, error) {
	return func(text string) (any, error) { return parse(text) }
}

// parseHeader returns the part that a section header without brackets names,
// and whether the header is known and well formed.
func parseHeader(header string) (config.Path, bool) {
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

// hasKey reports whether sections of the kind may contain the key.
func hasKey(kind config.Kind, key config.Field) bool {
	return slices.Contains(schema[kind], key) || key == addKey || key == removeKey
}

// keysAllowed returns the keys of a kind of section for messages.
func keysAllowed(kind config.Kind) string {
	var names []string
	for _, f := range schema[kind] {
		names = append(names, string(f))
	}
	return strings.Join(names, ", ") + "; in overlays also add and remove"
}

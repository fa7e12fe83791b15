package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/queues"
)

type (
	// Severity tells findings that have to be mended from those to be aware of.
	Severity string

	// Kind names the rule that a finding is about.
	Kind string

	// Part is a part of the configuration.
	Part string

	// Field is a property of a part.
	Field string

	// Place is a part of the configuration or one of its fields.
	Place struct {
		Part Part
		// Index is the position of the queue, service or workspace in its list.
		Index int
		// Field is empty for the whole part.
		Field Field
		// Item is the position of a key in FieldKeys.
		Item int
	}

	// Position is where a value is written.
	Position struct {
		// Line starts at 1. It is 0 if there is none.
		Line int
		// Path names the value as the operators write it.
		Path string
	}

	// Finding is one result of the check. No text in it contains a key.
	Finding struct {
		Severity Severity
		Kind     Kind
		Position Position
		Detail   string
		// Suggestion says how to mend it. It may be empty.
		Suggestion string
	}

	// Document is a decoded configuration with the details that instances do not
	// use.
	Document struct {
		Config *queues.Config
		// Services are the names of the services in the order in which they are
		// written.
		Services []string
		// Timeouts are the time limits of the queues, by position. 0 means none.
		Timeouts []time.Duration
		// Locate returns where a place is written.
		Locate func(Place) Position
	}
)

// Kinds has all kinds of findings.
var Kinds = []Kind{
	Syntax, TooLarge, WrongType, MissingField, UnknownField, DuplicateField, NullField, Negative,
	DuplicateName, HiddenQueue, UnreachableQueue, NoService, NoKeys, SharedKey, UnusableGuarantee,
	GuaranteesOverTotal, CapBelowGuarantee, NoAttempts, NoObjective, TimeoutUnderTarget, PartialWeights, MoreFindings, VersionNotIncreasing,
}

// The severities.
const (
	Error Severity = "error"
	Note  Severity = "note"
)

// The kinds of findings. Those up to Negative come from the decoder.
const (
	Syntax               Kind = "syntax"
	TooLarge             Kind = "tooLarge"
	WrongType            Kind = "wrongType"
	MissingField         Kind = "missingField"
	UnknownField         Kind = "unknownField"
	DuplicateField       Kind = "duplicateField"
	NullField            Kind = "nullField"
	Negative             Kind = "negative"
	DuplicateName        Kind = "duplicateName"
	HiddenQueue          Kind = "hiddenQueue"
	UnreachableQueue     Kind = "unreachableQueue"
	NoService            Kind = "noService"
	NoKeys               Kind = "noKeys"
	SharedKey            Kind = "sharedKey"
	UnusableGuarantee    Kind = "unusableGuarantee"
	GuaranteesOverTotal  Kind = "guaranteesOverTotal"
	CapBelowGuarantee    Kind = "capBelowGuarantee"
	NoAttempts           Kind = "noAttempts"
	NoObjective          Kind = "noObjective"
	TimeoutUnderTarget   Kind = "timeoutBelowObjective"
	PartialWeights       Kind = "partialWeights"
	MoreFindings         Kind = "moreFindings"
	VersionNotIncreasing Kind = "versionNotIncreasing"
)

// The parts. PartConfig has one instance.
const (
	PartConfig    Part = "config"
	PartQueue     Part = "queue"
	PartService   Part = "service"
	PartWorkspace Part = "workspace"
)

// The fields.
const (
	FieldName         Field = "name"
	FieldVersion      Field = "version"
	FieldMaxBody      Field = "maxBody"
	FieldHost         Field = "host"
	FieldPrefix       Field = "prefix"
	FieldService      Field = "service"
	FieldPriority     Field = "priority"
	FieldAttempts     Field = "maxAttempts"
	FieldSlack        Field = "slack"
	FieldObjective    Field = "objective"
	FieldTimeout      Field = "timeout"
	FieldPublic       Field = "public"
	FieldTicket       Field = "ticket"
	FieldEnforces     Field = "enforcesCapacity"
	FieldSpare        Field = "spare"
	FieldKeys         Field = "keys"
	FieldGuarantee    Field = "guarantee"
	FieldWeight       Field = "weight"
	FieldCPU          Field = "cap.millicores"
	FieldMemory       Field = "cap.memoryMiB"
	FieldAccelerators Field = "cap.accelerators"
)

// IsUnreadable reports whether a finding of the kind leaves nothing to check.
func (k Kind) IsUnreadable() bool { return k == Syntax || k == TooLarge }

// HasErrors reports whether any of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// maxFindings bounds what is reported. Only the first ones help with a file of another
// kind.
const maxFindings = 1000

// Limit returns the first findings, and a note if there are more.
func Limit(findings []Finding) []Finding {
	if len(findings) <= maxFindings {
		return findings
	}
	more := Finding{Severity: Note, Kind: MoreFindings, Detail: fmt.Sprintf("%d more findings are left out", len(findings)-maxFindings)}
	return append(slices.Clone(findings[:maxFindings]), more)
}

// Merge returns the findings of the decoder and those of the rules, sorted by line. A rule
// is not reported where the decoder found an error, since it saw a default there.
func Merge(decoded, rules []Finding) []Finding {
	wrong := make(map[string]bool)
	for _, f := range decoded {
		wrong[f.Position.Path] = wrong[f.Position.Path] || f.Severity == Error
	}
	all := slices.Clone(decoded)
	for _, f := range rules {
		if !wrong[f.Position.Path] {
			all = append(all, f)
		}
	}
	Sort(all)
	return all
}

// Sort sorts findings by line and then by path, in place.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Position.Line, b.Position.Line), cmp.Compare(a.Position.Path, b.Position.Path))
	})
}

package config

import (
	"fmt"
)

type (
	// Kind is the kind of the part that a Path points to.
	Kind string

	// Field names one value of a part.
	Field string

	// Path points to a value, or to a whole part when Field is empty.
	Path struct {
		Kind Kind
		// Name identifies the part among those of its kind. It is
		// "workspace/guarantee" for a guarantee, and empty for the site and
		// the limits, which exist once.
		Name  string
		Field Field
	}
)

// Kinds of parts.
const (
	SiteKind      Kind = "site"
	DomainKind    Kind = "domain"
	WorkspaceKind Kind = "workspace"
	GuaranteeKind Kind = "guarantee"
	ServiceKind   Kind = "service"
	OperatorKind  Kind = "operator"
	LimitsKind    Kind = "limits"
)

// Fields of the parts. All formats of this project use these names.
const (
	FieldName            Field = "name"
	FieldVersion         Field = "version"
	FieldRegion          Field = "region"
	FieldInService       Field = "inService"
	FieldWeight          Field = "weight"
	FieldKeys            Field = "keys"
	FieldMaxQueuedJobs   Field = "maxQueuedJobs"
	FieldMembers         Field = "members"
	FieldAccelerators    Field = "accelerators"
	FieldProcessors      Field = "processors"
	FieldMemory          Field = "memory"
	FieldAdjacency       Field = "adjacency"
	FieldCount           Field = "count"
	FieldHomes           Field = "homes"
	FieldWorkspaces      Field = "workspaces"
	FieldTimeout         Field = "timeout"
	FieldQueueLimit      Field = "queueLimit"
	FieldMaxAnswer       Field = "maxAnswer"
	FieldMaxBody         Field = "maxBody"
	FieldRetryShare      Field = "retryShare"
	FieldStopDelay       Field = "stopDelay"
	FieldStopLimit       Field = "stopLimit"
	FieldCheckpointLimit Field = "checkpointLimit"
	FieldLinkRate        Field = "linkRate"
	FieldLinkBulkShare   Field = "linkBulkShare"
	FieldLinkBulkSize    Field = "linkBulkSize"
)

// IsNamed reports whether parts of the kind have names, because there can be
// several of them.
func (k Kind) IsNamed() bool { return k != SiteKind && k != LimitsKind }

// Part returns the path of the part that p, or the value at p, belongs to.
func (p Path) Part() Path { return Path{Kind: p.Kind, Name: p.Name} }

// String returns a form such as `workspace "foundryA" weight`.
func (p Path) String() string {
	s := string(p.Kind)
	if p.Kind.IsNamed() {
		s += fmt.Sprintf(" %q", p.Name)
	}
	if p.Field != "" {
		s += " " + string(p.Field)
	}
	return s
}

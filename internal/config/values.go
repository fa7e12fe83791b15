package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/baobabquay/baobabquay/internal/ident"
)

// Value is one value of a configuration in its text form.
type Value struct {
	Path Path
	Text string
}

// NoHome is the text form of an empty home, that is, of a guaranteed shape that
// fits in no domain. It is not a valid identifier, so no domain can have this
// name.
const NoHome = "(none)"

// Values returns all values of c in the order of c. Parts of one kind are
// adjacent, except that the guarantees of a workspace follow it. Version and
// homes are omitted if they are not set.
func (c *Config) Values() []Value {
	var v values
	v.add(Path{SiteKind, "", FieldName}, c.Site)
	if c.Version != 0 {
		v.add(Path{SiteKind, "", FieldVersion}, strconv.FormatInt(c.Version, 10))
	}
	for _, d := range c.Domains {
		v.add(Path{DomainKind, string(d.Name), FieldRegion}, string(d.Region))
		v.add(Path{DomainKind, string(d.Name), FieldInService}, strconv.FormatBool(d.InService))
	}
	for _, w := range c.Workspaces {
		v.addWorkspace(w)
	}
	for _, s := range c.Services {
		v.addService(s)
	}
	for _, o := range c.Operators {
		v.add(Path{OperatorKind, o.Name, FieldKeys}, joinTexts(o.Keys))
	}
	v.addLimits(c.Limits)
	return v
}

// GuaranteeName returns the Name in the Path of a guarantee.
func GuaranteeName(w ident.Workspace, guarantee string) string {
	return string(w) + "/" + guarantee
}

type values []Value

func (v *values) add(p Path, text string) { *v = append(*v, Value{p, text}) }

func (v *values) addWorkspace(w Workspace) {
	name := string(w.Name)
	v.add(Path{WorkspaceKind, name, FieldWeight}, strconv.Itoa(w.Weight))
	v.add(Path{WorkspaceKind, name, FieldMaxQueuedJobs}, strconv.Itoa(w.MaxQueuedJobs))
	v.add(Path{WorkspaceKind, name, FieldKeys}, joinTexts(w.Keys))
	for _, g := range w.Guarantees {
		v.addGuarantee(GuaranteeName(w.Name, g.Name), g)
	}
}

func (v *values) addGuarantee(name string, g Guarantee) {
	v.add(Path{GuaranteeKind, name, FieldMembers}, strconv.Itoa(g.Shape.Members))
	v.add(Path{GuaranteeKind, name, FieldAccelerators}, strconv.Itoa(g.Shape.Member.Accelerators))
	v.add(Path{GuaranteeKind, name, FieldProcessors}, strconv.Itoa(g.Shape.Member.Processors))
	v.add(Path{GuaranteeKind, name, FieldMemory}, g.Shape.Member.Memory.String())
	v.add(Path{GuaranteeKind, name, FieldAdjacency}, g.Shape.Adjacency.String())
	v.add(Path{GuaranteeKind, name, FieldCount}, strconv.Itoa(g.Count))
	if len(g.Homes) == 0 {
		return
	}
	homes := make([]string, 0, len(g.Homes))
	for _, h := range g.Homes {
		if h == "" {
			h = NoHome
		}
		homes = append(homes, string(h))
	}
	v.add(Path{GuaranteeKind, name, FieldHomes}, strings.Join(homes, ", "))
}

func (v *values) addService(s Service) {
	name := string(s.Name)
	names := make([]string, 0, len(s.Workspaces))
	for _, w := range s.Workspaces {
		names = append(names, string(w))
	}
	v.add(Path{ServiceKind, name, FieldWorkspaces}, strings.Join(names, ", "))
	v.add(Path{ServiceKind, name, FieldTimeout}, s.Timeout.String())
	v.add(Path{ServiceKind, name, FieldQueueLimit}, strconv.Itoa(s.QueueLimit))
	v.add(Path{ServiceKind, name, FieldMaxAnswer}, s.MaxAnswer.String())
}

func (v *values) addLimits(l Limits) {
	v.add(Path{LimitsKind, "", FieldMaxBody}, l.MaxBody.String())
	v.add(Path{LimitsKind, "", FieldRetryShare}, strconv.FormatFloat(l.RetryShare, 'g', -1, 64))
	v.add(Path{LimitsKind, "", FieldStopDelay}, l.StopDelay.String())
	v.add(Path{LimitsKind, "", FieldStopLimit}, l.StopLimit.String())
	v.add(Path{LimitsKind, "", FieldCheckpointLimit}, l.CheckpointLimit.String())
	v.add(Path{LimitsKind, "", FieldLinkRate}, l.LinkRate.String())
	v.add(Path{LimitsKind, "", FieldLinkBulkShare}, strconv.FormatFloat(l.LinkBulkShare, 'g', -1, 64))
	v.add(Path{LimitsKind, "", FieldLinkBulkSize}, l.LinkBulkSize.String())
}

func joinTexts[T fmt.Stringer](list []T) string {
	texts := make([]string, 0, len(list))
	for _, x := range list {
		texts = append(texts, x.String())
	}
	return strings.Join(texts, ", ")
}

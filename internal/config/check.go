package config

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// Problem is one invalid value or part of a configuration.
	Problem struct {
		Path Path
		// Detail describes the problem.
		Detail string
		// Allowed describes what is valid. It may be empty.
		Allowed string
	}

	// Problems are all problems of one configuration.
	Problems []Problem

	// Range is a closed interval of values.
	Range[T cmp.Ordered] struct{ Min, Max T }

	// checker collects the problems of a configuration.
	checker struct {
		c        *Config
		problems Problems
		// seenParts and keyPaths hold what was checked so far, to find
		// duplicate parts and key hashes.
		seenParts map[Path]bool
		keyPaths  map[keys.Hash]Path
	}
)

// Allowed ranges of values. The upper bounds are far above any planned size;
// they catch errors such as a wrong unit.
var (
	WeightRange     = Range[int]{1, 10_000}
	QueuedJobsRange = Range[int]{1, 1_000_000}
	CountRange      = Range[int]{1, 1024}
	TimeoutRange    = Range[time.Duration]{10 * time.Millisecond, 24 * time.Hour}
	QueueLimitRange = Range[int]{1, 100_000}
	MaxAnswerRange  = Range[shape.Bytes]{1 << 10, shape.GiB}
	MaxBodyRange    = Range[shape.Bytes]{1 << 10, shape.GiB}
	RetryShareRange = Range[float64]{0, 1}
	StopDelayRange  = Range[time.Duration]{0, time.Minute}
	StopLimitRange  = Range[time.Duration]{time.Second, time.Hour}
	CheckpointRange = Range[time.Duration]{0, time.Minute}
	LinkRateRange   = Range[shape.Bytes]{64 << 10, 1 << 40}
	LinkShareRange  = Range[float64]{0.01, 1}
	LinkSizeRange   = Range[shape.Bytes]{1 << 10, shape.GiB}
	nameAllowed     = fmt.Sprintf("1 to %d letters, digits, dots, underscores and hyphens, not starting with a dot", ident.MaxLength)
)

// Check returns all problems of c in the order of c, or nil.
func (c *Config) Check() Problems {
	k := checker{c: c, seenParts: make(map[Path]bool), keyPaths: make(map[keys.Hash]Path)}
	k.checkSite()
	for _, d := range c.Domains {
		k.checkDomain(d)
	}
	for _, w := range c.Workspaces {
		k.checkWorkspace(w)
	}
	for _, s := range c.Services {
		k.checkService(s)
	}
	for _, o := range c.Operators {
		k.checkOperator(o)
	}
	k.checkLimits(c.Limits)
	return k.problems
}

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Error returns the path, the detail and the allowed values.
func (p Problem) Error() string {
	if p.Allowed == "" {
		return fmt.Sprintf("%v: %s", p.Path, p.Detail)
	}
	return fmt.Sprintf("%v: %s; allowed: %s", p.Path, p.Detail, p.Allowed)
}

// Has reports whether v is in the range. A NaN is in no range.
func (r Range[T]) Has(v T) bool { return r.Min <= v && v <= r.Max }

// String returns a form such as "1 to 10000".
func (r Range[T]) String() string { return fmt.Sprintf("%v to %v", r.Min, r.Max) }

func (k *checker) checkSite() {
	site := Path{Kind: SiteKind}
	k.checkName(Path{SiteKind, "", FieldName}, k.c.Site)
	if k.c.Version < 0 {
		k.add(Path{SiteKind, "", FieldVersion}, fmt.Sprint(k.c.Version), "0 or more")
	}
	if len(k.c.Domains) == 0 {
		k.add(site, "no failure domain", "at least 1 domain")
	}
	if len(k.c.Operators) == 0 {
		k.add(site, "no operator, so the configuration could not be changed any more", "at least 1 operator")
	}
}

func (k *checker) checkDomain(d Domain) {
	k.checkPart(Path{Kind: DomainKind, Name: string(d.Name)}, string(d.Name))
	k.checkName(Path{DomainKind, string(d.Name), FieldRegion}, string(d.Region))
}

func (k *checker) checkWorkspace(w Workspace) {
	name := string(w.Name)
	k.checkPart(Path{Kind: WorkspaceKind, Name: name}, name)
	checkRange(k, Path{WorkspaceKind, name, FieldWeight}, w.Weight, WeightRange)
	checkRange(k, Path{WorkspaceKind, name, FieldMaxQueuedJobs}, w.MaxQueuedJobs, QueuedJobsRange)
	k.checkKeys(Path{WorkspaceKind, name, FieldKeys}, w.Keys)
	for _, g := range w.Guarantees {
		k.checkGuarantee(w, g)
	}
}

func (k *checker) checkGuarantee(w Workspace, g Guarantee) {
	part := Path{Kind: GuaranteeKind, Name: GuaranteeName(w.Name, g.Name)}
	k.checkPart(part, g.Name)
	k.checkShape(part, g.Shape)
	checkRange(k, Path{GuaranteeKind, part.Name, FieldCount}, g.Count, CountRange)
	homes := Path{GuaranteeKind, part.Name, FieldHomes}
	if len(g.Homes) != 0 && len(g.Homes) != g.Count {
		k.add(homes, fmt.Sprintf("%d homes for count %d", len(g.Homes), g.Count), "no homes, or as many as the count")
	}
	for _, h := range g.Homes {
		if _, ok := k.c.Domain(h); h != "" && !ok {
			k.add(homes, fmt.Sprintf("unknown domain %q", h), "names of configured domains")
		}
	}
}

// checkShape checks each value of a shape separately, with valid values in place
// of the others, because Shape.Check stops at the first problem.
func (k *checker) checkShape(part Path, s shape.Shape) {
	oneAccelerator, m := shape.Resources{Accelerators: 1}, s.Member
	for _, probe := range []struct {
		field Field
		shape shape.Shape
	}{
		{FieldMembers, shape.Shape{Members: s.Members, Member: oneAccelerator}},
		{FieldAccelerators, shape.Shape{Members: 1, Member: shape.Resources{Accelerators: m.Accelerators, Processors: 1}}},
		{FieldProcessors, shape.Shape{Members: 1, Member: shape.Resources{Accelerators: 1, Processors: m.Processors}}},
		{FieldMemory, shape.Shape{Members: 1, Member: shape.Resources{Accelerators: 1, Memory: m.Memory}}},
		{FieldAdjacency, shape.Shape{Members: 1, Member: oneAccelerator, Adjacency: s.Adjacency}},
	} {
		if err := probe.shape.Check(); err != nil {
			k.add(Path{GuaranteeKind, part.Name, probe.field}, err.Error(), "")
		}
	}
	if m == (shape.Resources{}) {
		k.add(part, "a member requests no resources", "at least one of accelerators, processors and memory")
	}
}

func (k *checker) checkService(s Service) {
	name := string(s.Name)
	k.checkPart(Path{Kind: ServiceKind, Name: name}, name)
	path := Path{ServiceKind, name, FieldWorkspaces}
	seen := make(map[ident.Workspace]bool)
	for _, w := range s.Workspaces {
		if _, ok := k.c.Workspace(w); !ok {
			k.add(path, fmt.Sprintf("unknown workspace %q", w), "names of configured workspaces, or empty for all")
		} else if seen[w] {
			k.add(path, fmt.Sprintf("duplicate workspace %q", w), "each name once")
		}
		seen[w] = true
	}
	checkRange(k, Path{ServiceKind, name, FieldTimeout}, s.Timeout, TimeoutRange)
	checkRange(k, Path{ServiceKind, name, FieldQueueLimit}, s.QueueLimit, QueueLimitRange)
	checkRange(k, Path{ServiceKind, name, FieldMaxAnswer}, s.MaxAnswer, MaxAnswerRange)
}

func (k *checker) checkOperator(o Operator) {
	k.checkPart(Path{Kind: OperatorKind, Name: o.Name}, o.Name)
	path := Path{OperatorKind, o.Name, FieldKeys}
	k.checkKeys(path, o.Keys)
	if len(o.Keys) == 0 {
		k.add(path, "no key hash", "at least 1 key hash")
	}
}

func (k *checker) checkLimits(l Limits) {
	checkRange(k, Path{LimitsKind, "", FieldMaxBody}, l.MaxBody, MaxBodyRange)
	checkRange(k, Path{LimitsKind, "", FieldRetryShare}, l.RetryShare, RetryShareRange)
	checkRange(k, Path{LimitsKind, "", FieldStopDelay}, l.StopDelay, StopDelayRange)
	checkRange(k, Path{LimitsKind, "", FieldStopLimit}, l.StopLimit, StopLimitRange)
	checkRange(k, Path{LimitsKind, "", FieldCheckpointLimit}, l.CheckpointLimit, CheckpointRange)
	checkRange(k, Path{LimitsKind, "", FieldLinkRate}, l.LinkRate, LinkRateRange)
	checkRange(k, Path{LimitsKind, "", FieldLinkBulkShare}, l.LinkBulkShare, LinkShareRange)
	checkRange(k, Path{LimitsKind, "", FieldLinkBulkSize}, l.LinkBulkSize, LinkSizeRange)
}

// checkPart checks the name of a part and that no earlier part has its path.
func (k *checker) checkPart(part Path, name string) {
	k.checkName(part, name)
	if k.seenParts[part] {
		k.add(part, "duplicate name", "each name once")
	}
	k.seenParts[part] = true
}

func (k *checker) checkName(p Path, name string) {
	if ident.Check(name) != nil {
		k.add(p, fmt.Sprintf("invalid name %q", name), nameAllowed)
	}
}

// checkKeys reports a hash that appears more than once: a caller with its key
// could not be attributed to one workspace or operator.
func (k *checker) checkKeys(p Path, hashes []keys.Hash) {
	for _, h := range hashes {
		if first, ok := k.keyPaths[h]; ok {
			k.add(p, fmt.Sprintf("key hash %s is already used in %v", abbreviateHash(h.String()), first.Part()), "each hash once")
			continue
		}
		k.keyPaths[h] = p
	}
}

func (k *checker) add(p Path, detail, allowed string) {
	k.problems = append(k.problems, Problem{p, detail, allowed})
}

func checkRange[T cmp.Ordered](k *checker, p Path, v T, r Range[T]) {
	if !r.Has(v) {
		k.add(p, fmt.Sprint(v), r.String())
	}
}

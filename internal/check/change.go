package check

import (
	"fmt"
	"strconv"

	"github.com/baobabquay/baobabquay/internal/queues"
)

type (
	// Op is what a change does.
	Op string

	// Change is one difference between two versions. No text in it contains a key.
	Change struct {
		Op   Op
		Part Part
		// Name is the name of the queue, service or workspace.
		Name string
		// Field is empty if the whole part is added or removed.
		Field    Field
		Old, New string
		// Meaning says what the change means for callers.
		Meaning string
		// Position is where the new version has the value, or where the old version
		// has it if the new one does not.
		Position Position
	}

	// keyPlace is a key and where it is written.
	keyPlace struct {
		key string
		at  Place
	}

	// comparer collects the changes from one version to another.
	comparer struct {
		old, new *Document
		changes  []Change
	}
)

// The operations.
const (
	Add    Op = "add"
	Remove Op = "remove"
	Set    Op = "set"
)

// noLimit is how a cap of 0 is shown.
const noLimit = "no limit"

// Changes returns the changes from one version to another: of the version itself, then
// of the queues, services and workspaces, each in the order of the new version followed
// by what is removed. Parts are matched by name, and of several with one name the last
// counts, as at an instance.
func Changes(old, changed *Document) []Change {
	c := &comparer{old: old, new: changed}
	c.compareConfig()
	c.compareQueues()
	c.compareServices()
	c.compareWorkspaces()
	return c.changes
}

// VersionFinding returns the finding about a version that does not increase, and whether
// there is one.
func VersionFinding(old, changed *Document) (Finding, bool) {
	if changed.Config.Version > old.Config.Version {
		return Finding{}, false
	}
	return Finding{
		Error, VersionNotIncreasing, changed.Locate(Place{Part: PartConfig, Field: FieldVersion}),
		fmt.Sprintf("version %d does not follow version %d, so that instances keep the old configuration", changed.Config.Version, old.Config.Version),
		fmt.Sprintf("write a version above %d", old.Config.Version),
	}, true
}

// set adds a change of a field unless its values are equal.
func (c *comparer) set(at Place, name, before, after, meaning string) {
	if before != after {
		c.changes = append(c.changes, Change{Set, at.Part, name, at.Field, before, after, meaning, c.new.Locate(at)})
	}
}

// whole adds a change of a whole part, which is written in d.
func (c *comparer) whole(op Op, d *Document, at Place, name, meaning string) {
	c.changes = append(c.changes, Change{Op: op, Part: at.Part, Name: name, Meaning: meaning, Position: d.Locate(at)})
}

func (c *comparer) compareConfig() {
	before, after := c.old.Config, c.new.Config
	c.set(Place{Part: PartConfig, Field: FieldVersion}, "", strconv.FormatInt(before.Version, 10), strconv.FormatInt(after.Version, 10),
		either(after.Version > before.Version, "instances replace the old version", "instances keep the old version"))
	c.set(Place{Part: PartConfig, Field: FieldMaxBody}, "", strconv.FormatInt(before.MaxBody, 10), strconv.FormatInt(after.MaxBody, 10),
		either(after.MaxBody < before.MaxBody, "the largest body of a job is smaller", "the largest body of a job is larger"))
}

func (c *comparer) compareQueues() {
	before, after := lastByName(c.old.Config.Queues, queueName), lastByName(c.new.Config.Queues, queueName)
	for i := range c.new.Config.Queues {
		q := &c.new.Config.Queues[i]
		if after[q.Name] != i {
			continue
		}
		at := Place{Part: PartQueue, Index: i}
		if j, ok := before[q.Name]; ok {
			c.compareQueue(at, &c.old.Config.Queues[j], q)
			c.compareTimeout(at, q.Name, j)
			continue
		}
		c.whole(Add, c.new, at, q.Name, "calls to "+address(q)+" are accepted for service "+quote(q.Service))
	}
	for j := range c.old.Config.Queues {
		q := &c.old.Config.Queues[j]
		if _, ok := after[q.Name]; !ok && before[q.Name] == j {
			c.whole(Remove, c.old, Place{Part: PartQueue, Index: j}, q.Name, c.afterwards(q)+"; accepted jobs keep their service")
		}
	}
}

func queueName(q queues.Queue) string { return q.Name }

func address(q *queues.Queue) string { return Clip(q.Host + q.Prefix) }

// afterwards says what the new version does with calls to a queue of the old one.
func (c *comparer) afterwards(q *queues.Queue) string {
	if to, ok := c.new.Config.Queue(q.Host, q.Prefix); ok {
		return fmt.Sprintf("calls to %s go to queue %s", address(q), quote(to.Name))
	}
	return "calls to " + address(q) + " are refused: no such queue"
}

func (c *comparer) compareQueue(at Place, before, after *queues.Queue) {
	set := func(f Field, a, b, meaning string) {
		at.Field = f
		c.set(at, after.Name, a, b, meaning)
	}
	if before.Host != after.Host || before.Prefix != after.Prefix {
		set(FieldHost, before.Host, after.Host, c.afterwards(before))
		set(FieldPrefix, before.Prefix, after.Prefix, c.afterwards(before))
	}
	set(FieldService, before.Service, after.Service, "new jobs, and accepted ones that wait, run on the workers of service "+quote(after.Service))
	set(FieldPriority, strconv.Itoa(before.Priority), strconv.Itoa(after.Priority), priorityMeaning(before.Priority, after.Priority))
	set(FieldAttempts, strconv.Itoa(before.MaxAttempts), strconv.Itoa(after.MaxAttempts),
		either(after.MaxAttempts < before.MaxAttempts, "new jobs fail after fewer failures of a task", "new jobs fail after more failures of a task"))
	set(FieldSlack, number(before.Slack), number(after.Slack), either(after.Slack < before.Slack, "new jobs are late sooner", "new jobs are late later"))
	set(FieldObjective, before.Objective.String(), after.Objective.String(),
		either(after.Objective < before.Objective, "new jobs are late sooner", "new jobs are late later"))
	set(FieldPublic, strconv.FormatBool(before.Public), strconv.FormatBool(after.Public),
		either(after.Public, "callers need no key", "calls without a known key are refused"))
	set(FieldTicket, strconv.FormatBool(before.RequiresTicket), strconv.FormatBool(after.RequiresTicket),
		either(after.RequiresTicket, "jobs start only with a ticket from the advice service", "jobs start without a ticket"))
}

func (c *comparer) compareTimeout(at Place, name string, j int) {
	before, after := c.old.Timeouts[j], c.new.Timeouts[at.Index]
	at.Field = FieldTimeout
	c.set(at, name, before.String(), after.String(), either(after > 0 && (before == 0 || after < before), "calls end sooner", "calls end later"))
}

func priorityMeaning(before, after int) string {
	switch {
	case after == 0:
		return "new jobs are urgent: they count under guarantees and may preempt others"
	case before == 0:
		return "new jobs are no longer urgent: they have no guarantee and may be preempted"
	case after < before:
		return "new jobs come before more of the other jobs"
	}
	return "new jobs come after more of the other jobs"
}

func (c *comparer) compareServices() {
	name := func(s string) string { return s }
	before, after := lastByName(c.old.Services, name), lastByName(c.new.Services, name)
	for i, s := range c.new.Services {
		if after[s] != i {
			continue
		}
		at := Place{Part: PartService, Index: i}
		if _, ok := before[s]; !ok {
			c.whole(Add, c.new, at, s, "queues may name the service")
			continue
		}
		a, b := c.old.Config.Services[s], c.new.Config.Services[s]
		at.Field = FieldEnforces
		c.set(at, s, strconv.FormatBool(a.EnforcesCapacity), strconv.FormatBool(b.EnforcesCapacity),
			either(b.EnforcesCapacity, "workers refuse tasks beyond their capacity", "workers accept tasks beyond their capacity"))
		at.Field = FieldSpare
		c.set(at, s, strconv.FormatBool(a.Spare), strconv.FormatBool(b.Spare),
			either(b.Spare, "the workers are off: jobs of its queues wait", "the workers are on"))
	}
	for j, s := range c.old.Services {
		if _, ok := after[s]; !ok && before[s] == j {
			c.whole(Remove, c.old, Place{Part: PartService, Index: j}, s, "jobs of queues that still name it do not start")
		}
	}
}

func (c *comparer) compareWorkspaces() {
	name := func(w queues.Workspace) string { return w.Name }
	before, after := lastByName(c.old.Config.Workspaces, name), lastByName(c.new.Config.Workspaces, name)
	for i := range c.new.Config.Workspaces {
		w := &c.new.Config.Workspaces[i]
		if after[w.Name] != i {
			continue
		}
		at := Place{Part: PartWorkspace, Index: i}
		if j, ok := before[w.Name]; ok {
			c.compareWorkspace(at, &c.old.Config.Workspaces[j], w)
			continue
		}
		c.whole(Add, c.new, at, w.Name, fmt.Sprintf("callers with its %s can submit", plural(len(w.Keys), "key")))
	}
	for j := range c.old.Config.Workspaces {
		w := &c.old.Config.Workspaces[j]
		if _, ok := after[w.Name]; !ok && before[w.Name] == j {
			c.whole(Remove, c.old, Place{Part: PartWorkspace, Index: j}, w.Name, "its guarantee, weight and cap end")
		}
	}
	c.compareKeys()
}

func (c *comparer) compareWorkspace(at Place, before, after *queues.Workspace) {
	at.Field = FieldGuarantee
	c.set(at, after.Name, strconv.FormatInt(before.GuaranteedAccelerators, 10), strconv.FormatInt(after.GuaranteedAccelerators, 10),
		either(after.GuaranteedAccelerators < before.GuaranteedAccelerators, "fewer accelerators are kept for its urgent jobs",
			"more accelerators are kept for its urgent jobs"))
	at.Field = FieldWeight
	c.set(at, after.Name, number(before.Weight), number(after.Weight), weightMeaning(before.Weight, after.Weight))
	for _, r := range []struct {
		field         Field
		before, after int64
	}{
		{FieldCPU, before.Cap.Millicores, after.Cap.Millicores},
		{FieldMemory, before.Cap.MemoryMiB, after.Cap.MemoryMiB},
		{FieldAccelerators, before.Cap.Accelerators, after.Cap.Accelerators},
	} {
		at.Field = r.field
		c.set(at, after.Name, limit(r.before), limit(r.after), capMeaning(r.before, r.after))
	}
}

func weightMeaning(before, after float64) string {
	switch {
	case after == 0:
		return "no weight: no share and no rate of jobs is configured"
	case after < before:
		return "a smaller share under contention, and fewer jobs per second with a service obligation"
	}
	return "a larger share under contention, and more jobs per second with a service obligation"
}

func capMeaning(before, after int64) string {
	if after > 0 && (before == 0 || after < before) {
		return "lowered: what runs goes on, nothing new starts until it fits, and larger gangs and tasks are refused"
	}
	return "raised: more may run, and larger gangs and tasks are accepted"
}

// compareKeys adds a change for each key that is withdrawn, that is new to a workspace
// of both versions, or that belongs to another workspace.
func (c *comparer) compareKeys() {
	for _, k := range c.old.keyPlaces() {
		before, _ := c.old.Config.Workspace(k.key)
		after, ok := c.new.Config.Workspace(k.key)
		change := Change{Part: PartWorkspace, Name: before, Field: FieldKeys, Position: c.old.Locate(k.at)}
		switch {
		case !ok:
			change.Op, change.Meaning = Remove, "the key is withdrawn: calls with it are refused, except at public queues"
		case after != before:
			change.Op, change.Old, change.New = Set, before, after
			change.Meaning = fmt.Sprintf("calls with the key belong to workspace %s", quote(after))
		default:
			continue
		}
		c.changes = append(c.changes, change)
	}
	existed := lastByName(c.old.Config.Workspaces, func(w queues.Workspace) string { return w.Name })
	for _, k := range c.new.keyPlaces() {
		owner, _ := c.new.Config.Workspace(k.key)
		if _, ok := c.old.Config.Workspace(k.key); ok {
			continue
		}
		if _, ok := existed[owner]; !ok {
			// The addition of the workspace has been reported with its keys.
			continue
		}
		c.changes = append(c.changes, Change{
			Op: Add, Part: PartWorkspace, Name: owner, Field: FieldKeys, Meaning: "calls with the key are accepted",
			Position: c.new.Locate(k.at),
		})
	}
}

// keyPlaces returns each key once, with its first place.
func (d *Document) keyPlaces() []keyPlace {
	var all []keyPlace
	seen := make(map[string]bool)
	for i := range d.Config.Workspaces {
		for j, key := range d.Config.Workspaces[i].Keys {
			if !seen[key] {
				seen[key] = true
				all = append(all, keyPlace{key, Place{Part: PartWorkspace, Index: i, Field: FieldKeys, Item: j}})
			}
		}
	}
	return all
}

// lastByName returns the last position of each name.
func lastByName[T any](list []T, name func(T) string) map[string]int {
	last := make(map[string]int, len(list))
	for i, v := range list {
		last[name(v)] = i
	}
	return last
}

func either(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func limit(v int64) string {
	if v == 0 {
		return noLimit
	}
	return strconv.FormatInt(v, 10)
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

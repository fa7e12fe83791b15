package check

import (
	"fmt"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/queues"
)

type (
	// Options are what the check is told beside the configuration.
	Options struct {
		// Accelerators is the number of accelerators of all workers. 0 means unknown.
		Accelerators int64
	}

	// checker collects findings about one document.
	checker struct {
		*Document
		findings []Finding
	}
)

// Findings returns what is wrong with a document, sorted by line.
func Findings(d *Document, o Options) []Finding {
	c := &checker{Document: d}
	c.checkNames()
	c.checkMatching()
	c.checkKeys()
	c.checkGuarantees(o.Accelerators)
	c.checkQueueLimits()
	c.checkWeights()
	Sort(c.findings)
	return c.findings
}

func (c *checker) add(s Severity, k Kind, p Place, detail, suggestion string) {
	c.findings = append(c.findings, Finding{s, k, c.Locate(p), detail, suggestion})
}

// checkNames reports names that occur twice in a list. Instances find queues, services
// and limits by name and use the last entry.
func (c *checker) checkNames() {
	c.checkNamesOf(PartQueue, len(c.Config.Queues), func(i int) string { return c.Config.Queues[i].Name })
	c.checkNamesOf(PartService, len(c.Services), func(i int) string { return c.Services[i] })
	c.checkNamesOf(PartWorkspace, len(c.Config.Workspaces), func(i int) string { return c.Config.Workspaces[i].Name })
}

func (c *checker) checkNamesOf(p Part, n int, name func(i int) string) {
	first := make(map[string]int, n)
	for i := range n {
		if earlier, ok := first[name(i)]; ok {
			c.add(Error, DuplicateName, Place{Part: p, Index: i, Field: FieldName},
				fmt.Sprintf("%s %s is already defined in line %d", p, quote(name(i)), c.Locate(Place{Part: p, Index: earlier}).Line),
				"rename or remove one of them")
			continue
		}
		first[name(i)] = i
	}
}

// checkMatching reports queues that receive no call or whose jobs no worker runs.
func (c *checker) checkMatching() {
	type address struct{ host, prefix string }
	count := make(map[address]int, len(c.Config.Queues))
	for i := range c.Config.Queues {
		count[address{c.Config.Queues[i].Host, c.Config.Queues[i].Prefix}]++
	}
	winners := make(map[address]*queues.Queue)
	for i := range c.Config.Queues {
		q := &c.Config.Queues[i]
		at := Place{Part: PartQueue, Index: i}
		if a := (address{q.Host, q.Prefix}); count[a] > 1 {
			// One search for each address bounds the time with many equal ones.
			if winners[a] == nil {
				winners[a], _ = c.Config.Queue(q.Host, q.Prefix)
			}
			if w := winners[a]; w != q {
				c.add(Error, HiddenQueue, at, fmt.Sprintf("queue %s receives no calls: queue %s has the same host and prefix", quote(q.Name), quote(w.Name)),
					"change its prefix, or remove it")
			}
		}
		// Callers' paths begin with a slash, and the port is removed from their host.
		if q.Prefix != "" && !strings.HasPrefix(q.Prefix, "/") {
			at.Field = FieldPrefix
			c.add(Error, UnreachableQueue, at, fmt.Sprintf("no path begins with %s", quote(q.Prefix)), fmt.Sprintf("write %s", quote("/"+q.Prefix)))
		}
		if host, _, found := strings.Cut(q.Host, ":"); found && !strings.HasPrefix(q.Host, "[") {
			at.Field = FieldHost
			c.add(Error, UnreachableQueue, at, fmt.Sprintf("host %s has a port, which is removed from calls before they are matched", quote(q.Host)),
				"write "+quote(host))
		}
		if _, ok := c.Config.Services[q.Service]; !ok {
			at.Field = FieldService
			c.add(Error, NoService, at, fmt.Sprintf("queue %s names service %s, which has no entry", quote(q.Name), quote(q.Service)),
				"add the service, or name one that has an entry"+c.similarTo(q.Service, c.Services))
		}
	}
}

// similarTo returns a hint at the most similar of the names, or nothing. It is not
// needed beyond the findings that are shown.
func (c *checker) similarTo(name string, names []string) string {
	if len(c.findings) >= maxFindings {
		return ""
	}
	if s, ok := Similar(name, names); ok {
		return ", such as " + quote(s)
	}
	return ""
}

// checkKeys reports keys of several workspaces, and workspaces without any.
func (c *checker) checkKeys() {
	holders := make(map[string]int)
	for i := range c.Config.Workspaces {
		w := &c.Config.Workspaces[i]
		if len(w.Keys) == 0 {
			c.add(Error, NoKeys, Place{Part: PartWorkspace, Index: i, Field: FieldKeys},
				fmt.Sprintf("workspace %s has no key, so that no caller can use it", quote(w.Name)), "add a key, or remove the workspace")
		}
		for j, key := range w.Keys {
			at := Place{Part: PartWorkspace, Index: i, Field: FieldKeys, Item: j}
			if key == "" {
				c.add(Error, NoKeys, at, fmt.Sprintf("a key of workspace %s is empty, so that calls without a key are its own", quote(w.Name)), "remove it")
			}
			earlier, ok := holders[key]
			if holders[key] = i; !ok || earlier == i {
				continue
			}
			owner, _ := c.Config.Workspace(key)
			c.add(Error, SharedKey, at, fmt.Sprintf("the key is also that of workspace %s; calls with it belong to workspace %s",
				quote(c.Config.Workspaces[earlier].Name), quote(owner)), "give each workspace keys of its own")
		}
	}
}

// checkGuarantees reports guarantees that cannot be kept.
func (c *checker) checkGuarantees(total int64) {
	on, urgent := false, false
	for _, s := range c.Config.Services {
		on = on || !s.Spare
	}
	for i := range c.Config.Queues {
		urgent = urgent || c.Config.Queues[i].Priority == 0
	}
	sum := int64(0)
	for i := range c.Config.Workspaces {
		w := &c.Config.Workspaces[i]
		if w.GuaranteedAccelerators <= 0 {
			continue
		}
		at := Place{Part: PartWorkspace, Index: i, Field: FieldGuarantee}
		before := sum
		if sum += w.GuaranteedAccelerators; sum < before {
			sum = 1<<63 - 1
		}
		switch {
		case !on:
			c.add(Error, UnusableGuarantee, at, fmt.Sprintf("%d accelerators are guaranteed to workspace %s, but no service is on", w.GuaranteedAccelerators, quote(w.Name)),
				"add a service that is not spare, or remove the guarantee")
		case !urgent:
			c.add(Error, UnusableGuarantee, at, fmt.Sprintf("%d accelerators are guaranteed to the urgent jobs of workspace %s, but no queue has priority 0",
				w.GuaranteedAccelerators, quote(w.Name)), "add a queue of priority 0, or remove the guarantee")
		}
		if limit := w.Cap.Accelerators; limit > 0 && limit < w.GuaranteedAccelerators {
			c.add(Error, CapBelowGuarantee, Place{Part: PartWorkspace, Index: i, Field: FieldAccelerators},
				fmt.Sprintf("workspace %s may run on %d accelerators but is guaranteed %d", quote(w.Name), limit, w.GuaranteedAccelerators),
				fmt.Sprintf("raise the cap to at least %d, or lower the guarantee", w.GuaranteedAccelerators))
		}
		if total > 0 && before <= total && sum > total {
			c.add(Error, GuaranteesOverTotal, at, fmt.Sprintf("the guarantees up to workspace %s sum to %d accelerators, and there are %d", quote(w.Name), sum, total),
				"lower the guarantees, or add workers first")
		}
	}
}

// checkQueueLimits reports limits under which a queue's jobs cannot end as intended.
func (c *checker) checkQueueLimits() {
	for i := range c.Config.Queues {
		q := &c.Config.Queues[i]
		if q.MaxAttempts == 0 {
			c.add(Error, NoAttempts, Place{Part: PartQueue, Index: i, Field: FieldAttempts},
				fmt.Sprintf("queue %s allows 0 attempts, so that the first failure of a task fails the job", quote(q.Name)), "set it to 1 or more")
		}
		if q.Objective == 0 && q.Slack == 0 {
			c.add(Error, NoObjective, Place{Part: PartQueue, Index: i, Field: FieldObjective},
				fmt.Sprintf("the jobs of queue %s are late as soon as they are accepted: objective and slack are 0", quote(q.Name)), "set one of them")
		}
		if limit := c.Timeouts[i]; limit > 0 && limit < q.Objective {
			c.add(Error, TimeoutUnderTarget, Place{Part: PartQueue, Index: i, Field: FieldTimeout},
				fmt.Sprintf("queue %s ends calls after %v, before its objective of %v", quote(q.Name), limit, q.Objective),
				fmt.Sprintf("raise it to at least %v, or lower the objective", q.Objective.Round(time.Millisecond)))
		}
	}
}

// checkWeights notes weights that only some workspaces have.
func (c *checker) checkWeights() {
	var without []int
	for i := range c.Config.Workspaces {
		if c.Config.Workspaces[i].Weight == 0 {
			without = append(without, i)
		}
	}
	if len(without) == 0 || len(without) == len(c.Config.Workspaces) {
		return
	}
	c.add(Note, PartialWeights, Place{Part: PartWorkspace, Index: without[0], Field: FieldWeight},
		fmt.Sprintf("workspace %s has no weight while others have one (%d of %d have none)",
			quote(c.Config.Workspaces[without[0]].Name), len(without), len(c.Config.Workspaces)), "give a weight to all workspaces or to none")
}

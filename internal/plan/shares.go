package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/baobabquay/baobabquay/internal/share"
)

// A burst of one or two workspaces would take most of a full site, since its jobs are the
// oldest ones most of the time.

type (
	// Held is a unit that waits for the cap or the share of its workspace.
	Held struct {
		Unit   graph.Unit
		Reason string
	}

	// Share is what a workspace uses of its dominant resource, as a part of the
	// capacity, and what is its part by weight of all that is used.
	Share struct {
		Used, Fair float64
	}

	// shares compares the workspaces in the course of a round.
	shares struct {
		capacity    graph.Demand
		byWorkspace map[string]*workspaceShare
		// used and weights are the sums over the workspaces.
		used, weights float64
	}

	// workspaceShare is the usage of a workspace, present and recent.
	workspaceShare struct {
		weight float64
		used   share.Amounts
		// dominant is the part that it uses of its dominant resource.
		dominant float64
	}

	// class is a set of units that are placed before or after all others. In one class,
	// workspaces share by weight.
	class struct {
		// guaranteed units are urgent and within the guarantee of their workspace.
		// They come first, in their order.
		guaranteed bool
		lateGroup  int
		priority   int
		// beyondRate units are of jobs without a service obligation.
		beyondRate bool
	}

	// classUnits are the units of a class, by workspace in the order of their first
	// units.
	classUnits struct {
		class
		workspaces []*workspaceUnits
	}

	// workspaceUnits are the units of a class and workspace in their order. Those before
	// next have been tried.
	workspaceUnits struct {
		workspace string
		share     *workspaceShare
		units     []graph.Unit
		next      int
	}
)

const (
	// waitsForShare is the reason of a unit that finds no room while its workspace uses
	// more than its share.
	waitsForShare = "share"
	// defaultWeight is the weight of a workspace without one beside others that have one.
	defaultWeight = 1
	// tolerance is the relative error of sums of shares.
	tolerance = 1e-9
)

// LateGroup returns 0 for a unit that can still meet its deadline, else 1.
func LateGroup(now time.Time, v *View, u graph.Unit) int {
	if now.Add(v.runTime(u)).After(v.deadline(u)) {
		return 1
	}
	return 0
}

// newShares returns the shares of the round, or nil if no workspace has a weight.
func (r *round) newShares() *shares {
	if r.Usage == nil || !share.Weighted(r.Limits) {
		return nil
	}
	s := &shares{byWorkspace: make(map[string]*workspaceShare, len(r.Limits))}
	r.Pool.Each(func(w *pool.Worker) {
		if !w.Closed {
			s.capacity = s.capacity.Plus(w.Capacity)
		}
	})
	return s
}

// shareOf returns the share of a workspace.
func (r *round) shareOf(workspace string) *workspaceShare {
	s := r.shares.byWorkspace[workspace]
	if s == nil {
		s = &workspaceShare{weight: defaultWeight, used: r.Usage.Usage(workspace).Average()}
		if w := r.Limits[workspace].Weight; w > 0 {
			s.weight = w
		}
		s.dominant = s.used.Dominant(r.shares.capacity)
		r.shares.byWorkspace[workspace] = s
		r.shares.used += s.dominant
		r.shares.weights += s.weight
	}
	return s
}

// add counts a demand that the round has placed, or, if negative, has stopped. Workspaces
// that are not compared in this round do not matter.
func (s *shares) add(workspace string, d graph.Demand) {
	if s == nil {
		return
	}
	if w := s.byWorkspace[workspace]; w != nil {
		s.used -= w.dominant
		w.used = w.used.Plus(d)
		w.dominant = w.used.Dominant(s.capacity)
		s.used += w.dominant
	}
}

// relative returns the use of the dominant resource by weight.
func (w *workspaceShare) relative() float64 { return w.dominant / w.weight }

// placeByShare places the waiting units class by class. Within a class, the next unit is
// that of the workspace with the lowest use by weight.
func (r *round) placeByShare() {
	for _, c := range r.classes() {
		if c.guaranteed {
			for _, u := range c.workspaces[0].units {
				r.try(u)
			}
			continue
		}
		r.placeClass(c)
	}
	r.reportShares()
}

func (r *round) placeClass(c *classUnits) {
	for len(c.workspaces) > 0 {
		best, least := 0, 0.0
		for i, w := range c.workspaces {
			// Among equals, the workspace whose first unit came first is placed first.
			if use := w.share.relative(); i == 0 || use < least {
				best, least = i, use
			}
		}
		w := c.workspaces[best]
		// A unit that has to wait changes no share, so the next one of the workspace
		// follows.
		for placed := false; !placed && w.next < len(w.units); w.next++ {
			placed = r.try(w.units[w.next])
		}
		if w.next == len(w.units) {
			c.workspaces = slices.Delete(c.workspaces, best, best+1)
		}
	}
}

// classes returns the waiting units by class, in the order in which to place them.
func (r *round) classes() []*classUnits {
	var list []*classUnits
	var last *classUnits
	var current class
	claimed := make(map[string]int64)
	for i, u := range r.Waiting {
		if i == 0 || stepKeyOf(u) != stepKeyOf(r.Waiting[i-1]) || current.guaranteed {
			// The units of a step are adjacent. Those of an urgent one may exceed the
			// guarantee from one on.
			current = r.classOf(u, claimed)
		}
		if last == nil || last.class != current {
			last = classIn(&list, current)
		}
		last.add(r, u)
	}
	slices.SortStableFunc(list, func(a, b *classUnits) int { return a.compare(&b.class) })
	return list
}

// classIn returns the entry of the list for a class, and adds it if there is none.
func classIn(list *[]*classUnits, c class) *classUnits {
	for _, known := range *list {
		if known.class == c {
			return known
		}
	}
	added := &classUnits{class: c}
	*list = append(*list, added)
	return added
}

// add appends a unit to those of its workspace. Guaranteed units are in one list.
func (c *classUnits) add(r *round, u graph.Unit) {
	workspace := u.Progress.Job.Workspace
	if c.guaranteed {
		workspace = ""
	}
	for _, w := range slices.Backward(c.workspaces) {
		if w.workspace == workspace {
			w.units = append(w.units, u)
			return
		}
	}
	w := &workspaceUnits{workspace: workspace, units: []graph.Unit{u}}
	if !c.guaranteed {
		w.share = r.shareOf(workspace)
	}
	c.workspaces = append(c.workspaces, w)
}

// classOf returns the class of u. The accelerators of the guaranteed units so far are in
// claimed, by workspace.
func (r *round) classOf(u graph.Unit, claimed map[string]int64) class {
	j := u.Progress.Job
	if Urgent(j) {
		n := claimed[j.Workspace] + accelerators(u)
		if r.urgentUsed[j.Workspace]+n <= r.Guarantees[j.Workspace] {
			claimed[j.Workspace] = n
			return class{guaranteed: true}
		}
	}
	c := class{lateGroup: r.LateGroup(r.now, r.View, u), priority: j.Priority}
	c.beyondRate = r.BeyondRate != nil && r.BeyondRate(u)
	return c
}

// compare orders classes by the order in which they are placed.
func (c *class) compare(o *class) int {
	switch {
	case c.guaranteed != o.guaranteed:
		return precedence(c.guaranteed)
	case c.lateGroup != o.lateGroup || c.priority != o.priority:
		return cmp.Or(cmp.Compare(c.lateGroup, o.lateGroup), cmp.Compare(c.priority, o.priority))
	case c.beyondRate != o.beyondRate:
		return precedence(o.beyondRate)
	}
	return 0
}

// limitReason returns the reason for which u waits: its share, if there is no room and the
// workspace uses more than its part by weight of what all use together.
func (r *round) limitReason(u graph.Unit, reason string) string {
	if r.shares == nil || reason != "room" {
		return reason
	}
	if s := r.shares.share(r.shareOf(u.Progress.Job.Workspace)); s.Used > s.Fair*(1+tolerance) {
		return waitsForShare
	}
	return reason
}

// share returns what a workspace uses, and its part by weight of what those that are
// compared in this round use together.
func (s *shares) share(w *workspaceShare) Share {
	return Share{Used: w.dominant, Fair: s.used * w.weight / s.weights}
}

// reportShares adds the shares to the decision.
func (r *round) reportShares() {
	r.decision.Shares = make(map[string]Share, len(r.shares.byWorkspace))
	for name, w := range r.shares.byWorkspace {
		r.decision.Shares[name] = r.shares.share(w)
	}
}

package lead

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/plan"
	"github.com/baobabquay/baobabquay/internal/share"
)

const (
	// heldLogInterval is the least time between two log lines about a job that waits for
	// the same limit.
	heldLogInterval = 10 * time.Second
	// gaugeInterval is the least time between two updates of the gauges by workspace.
	gaugeInterval = time.Second
)

type (
	// limitState is what a term knows about the limits of workspaces beside their usage.
	limitState struct {
		// buckets tell the jobs within a workspace's weight in jobs per second from those
		// beyond it.
		buckets map[string]*share.Bucket
		// unrated are the jobs that are new since the last decision.
		unrated []*job
		gauges  workspaceGauges
	}

	// workspaceGauges are the metrics by workspace. They exist while a term has limits.
	workspaceGauges struct {
		set       *metrics.Set
		updatedAt time.Time
		// names has the gauges of the last update.
		names map[string]bool
	}
)

// limitView adds the limits and the usage to the state on which a decision is based.
func (t *term) limitView(now time.Time, v *plan.View, limits map[string]share.Limit) {
	weighted := share.Weighted(limits)
	t.rateJobs(limits, weighted)
	if len(limits) == 0 {
		return
	}
	v.Limits, v.Usage = limits, &t.usage
	if weighted {
		t.usage.Observe(now)
		v.BeyondRate = func(u graph.Unit) bool { return t.jobs[u.Progress.Job.ID].beyondRate }
	}
}

// rateJobs decides which of the new jobs their workspaces have submitted beyond their
// weights in jobs per second. Without weights, none is.
func (t *term) rateJobs(limits map[string]share.Limit, weighted bool) {
	list := t.unrated
	t.unrated = nil
	if !weighted {
		t.buckets = nil
		return
	}
	// A new term reads its jobs in the order of their rows.
	slices.SortFunc(list, func(a, b *job) int {
		x, y := a.progress.Job, b.progress.Job
		return cmp.Or(x.Accepted.Compare(y.Accepted), cmp.Compare(x.ID, y.ID))
	})
	for _, j := range list {
		spec := j.progress.Job
		rate := limits[spec.Workspace].Weight
		if rate <= 0 {
			continue
		}
		if t.buckets == nil {
			t.buckets = make(map[string]*share.Bucket)
		}
		b := t.buckets[spec.Workspace]
		if b == nil {
			b = new(share.Bucket)
			t.buckets[spec.Workspace] = b
		}
		j.beyondRate = !b.Take(spec.Accepted, rate)
	}
}

// logHeld logs the jobs that wait for the cap or the share of their workspaces, with the
// figures.
func (t *term) logHeld(now time.Time, d *plan.Decision, limits map[string]share.Limit) {
	for _, h := range d.Held {
		spec := h.Unit.Progress.Job
		j := t.jobs[spec.ID]
		if last, ok := j.heldLoggedAt[h.Reason]; ok && now.Sub(last) < heldLogInterval {
			continue
		}
		if j.heldLoggedAt == nil {
			j.heldLoggedAt = make(map[string]time.Time)
		}
		j.heldLoggedAt[h.Reason] = now
		pairs := []any{
			"job", string(spec.ID), "step", h.Unit.Step, "occurrence", h.Unit.Occurrence, "workspace", spec.Workspace, "reason", h.Reason,
			"age", now.Sub(spec.Due(h.Unit.Occurrence)).String(), "beyondRate", j.beyondRate,
		}
		limit, usage := limits[spec.Workspace], t.usage.Usage(spec.Workspace)
		if s, ok := d.Shares[spec.Workspace]; ok {
			pairs = append(pairs, "share", formatShare(s.Used), "fairShare", formatShare(s.Fair), "weight", limit.Weight)
		}
		if limit.Cap != (graph.Demand{}) {
			pairs = append(pairs, "needs", h.Unit.Spec().Demand.Times(len(h.Unit.Members)).Text(), "uses", usage.Total().Text(),
				"stopping", usage.Stopping.Text(), "cap", limit.Cap.Text())
		}
		t.Log.Write(event.UnitHeld, pairs...)
	}
}

// formatShare returns a part of the capacity with three digits after the point.
func formatShare(part float64) string { return strconv.FormatFloat(part, 'f', 3, 64) }

// update sets the gauges of the workspaces that have limits. Without limits there are none.
func (g *workspaceGauges) update(now time.Time, usage *share.Account, limits map[string]share.Limit, d *plan.Decision) {
	if now.Sub(g.updatedAt) < gaugeInterval || g.set == nil && len(limits) == 0 {
		return
	}
	g.updatedAt = now
	if g.set == nil {
		g.set = metrics.NewSet()
		metrics.RegisterSet(g.set)
	}
	former := g.names
	g.names = make(map[string]bool, len(former))
	set := func(name string, value float64) {
		g.names[name] = true
		g.set.GetOrCreateGauge(name, nil).Set(value)
	}
	setDemand := func(metric, workspace string, d graph.Demand) {
		for _, q := range [...]struct {
			resource string
			amount   int64
		}{{"millicores", d.Millicores}, {"memoryMiB", d.MemoryMiB}, {"accelerators", d.Accelerators}} {
			set(fmt.Sprintf("%s{workspace=%q,resource=%q}", metric, workspace, q.resource), float64(q.amount))
		}
	}
	for workspace, limit := range limits {
		setDemand("baobabquay_workspace_running", workspace, usage.Usage(workspace).Occupied)
		setDemand("baobabquay_workspace_cap", workspace, limit.Cap)
		if s, ok := d.Shares[workspace]; ok {
			set(fmt.Sprintf("baobabquay_workspace_share{workspace=%q}", workspace), s.Used)
			set(fmt.Sprintf("baobabquay_workspace_fair_share{workspace=%q}", workspace), s.Fair)
		}
	}
	for w, n := range d.WaitsByWorkspace {
		set(fmt.Sprintf("baobabquay_workspace_waiting{workspace=%q,reason=%q}", w.Workspace, w.Reason), float64(n))
	}
	maps.DeleteFunc(former, func(name string, _ bool) bool { return g.names[name] })
	for name := range former {
		g.set.UnregisterMetric(name)
	}
}

// close removes the gauges.
func (g *workspaceGauges) close() {
	if g.set != nil {
		metrics.UnregisterSet(g.set, true)
	}
}

package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/worker"
)

const (
	// rehomeEvery is the period at which owners look at their guarantees.
	rehomeEvery = 5 * time.Second
	// rehomeAfter is the number of looks in a row that must find a guarantee
	// unmet, so that a worker that is silent for a moment changes nothing.
	rehomeAfter = 3
)

// rehome gives guarantees that no longer fit in a shard of this instance a home
// elsewhere, by a change of the configuration.
func (l *life) rehome(ctx context.Context) {
	unmet := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rehomeEvery):
		}
		if !l.shards.hasUnmet() && !l.ownsHomeless() {
			unmet = 0
			continue
		}
		if unmet++; unmet < rehomeAfter {
			continue
		}
		unmet = 0
		current := l.site.Current()
		next := quota.AssignHomes(current, l.shards.inService())
		if len(config.Diff(current, next)) == 0 {
			continue
		}
		// A conflict means that another change came first; it has computed
		// the homes too, and the next look tells whether that was enough.
		_, _ = l.site.Apply(ctx, current.Version, next)
	}
}

// hasUnmet reports whether a shard of this instance cannot hold its guarantees.
func (s *shards) hasUnmet() bool {
	for _, sum := range s.summaries() {
		if len(sum.Unmet) > 0 {
			return true
		}
	}
	return false
}

// ownsHomeless reports whether a guarantee has no home and this instance owns
// the first failure domain, so that one instance looks for one. The workers may
// have been missing from the list when the configuration was committed.
func (l *life) ownsHomeless() bool {
	c := l.site.Current()
	if len(c.Domains) == 0 || !hasHomeless(c) {
		return false
	}
	owner, _, ok := l.shards.summary(c.Domains[0].Name)
	return ok && owner == l.self.Instance
}

func hasHomeless(c *config.Config) bool {
	for _, ws := range c.Workspaces {
		for _, g := range ws.Guarantees {
			if len(g.Homes) < g.Count || slices.Contains(g.Homes, "") {
				return true
			}
		}
	}
	return false
}

// inService returns the workers that the platform lists, without those of the
// own shards that are silent or quarantined.
func (s *shards) inService() []worker.Spec {
	out := make(map[ident.Worker]bool)
	for _, r := range s.all() {
		for _, w := range r.shard.OutOfService() {
			out[w] = true
		}
	}
	return slices.DeleteFunc(s.deps.roster.AllWorkers(), func(w worker.Spec) bool { return out[w.ID] })
}

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
	// homeCheckInterval is the interval at which an instance checks the
	// guarantees of the shards that it owns.
	homeCheckInterval = 5 * time.Second
	// homeCheckThreshold is the number of consecutive checks that must find an
	// unmet guarantee or a missing home before homes are reassigned, so that a
	// worker that is briefly silent changes nothing.
	homeCheckThreshold = 3
)

// reassignHomes moves guarantees that no longer fit in a shard owned by this
// instance to another failure domain, by a change of the configuration.
func (i *instance) reassignHomes(ctx context.Context) {
	unmet := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(homeCheckInterval):
		}
		if !i.shards.hasUnmet() && !i.ownsUnassignedHomes() {
			unmet = 0
			continue
		}
		if unmet++; unmet < homeCheckThreshold {
			continue
		}
		unmet = 0
		current := i.configManager.Current()
		next := quota.AssignHomes(current, i.shards.workersInService())
		if len(config.Diff(current, next)) == 0 {
			continue
		}
		// A conflict means that another change was committed first. Each
		// change assigns the homes, and the next check shows whether that
		// was enough.
		_, _ = i.configManager.Apply(ctx, current.Version, next)
	}
}

// hasUnmet reports whether a shard owned by this instance has guarantees that
// its workers cannot hold.
func (s *shards) hasUnmet() bool {
	for _, sum := range s.ownedSummaries() {
		if len(sum.Unmet) > 0 {
			return true
		}
	}
	return false
}

// ownsUnassignedHomes reports whether a guarantee has no home and this instance
// has to assign one: that is the owner of the first failure domain, so that
// only one instance does so. A home can be missing because the platform did not
// list the workers when the configuration was committed.
func (i *instance) ownsUnassignedHomes() bool {
	c := i.configManager.Current()
	if len(c.Domains) == 0 || !hasUnassignedHome(c) {
		return false
	}
	owner, _, ok := i.shards.summary(c.Domains[0].Name)
	return ok && owner == i.self.Instance
}

// hasUnassignedHome reports whether a guarantee has fewer homes than its count.
func hasUnassignedHome(c *config.Config) bool {
	for _, ws := range c.Workspaces {
		for _, g := range ws.Guarantees {
			if len(g.Homes) < g.Count || slices.Contains(g.Homes, "") {
				return true
			}
		}
	}
	return false
}

// workersInService returns the workers that the platform lists, without those
// that shards owned by this instance regard as silent or quarantined.
func (s *shards) workersInService() []worker.Spec {
	outOfService := make(map[ident.Worker]bool)
	for _, r := range s.runningShards() {
		for _, w := range r.shard.OutOfService() {
			outOfService[w] = true
		}
	}
	return slices.DeleteFunc(s.deps.roster.RecentWorkers(), func(w worker.Spec) bool { return outOfService[w.ID] })
}

package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/entry"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/roster"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// readiness records whether this instance takes requests.
type readiness struct {
	mu       sync.Mutex
	ready    bool
	stopping bool
	// stopSignal is closed when stopping is set.
	stopSignal chan struct{}
}

// explainTimeout bounds the call to the owner of a shard.
const explainTimeout = time.Second

func newReadiness() *readiness { return &readiness{stopSignal: make(chan struct{})} }

func (s *readiness) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && !s.stopping
}

func (s *readiness) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *readiness) setReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

func (s *readiness) setStopping() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.stopping = true
		close(s.stopSignal)
	}
}

// siteStatus returns the state of the site as this instance knows it.
func siteStatus(
	self member.Info, configManager *site.Manager, readiness *readiness, members *member.Service, shards *shards,
	roster *roster.Roster,
) wire.Status {
	c := configManager.Current()
	status := wire.Status{
		Instance: string(self.Instance), Version: c.Version,
		Instances: []wire.Instance{{
			Name: string(self.Instance), Domain: string(self.Domain), Region: string(self.Region),
			Address: self.Caller, Version: c.Version, Ready: readiness.isReady(),
		}},
	}
	for _, p := range members.Live(time.Now()) {
		status.Instances = append(status.Instances, wire.Instance{
			Name: string(p.Instance), Domain: string(p.Domain), Region: string(p.Region),
			Address: p.Caller, Version: p.State.ConfigVersion, Ready: p.State.Ready,
		})
	}
	for _, d := range c.Domains {
		status.Domains = append(status.Domains, domainStatus(d, shards))
	}
	for _, e := range roster.Endpoints() {
		status.Endpoints = append(status.Endpoints, wire.Endpoint{
			Name: string(e.Name), Service: string(e.Service), Domain: string(e.Domain), Leaving: e.Leaving,
		})
	}
	return status
}

func domainStatus(d config.Domain, shards *shards) wire.Domain {
	owner, sum, _ := shards.summary(d.Name)
	return wire.Domain{
		Name: string(d.Name), Region: string(d.Region), InService: d.InService,
		Owner: string(owner), Epoch: sum.Epoch, Workers: sum.Workers,
		Accelerators: sum.Accelerators, FreeAccelerators: sum.FreeAccelerators,
		WaitingJobs: sum.WaitingJobs, RunningJobs: sum.RunningJobs, Unmet: sum.Unmet,
	}
}

// explainJob returns one line that says what a job is doing or waiting for.
func explainJob(shards *shards, j jobs.Job) string {
	switch {
	case j.State.Ended(), j.State.Placed():
		if j.Reason != "" {
			return j.Reason
		}
		return "the job is " + j.State.String()
	}
	if r := shards.waitReason(j.Domain, j.Workspace, j.ID); r != "" {
		return r
	}
	owner, _, ok := shards.deps.members.Owner(j.Domain, time.Now())
	if !ok {
		return "failure domain " + string(j.Domain) + " currently has no owner"
	}
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	if r, err := shards.deps.peers.Explain(ctx, owner.Peer, j.Domain, j.Workspace, j.ID); err == nil && r != "" {
		return r
	}
	return "the owner of failure domain " + string(j.Domain) + " has not evaluated the job yet"
}

// setDomain takes a failure domain out of service or brings it back. The
// operator gives the desired state, so after a conflict with another change
// setDomain retries on the new version.
func setDomain(
	ctx context.Context, configManager *site.Manager, roster *roster.Roster, log event.Log, d ident.Domain, inService bool,
) (*config.Config, error) {
	for {
		c, err := configManager.Read(ctx)
		if err != nil {
			return nil, err
		}
		next, ok := c.WithDomain(d, inService)
		if !ok {
			return nil, fmt.Errorf("failure domain %s: %w", d, entry.ErrNoDomain)
		}
		accepted, err := configManager.Apply(ctx, c.Version, quota.AssignHomes(next, roster.RecentWorkers()))
		switch {
		case isConflict(err):
			continue
		case err != nil:
			return nil, err
		}
		id := event.DomainOut
		if inService {
			id = event.DomainIn
		}
		log.Write(id, "domain", d, "version", accepted.Version)
		return accepted, nil
	}
}

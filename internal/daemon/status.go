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

// status is whether this instance takes requests.
type status struct {
	mu       sync.Mutex
	ready    bool
	stopping bool
	// stop is closed when stopping is set.
	stop chan struct{}
}

// explainTimeout bounds the question to the owner of a shard.
const explainTimeout = time.Second

func newStatus() *status { return &status{stop: make(chan struct{})} }

func (s *status) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && !s.stopping
}

func (s *status) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *status) setReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

func (s *status) setStopping() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.stopping = true
		close(s.stop)
	}
}

// siteStatus returns the state of the site as this instance knows it.
func siteStatus(self member.Info, k *site.Keeper, st *status, v *member.Service, sh *shards, r *roster.Roster) wire.Status {
	c := k.Current()
	s := wire.Status{
		Instance: string(self.Instance), Version: c.Version,
		Instances: []wire.Instance{{
			Name: string(self.Instance), Domain: string(self.Domain), Region: string(self.Region),
			Address: self.Caller, Version: c.Version, Ready: st.isReady(),
		}},
	}
	for _, p := range v.Live(time.Now()) {
		s.Instances = append(s.Instances, wire.Instance{
			Name: string(p.Instance), Domain: string(p.Domain), Region: string(p.Region),
			Address: p.Caller, Version: p.State.ConfigVersion, Ready: p.State.Ready,
		})
	}
	for _, d := range c.Domains {
		s.Domains = append(s.Domains, domainStatus(d, sh))
	}
	for _, e := range r.Endpoints() {
		s.Endpoints = append(s.Endpoints, wire.Endpoint{
			Name: string(e.Name), Service: string(e.Service), Domain: string(e.Domain), Leaving: e.Leaving,
		})
	}
	return s
}

func domainStatus(d config.Domain, sh *shards) wire.Domain {
	holder, sum, _ := sh.summary(d.Name)
	return wire.Domain{
		Name: string(d.Name), Region: string(d.Region), InService: d.InService,
		Owner: string(holder), Epoch: sum.Epoch, Workers: sum.Workers,
		Accelerators: sum.Accelerators, FreeAccelerators: sum.FreeAccelerators,
		WaitingJobs: sum.WaitingJobs, RunningJobs: sum.RunningJobs, Unmet: sum.Unmet,
	}
}

// explainJob returns in one line what a job is doing or waiting for.
func explainJob(sh *shards, j jobs.Job) string {
	switch {
	case j.State.Ended(), j.State.Placed():
		if j.Reason != "" {
			return j.Reason
		}
		return "the job is " + j.State.String()
	}
	if r := sh.reason(j.Domain, j.Workspace, j.ID); r != "" {
		return r
	}
	p, _, ok := sh.deps.view.Owner(j.Domain, time.Now())
	if !ok {
		return "failure domain " + string(j.Domain) + " has no owner at present"
	}
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	if r, err := sh.deps.peers.Explain(ctx, p.Peer, j.Domain, j.Workspace, j.ID); err == nil && r != "" {
		return r
	}
	return "the owner of failure domain " + string(j.Domain) + " has not considered the job yet"
}

// setDomain takes a failure domain out of service or brings it back. An
// operator names a state and not a change, so a conflict with another change
// is tried again on the new version.
func setDomain(
	ctx context.Context, k *site.Keeper, ro *roster.Roster, log event.Log, d ident.Domain, inService bool,
) (*config.Config, error) {
	for {
		c, err := k.Read(ctx)
		if err != nil {
			return nil, err
		}
		next, ok := c.WithDomain(d, inService)
		if !ok {
			return nil, fmt.Errorf("failure domain %s: %w", d, entry.ErrNoDomain)
		}
		accepted, err := k.Apply(ctx, c.Version, quota.AssignHomes(next, ro.AllWorkers()))
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

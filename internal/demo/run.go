package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/pipe"
	"github.com/pkg/errors"
)

type (
	// run is what passes through the filters of Run.
	run struct {
		plan   Plan
		record Record
		sites  []*runSite
		// unwatch ends watching, the context of the polls.
		watching context.Context
		unwatch  context.CancelFunc
		polls    sync.WaitGroup
	}

	runSite struct {
		plan     PlanSite
		workload Workload
		front    *front
		seen     *Site
	}
)

const (
	// readyLimit bounds the start of all instances.
	readyLimit = 20 * time.Second
	// settle is the time in which the last configuration reaches all
	// instances (P9).
	settle = 5 * time.Second
	// incarnation is the length of what a process adds to its name.
	incarnation = 9
)

var (
	errNotReady = errors.New("not all instances are ready")
	errOwner    = errors.New("a failure domain has no owner")

	path = pipe.New("demo",
		pipe.Filter[*run]{Name: "load", Do: loadStep},
		pipe.Filter[*run]{Name: "configure", Do: configureStep},
		pipe.Filter[*run]{Name: "announce", Do: announceStep},
		pipe.Filter[*run]{Name: "serve", Do: serveStep},
		pipe.Filter[*run]{Name: "settle", Do: settleStep},
		pipe.Filter[*run]{Name: "collect", Do: collectStep},
	)
)

// Run drives the installations of the plan and returns what was seen.
func Run(ctx context.Context, p Plan) (Record, error) {
	r := &run{plan: p, record: Record{Seed: p.Seed}}
	r.watching, r.unwatch = context.WithCancel(ctx)
	err := path.Run(ctx, r)
	r.unwatch()
	r.polls.Wait()
	if err != nil {
		return r.record, fmt.Errorf("run demo: %w", err)
	}
	return r.record, nil
}

func loadStep(_ context.Context, r *run) error {
	r.record.Sites = make([]Site, len(r.plan.Sites))
	for i, p := range r.plan.Sites {
		w, err := ReadWorkload(p.Workload)
		if err != nil {
			return err
		}
		r.record.Sites[i].Name = p.Name
		r.sites = append(r.sites, &runSite{
			plan: p, workload: w, seen: &r.record.Sites[i],
			front: newFront(p.Instances, w.OperatorKey, r.plan.Seed+uint64(i)),
		})
	}
	return nil
}

// configureStep applies the configurations, which makes the instances ready.
func configureStep(ctx context.Context, r *run) error {
	limited, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, s := range r.sites {
		if err := s.front.applyConfig(limited, s.plan.Config); err != nil {
			return fmt.Errorf("configure %s: %w", s.plan.Name, err)
		}
		r.polls.Go(func() { s.front.watch(r.watching) })
	}
	for _, s := range r.sites {
		for !s.front.isReady() {
			if !pause(limited, pollEvery) {
				return fmt.Errorf("start %s: %w", s.plan.Name, errNotReady)
			}
		}
	}
	return nil
}

// announceStep tells the script that the load begins and which instances to
// kill and to stop: two owners of shards of the first site, so that the faults
// meet placements and not only requests.
func announceStep(ctx context.Context, r *run) error {
	limited, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	owners, err := r.sites[0].owners(limited)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("kill=%s\nstop=%s\n", owners[0], owners[len(owners)-1])
	name := filepath.Join(r.plan.Dir, fileServing)
	if err := os.WriteFile(name+".part", []byte(text), 0o600); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	if err := os.Rename(name+".part", name); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	return nil
}

// owners returns two instances, the first of which owns a shard and the second
// of which owns another, if there are two owners.
func (s *runSite) owners(ctx context.Context) ([]string, error) {
	for {
		var names []string
		status, err := s.front.status(ctx, s.front.pick())
		complete := err == nil
		for _, d := range status.Domains {
			complete = complete && len(d.Owner) > incarnation && d.Workers > 0
			if complete {
				names = append(names, d.Owner[:len(d.Owner)-incarnation])
			}
		}
		if complete {
			return s.pair(names), nil
		}
		if !pause(ctx, pollEvery) {
			return nil, fmt.Errorf("owners of %s: %w", s.plan.Name, errOwner)
		}
	}
}

// pair returns the first name and another one.
func (s *runSite) pair(owners []string) []string {
	for _, n := range owners {
		if n != owners[0] {
			return []string{owners[0], n}
		}
	}
	for _, in := range s.plan.Instances {
		if in.Name != owners[0] && !in.Spare {
			return []string{owners[0], in.Name}
		}
	}
	return []string{owners[0]}
}

// serveStep sends the load of all sites at once and waits for the faults.
func serveStep(ctx context.Context, r *run) error {
	r.record.Began = time.Now()
	var sites sync.WaitGroup
	for i, s := range r.sites {
		l := &load{
			site: s.plan.Name, front: s.front, workload: s.workload,
			random: rand.New(rand.NewPCG(r.plan.Seed, uint64(i))),
		}
		sites.Go(func() { l.run(ctx, s.seen) })
	}
	faults, err := awaitFaults(ctx, r.plan.Dir)
	sites.Wait()
	r.record.Ended, r.record.Faults = time.Now(), faults
	return err
}

// settleStep reads the version of each instance that should live until all
// have the same one or the time is over.
func settleStep(ctx context.Context, r *run) error {
	limited, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	for _, s := range r.sites {
		for {
			s.seen.Final = s.final(ctx, r.record.Faults)
			if isSame(s.seen.Final) || !pause(limited, pollEvery) {
				break
			}
		}
	}
	r.unwatch()
	r.polls.Wait()
	return nil
}

// final returns the versions at the instances that were neither killed nor
// stopped.
func (s *runSite) final(ctx context.Context, faults []Fault) []Version {
	ctx, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	var all []Version
	for _, in := range s.plan.Instances {
		if lives(in, faults) {
			all = append(all, s.front.version(ctx, in))
		}
	}
	return all
}

func lives(in PlanInstance, faults []Fault) bool {
	alive := !in.Spare
	for _, f := range faults {
		if f.Instance == in.Name {
			alive = f.Kind == Started
		}
	}
	return alive
}

func isSame(all []Version) bool {
	for _, v := range all {
		if v.Version < 0 || v.Version != all[0].Version {
			return false
		}
	}
	return true
}

// collectStep reads the logs.
func collectStep(ctx context.Context, r *run) error {
	for _, s := range r.sites {
		s.seen.Versions = s.front.seen()
		if err := collect(ctx, s.plan, s.seen); err != nil {
			return fmt.Errorf("collect %s: %w", s.plan.Name, err)
		}
		if err := s.collectStops(r.record.Faults); err != nil {
			return err
		}
	}
	return nil
}

func (s *runSite) collectStops(faults []Fault) error {
	for _, in := range s.plan.Instances {
		for _, f := range faults {
			if f.Kind != Stopped || f.Instance != in.Name {
				continue
			}
			stop, err := readStop(in)
			if err != nil {
				return err
			}
			s.seen.Stops = append(s.seen.Stops, stop)
		}
	}
	return nil
}

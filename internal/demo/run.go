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
	// run is the state that the filters of Run pass on.
	run struct {
		plan   Plan
		record Record
		sites  []*runSite
		// pollCtx is the context of the readiness polls; stopPolls cancels it.
		pollCtx   context.Context
		stopPolls context.CancelFunc
		polls     sync.WaitGroup
	}

	// runSite is the state of a run at one site.
	runSite struct {
		plan     PlanSite
		workload Workload
		balancer *balancer
		record   *Site
	}
)

const (
	// readyTimeout bounds the start of all instances.
	readyTimeout = 20 * time.Second
	// convergenceTimeout is the time within which the last configuration must
	// reach all instances.
	convergenceTimeout = 5 * time.Second
	// incarnationSuffixLength is the length of the hyphen and the incarnation
	// that a process appends to the name of its instance.
	incarnationSuffixLength = 9
)

var (
	errNotReady = errors.New("not all instances are ready")
	errNoOwner  = errors.New("a failure domain has no owner or no workers")

	chain = pipe.New("demo",
		pipe.Filter[*run]{Name: "load", Do: readWorkloads},
		pipe.Filter[*run]{Name: "configure", Do: applyConfigs},
		pipe.Filter[*run]{Name: "announce", Do: announceTargets},
		pipe.Filter[*run]{Name: "serve", Do: generateLoad},
		pipe.Filter[*run]{Name: "settle", Do: awaitConvergence},
		pipe.Filter[*run]{Name: "collect", Do: collectLogs},
	)
)

// Run sends the workloads of the plan to its installations and returns the
// record of the run.
func Run(ctx context.Context, p Plan) (Record, error) {
	r := &run{plan: p, record: Record{Seed: p.Seed}}
	r.pollCtx, r.stopPolls = context.WithCancel(ctx)
	err := chain.Run(ctx, r)
	r.stopPolls()
	r.polls.Wait()
	if err != nil {
		return r.record, fmt.Errorf("run demo: %w", err)
	}
	return r.record, nil
}

// readWorkloads reads the workload of each site.
func readWorkloads(_ context.Context, r *run) error {
	r.record.Sites = make([]Site, len(r.plan.Sites))
	for i, p := range r.plan.Sites {
		w, err := ReadWorkload(p.Workload)
		if err != nil {
			return err
		}
		r.record.Sites[i].Name = p.Name
		r.sites = append(r.sites, &runSite{
			plan: p, workload: w, record: &r.record.Sites[i],
			balancer: newBalancer(p.Instances, w.OperatorKey, r.plan.Seed+uint64(i)),
		})
	}
	return nil
}

// applyConfigs applies the configuration of each site and waits until the
// instances are ready. They do not get ready without a configuration.
func applyConfigs(ctx context.Context, r *run) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, s := range r.sites {
		if err := s.balancer.applyConfig(limited, s.plan.Config); err != nil {
			return fmt.Errorf("configure %s: %w", s.plan.Name, err)
		}
		r.polls.Go(func() { s.balancer.watch(r.pollCtx) })
	}
	for _, s := range r.sites {
		for !s.balancer.isReady() {
			if !pause(limited, pollInterval) {
				return fmt.Errorf("start %s: %w", s.plan.Name, errNotReady)
			}
		}
	}
	return nil
}

// announceTargets tells the script that the load begins and which instances to
// kill and to stop. Both own shards of the first site if it has two owners, so
// that the faults hit placements and not only requests.
func announceTargets(ctx context.Context, r *run) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	targets, err := r.sites[0].faultTargets(limited)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("kill=%s\nstop=%s\n", targets[0], targets[len(targets)-1])
	name := filepath.Join(r.plan.Dir, fileServing)
	if err := os.WriteFile(name+".part", []byte(text), 0o600); err != nil {
		return fmt.Errorf("write fault targets: %w", err)
	}
	if err := os.Rename(name+".part", name); err != nil {
		return fmt.Errorf("write fault targets: %w", err)
	}
	return nil
}

// faultTargets waits until each failure domain has an owner and workers and
// returns the names of the instances to kill and to stop.
func (s *runSite) faultTargets(ctx context.Context) ([]string, error) {
	for {
		var owners []string
		status, err := s.balancer.status(ctx, s.balancer.pick())
		complete := err == nil
		for _, d := range status.Domains {
			complete = complete && len(d.Owner) > incarnationSuffixLength && d.Workers > 0
			if complete {
				owners = append(owners, d.Owner[:len(d.Owner)-incarnationSuffixLength])
			}
		}
		if complete {
			return s.pickTargets(owners), nil
		}
		if !pause(ctx, pollInterval) {
			return nil, fmt.Errorf("owners of %s: %w", s.plan.Name, errNoOwner)
		}
	}
}

// pickTargets returns the first owner and a second instance: another owner if
// there is one, or else any other instance that is not a spare.
func (s *runSite) pickTargets(owners []string) []string {
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

// generateLoad sends the load of all sites at once and waits until the load
// and the list of faults have ended.
func generateLoad(ctx context.Context, r *run) error {
	r.record.Began = time.Now()
	var sites sync.WaitGroup
	for i, s := range r.sites {
		l := &loadGenerator{
			site: s.plan.Name, balancer: s.balancer, workload: s.workload,
			random: rand.New(rand.NewPCG(r.plan.Seed, uint64(i))),
		}
		sites.Go(func() { l.run(ctx, s.record) })
	}
	faults, err := awaitFaults(ctx, r.plan.Dir)
	sites.Wait()
	r.record.Ended, r.record.Faults = time.Now(), faults
	return err
}

// awaitConvergence reads the configuration version of each instance that
// should be running until all have the same version or convergenceTimeout has
// passed.
func awaitConvergence(ctx context.Context, r *run) error {
	limited, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for _, s := range r.sites {
		for {
			s.record.FinalVersions = s.finalVersions(ctx, r.record.Faults)
			if isConverged(s.record.FinalVersions) || !pause(limited, pollInterval) {
				break
			}
		}
	}
	r.stopPolls()
	r.polls.Wait()
	return nil
}

// finalVersions returns the versions at the instances that should be running
// after the faults.
func (s *runSite) finalVersions(ctx context.Context, faults []Fault) []VersionSample {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var all []VersionSample
	for _, in := range s.plan.Instances {
		if shouldRun(in, faults) {
			all = append(all, s.balancer.version(ctx, in))
		}
	}
	return all
}

// shouldRun reports whether an instance should be running after the faults. A
// spare runs only if the script has started it.
func shouldRun(in PlanInstance, faults []Fault) bool {
	running := !in.Spare
	for _, f := range faults {
		if f.Instance == in.Name {
			running = f.Kind == Started
		}
	}
	return running
}

// isConverged reports whether all instances answered and have the same version.
func isConverged(all []VersionSample) bool {
	for _, v := range all {
		if v.Version < 0 || v.Version != all[0].Version {
			return false
		}
	}
	return true
}

// collectLogs reads the logs of the stand-ins and the log ends of the instances
// that were stopped.
func collectLogs(ctx context.Context, r *run) error {
	for _, s := range r.sites {
		s.record.Versions = s.balancer.polledVersions()
		if err := collect(ctx, s.plan, s.record); err != nil {
			return fmt.Errorf("collect %s: %w", s.plan.Name, err)
		}
		if err := s.collectLogEnds(r.record.Faults); err != nil {
			return err
		}
	}
	return nil
}

func (s *runSite) collectLogEnds(faults []Fault) error {
	for _, in := range s.plan.Instances {
		for _, f := range faults {
			if f.Kind != Stopped || f.Instance != in.Name {
				continue
			}
			end, err := readLogEnd(in)
			if err != nil {
				return err
			}
			s.record.LogEnds = append(s.record.LogEnds, end)
		}
	}
	return nil
}

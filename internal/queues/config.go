package queues

import (
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
)

type (
	// Queue receives the jobs that are submitted to one host and path prefix.
	Queue struct {
		Name   string
		Host   string
		Prefix string
		// Service is the name of the service whose workers run the queue's jobs.
		Service string
		// Priority is the priority of the queue's jobs. 0 is the highest, and
		// jobs of priority 0 may preempt others.
		Priority    int
		MaxAttempts int
		// Slack and Objective set the deadline of a job: it may take Slack times
		// the estimated run time of its longest chain of steps plus Objective, from
		// the time at which it is due.
		Slack     float64
		Objective time.Duration
		// Open is set if callers need no key.
		Open bool
		// Advised is set if the queue's jobs need a ticket from the advice service
		// for each worker.
		Advised bool
	}

	// Service is a group of workers.
	Service struct {
		Name string
		// Guarded is set if the workers refuse tasks that exceed their capacity.
		Guarded bool
		// Spare is set if the workers are switched off.
		Spare bool
	}

	// Workspace owns jobs. It has its own keys and its own guarantee.
	Workspace struct {
		Name string
		Keys []string
		// Accelerators is the number of accelerators that are guaranteed to the
		// workspace's urgent jobs, which are those of priority 0.
		Accelerators int64
	}

	// Config is one version of the configuration.
	Config struct {
		Version    int64
		Queues     []Queue
		Services   map[string]Service
		Workspaces []Workspace
		// MaxBody is the maximum size of a job's body in bytes.
		MaxBody int64

		byKey map[string]string // workspace name by key
	}

	// Keeper holds the configuration in force and the failure domains that are
	// out of service. It is safe for concurrent use.
	Keeper struct {
		log event.Log

		mu      sync.Mutex
		current *Config
		// outOfService is replaced, never modified, since OutOfService returns it.
		outOfService map[string]bool
	}
)

// Seal builds the index of keys and returns c. It must be called once, before
// the configuration is used.
func (c *Config) Seal() *Config {
	c.byKey = make(map[string]string)
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			c.byKey[k] = c.Workspaces[i].Name
		}
	}
	return c
}

// Workspace returns the name of the workspace that has the key, and whether there
// is one.
func (c *Config) Workspace(key string) (string, bool) {
	w, ok := c.byKey[key]
	return w, ok
}

// Guarantees returns the number of guaranteed accelerators by workspace name.
func (c *Config) Guarantees() map[string]int64 {
	g := make(map[string]int64, len(c.Workspaces))
	for i := range c.Workspaces {
		g[c.Workspaces[i].Name] = c.Workspaces[i].Accelerators
	}
	return g
}

// Queue returns the queue of the host with the longest prefix that matches path,
// and whether there is one.
func (c *Config) Queue(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best, best != nil
}

// NewKeeper returns a Keeper without a configuration.
func NewKeeper(log event.Log) *Keeper { return &Keeper{log: log, outOfService: make(map[string]bool)} }

// Current returns the configuration in force, or nil if none was installed.
func (k *Keeper) Current() *Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// Install puts c in force if its version is higher than the one in force, and
// reports whether it did.
func (k *Keeper) Install(c *Config) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && c.Version <= k.current.Version {
		return false
	}
	k.current = c
	k.log.Write(event.ConfigInForce, "version", c.Version, "queues", len(c.Queues), "workspaces", len(c.Workspaces))
	return true
}

// SetOutOfService sets whether a failure domain is out of service.
func (k *Keeper) SetOutOfService(domain string, out bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.outOfService[domain] == out {
		return
	}
	updated := make(map[string]bool, len(k.outOfService)+1)
	for d := range k.outOfService {
		updated[d] = true
	}
	eventID := event.DomainOut
	if out {
		updated[domain] = true
	} else {
		delete(updated, domain)
		eventID = event.DomainIn
	}
	k.outOfService = updated
	k.log.Write(eventID, "domain", domain)
}

// OutOfService returns the failure domains that are out of service. The caller
// must not change the map.
func (k *Keeper) OutOfService() map[string]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outOfService
}

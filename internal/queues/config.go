package queues

import (
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
)

type (
	// Queue takes the jobs of one host and path prefix.
	Queue struct {
		Name   string
		Host   string
		Prefix string
		// Service names the workers that run the queue's jobs.
		Service string
		// Priority 0 comes first and may stop others.
		Priority    int
		MaxAttempts int
		// Slack is how many times its longest chain a job may take, and
		// Objective what it may take beyond that.
		Slack     float64
		Objective time.Duration
		// Open queues need no key.
		Open bool
		// Advised queues need a ticket of the advice service for each worker.
		Advised bool
	}

	// Service is a group of workers.
	Service struct {
		Name string
		// Guarded workers refuse tasks that exceed their capacity.
		Guarded bool
		// Spare workers are off.
		Spare bool
	}

	// Workspace is a customer.
	Workspace struct {
		Name string
		Keys []string
		// Accelerators is the number that the workspace's urgent jobs can claim.
		Accelerators int64
	}

	// Config is one version of the configuration.
	Config struct {
		Version    int64
		Queues     []Queue
		Services   map[string]Service
		Workspaces []Workspace
		// MaxBody is the limit of a job's size in bytes.
		MaxBody int64

		byKey map[string]string
	}

	// Keeper holds the configuration in force. It is safe for concurrent use.
	Keeper struct {
		log event.Log

		mu      sync.Mutex
		current *Config
		out     map[string]bool
	}
)

// Seal builds the index of keys. It must be called once before use.
func (c *Config) Seal() *Config {
	c.byKey = make(map[string]string)
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			c.byKey[k] = c.Workspaces[i].Name
		}
	}
	return c
}

// Workspace returns the workspace of a key, and whether there is one.
func (c *Config) Workspace(key string) (string, bool) {
	w, ok := c.byKey[key]
	return w, ok
}

// Guarantees returns the guaranteed accelerators by workspace.
func (c *Config) Guarantees() map[string]int64 {
	g := make(map[string]int64, len(c.Workspaces))
	for i := range c.Workspaces {
		g[c.Workspaces[i].Name] = c.Workspaces[i].Accelerators
	}
	return g
}

// Queue returns the queue of the host with the longest prefix of path, and
// whether there is one.
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

// NewKeeper returns a keeper without a configuration.
func NewKeeper(log event.Log) *Keeper { return &Keeper{log: log, out: make(map[string]bool)} }

// Current returns the configuration in force, or nil before the first one.
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

// SetOutOfService notes whether a failure domain is out of service.
func (k *Keeper) SetOutOfService(domain string, out bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.out[domain] == out {
		return
	}
	next := make(map[string]bool, len(k.out)+1)
	for d := range k.out {
		next[d] = true
	}
	id := event.DomainOut
	if out {
		next[domain] = true
	} else {
		delete(next, domain)
		id = event.DomainIn
	}
	k.out = next
	k.log.Write(id, "domain", domain)
}

// OutOfService returns the failure domains that are out of service. The caller
// must not change the map.
func (k *Keeper) OutOfService() map[string]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.out
}

package queues

import (
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/share"
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
		// Public is set if callers need no key.
		Public bool
		// RequiresTicket is set if the queue's jobs need a ticket from the
		// advice service for each worker.
		RequiresTicket bool
	}

	// Service is a group of workers.
	Service struct {
		Name string
		// EnforcesCapacity is set if the workers refuse tasks that exceed their
		// capacity.
		EnforcesCapacity bool
		// Spare is set if the workers are switched off.
		Spare bool
	}

	// Workspace owns jobs. It has its own keys and its own guarantee.
	Workspace struct {
		Name string
		Keys []string
		// GuaranteedAccelerators is the number of accelerators that are
		// guaranteed to the workspace's urgent jobs, which are those of
		// priority 0.
		GuaranteedAccelerators int64
		// Weight is the workspace's share relative to the others while not everything
		// fits, and the number of jobs per second for which there is a service
		// obligation. 0 means that none is configured.
		Weight float64
		// Cap bounds what the workspace may have running over all workers. 0 means
		// no limit.
		Cap graph.Demand
	}

	// Config is one version of the configuration.
	Config struct {
		Version    int64
		Queues     []Queue
		Services   map[string]Service
		Workspaces []Workspace
		// MaxBody is the maximum size of a job's body in bytes.
		MaxBody int64
		// EncodedSize is the size in bytes of the operators' row, and DecodeTime
		// how long it took to decode.
		EncodedSize int
		DecodeTime  time.Duration

		byKey  map[string]string // workspace name by key
		byName map[string]*Queue
		// limits has the workspaces with a weight or a cap. It is nil if there are none.
		limits map[string]share.Limit
	}

	// ActiveConfig holds the configuration in force and the failure domains
	// that are out of service. It is safe for concurrent use.
	ActiveConfig struct {
		log event.Log

		mu      sync.Mutex
		current *Config
		// outOfService is replaced, never modified, since OutOfService returns it.
		outOfService map[string]bool
	}
)

// BuildIndex builds the indexes of keys, queues and limits and returns c. It must be called once, before
// the configuration is used.
func (c *Config) BuildIndex() *Config {
	c.byKey = make(map[string]string)
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			c.byKey[k] = c.Workspaces[i].Name
		}
	}
	c.byName = make(map[string]*Queue, len(c.Queues))
	for i := range c.Queues {
		c.byName[c.Queues[i].Name] = &c.Queues[i]
	}
	c.limits = nil
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if w.Weight <= 0 && w.Cap == (graph.Demand{}) {
			continue
		}
		if c.limits == nil {
			c.limits = make(map[string]share.Limit)
		}
		c.limits[w.Name] = share.Limit{Weight: w.Weight, Cap: w.Cap}
	}
	return c
}

// QueueNamed returns the queue with the name, and whether there is one.
func (c *Config) QueueNamed(name string) (*Queue, bool) {
	q, ok := c.byName[name]
	return q, ok
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
		g[c.Workspaces[i].Name] = c.Workspaces[i].GuaranteedAccelerators
	}
	return g
}

// Limits returns the weights and caps by workspace name, nil if no workspace has any.
// The caller must not change the map.
func (c *Config) Limits() map[string]share.Limit { return c.limits }

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

// NewActiveConfig returns an ActiveConfig without a configuration.
func NewActiveConfig(log event.Log) *ActiveConfig {
	return &ActiveConfig{log: log, outOfService: make(map[string]bool)}
}

// Current returns the configuration in force, or nil if none was installed.
func (a *ActiveConfig) Current() *Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// Install puts c in force if its version is higher than the one in force, and
// reports whether it did.
func (a *ActiveConfig) Install(c *Config) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && c.Version <= a.current.Version {
		if c.Version < a.current.Version {
			a.log.Write(event.ConfigRefused, "version", c.Version, "reason", "older than the version in force", "inForce", a.current.Version)
		}
		return false
	}
	a.current = c
	a.log.Write(event.ConfigInForce, "version", c.Version, "queues", len(c.Queues), "workspaces", len(c.Workspaces),
		"bytes", c.EncodedSize, "decode", c.DecodeTime.String())
	return true
}

// SetOutOfService sets whether a failure domain is out of service.
func (a *ActiveConfig) SetOutOfService(domain string, out bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outOfService[domain] == out {
		return
	}
	updated := make(map[string]bool, len(a.outOfService)+1)
	for d := range a.outOfService {
		updated[d] = true
	}
	eventID := event.DomainOut
	if out {
		updated[domain] = true
	} else {
		delete(updated, domain)
		eventID = event.DomainIn
	}
	a.outOfService = updated
	a.log.Write(eventID, "domain", domain)
}

// OutOfService returns the failure domains that are out of service. The caller
// must not change the map.
func (a *ActiveConfig) OutOfService() map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outOfService
}

package config

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// Config is the whole configuration of a site.
	Config struct {
		// Version rises with each accepted change. 0 means none accepted yet.
		Version    int64
		Site       string
		Domains    []Domain
		Workspaces []Workspace
		Services   []Service
		Operators  []Operator
		Limits     Limits
	}

	// Domain is a failure domain.
	Domain struct {
		Name   ident.Domain
		Region ident.Region
		// InService is false while operators have taken the domain out.
		InService bool
	}

	// Workspace is a customer.
	Workspace struct {
		Name ident.Workspace
		// Weight is the share of contended queues, relative to the others.
		Weight int
		Keys   []keys.Hash
		// Guarantees are the shapes that the workspace can claim at any time.
		Guarantees []Guarantee
		// MaxQueuedJobs bounds the jobs that wait.
		MaxQueuedJobs int
	}

	// Guarantee is a shape that a workspace can claim Count times.
	Guarantee struct {
		Name  string
		Shape shape.Shape
		Count int
		// Homes are the failure domains that hold the capacity, one for each
		// count. They are computed when a change is committed. An empty name
		// marks a shape that fits nowhere at present.
		Homes []ident.Domain
	}

	// Service is a group of endpoints that answer requests.
	Service struct {
		Name ident.Service
		// Workspaces lists who may send requests. Empty means all.
		Workspaces []ident.Workspace
		// Timeout is the deadline of requests that bring none.
		Timeout time.Duration
		// QueueLimit bounds the requests that wait in one instance.
		QueueLimit int
		// MaxAnswer bounds the size of an answer.
		MaxAnswer shape.Bytes
	}

	// Operator may change the configuration.
	Operator struct {
		Name string
		Keys []keys.Hash
	}

	// Limits bound what callers may ask for and how the system reacts.
	Limits struct {
		// MaxBody bounds the size of a request's body.
		MaxBody shape.Bytes
		// RetryShare is the share of traffic that may be retries.
		RetryShare float64
		// StopDelay is the time for which a stopping instance still takes
		// requests, so that the load balancer can notice.
		StopDelay time.Duration
		// StopLimit ends a planned stop that requests in flight hold up.
		StopLimit time.Duration
		// CheckpointLimit is the time a reclaimed task has to save its progress.
		CheckpointLimit time.Duration
		// LinkRate is what all instances together may send over the link
		// between regions in a second, each way.
		LinkRate shape.Bytes
		// LinkBulkShare is the part of LinkRate for bulk: background and
		// normal requests whose body has LinkBulkSize or more.
		LinkBulkShare float64
		LinkBulkSize  shape.Bytes
	}
)

// DefaultLimits returns the limits that apply where the files name none.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:         8 * shape.MiB,
		RetryShare:      0.1,
		StopDelay:       2 * time.Second,
		StopLimit:       time.Minute,
		CheckpointLimit: 5 * time.Second,
		LinkRate:        3660 << 10, // 30 Mbit/s
		LinkBulkShare:   0.5,
		LinkBulkSize:    64 << 10,
	}
}

// Domain returns the failure domain with the given name.
func (c *Config) Domain(name ident.Domain) (Domain, bool) {
	i := slices.IndexFunc(c.Domains, func(d Domain) bool { return d.Name == name })
	if i < 0 {
		return Domain{}, false
	}
	return c.Domains[i], true
}

// Workspace returns the workspace with the given name.
func (c *Config) Workspace(name ident.Workspace) (Workspace, bool) {
	i := slices.IndexFunc(c.Workspaces, func(w Workspace) bool { return w.Name == name })
	if i < 0 {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}

// Service returns the service with the given name.
func (c *Config) Service(name ident.Service) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// WorkspaceOfKey returns the workspace that the key belongs to.
func (c *Config) WorkspaceOfKey(key string) (Workspace, bool) {
	for _, w := range c.Workspaces {
		if matchesAny(w.Keys, key) {
			return w, true
		}
	}
	return Workspace{}, false
}

// OperatorOfKey returns the operator that the key belongs to.
func (c *Config) OperatorOfKey(key string) (Operator, bool) {
	for _, o := range c.Operators {
		if matchesAny(o.Keys, key) {
			return o, true
		}
	}
	return Operator{}, false
}

// Allows reports whether the workspace may send requests to the service.
func (s Service) Allows(w ident.Workspace) bool {
	return len(s.Workspaces) == 0 || slices.Contains(s.Workspaces, w)
}

// WithDomain returns a copy of c in which the domain is in service or not, and
// whether c has the domain.
func (c *Config) WithDomain(name ident.Domain, inService bool) (*Config, bool) {
	n := *c
	n.Domains = slices.Clone(c.Domains)
	i := slices.IndexFunc(n.Domains, func(d Domain) bool { return d.Name == name })
	if i < 0 {
		return nil, false
	}
	n.Domains[i].InService = inService
	return &n, true
}

func matchesAny(hashes []keys.Hash, key string) bool {
	for _, h := range hashes {
		if h.Matches(key) {
			return true
		}
	}
	return false
}

package config

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// Config is the complete configuration of a site.
	Config struct {
		// Version increases with each accepted change. It is 0 if none was
		// accepted yet.
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
		// InService is false while operators have taken the domain out of
		// service.
		InService bool
	}

	// Workspace is a customer that submits jobs and sends requests.
	Workspace struct {
		Name ident.Workspace
		// Weight is the share of a contended queue, relative to the weights of
		// the other workspaces.
		Weight int
		// Keys are the hashes of the keys that callers of the workspace use.
		Keys []keys.Hash
		// Guarantees are the shapes that the workspace can claim at any time.
		Guarantees []Guarantee
		// MaxQueuedJobs bounds the jobs that are waiting.
		MaxQueuedJobs int
	}

	// Guarantee is a shape that a workspace can claim Count times.
	Guarantee struct {
		Name  string
		Shape shape.Shape
		Count int
		// Homes are the failure domains with the guaranteed capacity, one for
		// each of the Count shapes. They are computed when a change is
		// committed. The name is empty for a shape that fits in no domain at
		// that time.
		Homes []ident.Domain
	}

	// Service is a group of endpoints that answer requests.
	Service struct {
		Name ident.Service
		// Workspaces lists the workspaces that may send requests. If it is
		// empty, all may.
		Workspaces []ident.Workspace
		// Timeout is the time limit of requests that set no deadline.
		Timeout time.Duration
		// QueueLimit bounds the requests that are queued in one instance.
		QueueLimit int
		// MaxAnswer bounds the size of an answer.
		MaxAnswer shape.Bytes
	}

	// Operator is a holder of keys that may change the configuration.
	Operator struct {
		Name string
		Keys []keys.Hash
	}

	// Limits bounds the requests of callers, retries, the stop of an instance,
	// checkpoints and the traffic between regions.
	Limits struct {
		// MaxBody bounds the size of a request's body.
		MaxBody shape.Bytes
		// RetryShare is the largest share of the traffic that may be retries.
		RetryShare float64
		// StopDelay is the time for which a stopping instance still accepts
		// requests, so that the load balancer can detect the stop.
		StopDelay time.Duration
		// StopLimit bounds the duration of a planned stop, which otherwise
		// waits for requests in flight.
		StopLimit time.Duration
		// CheckpointLimit is the time that a task has to save its progress when
		// its capacity is reclaimed.
		CheckpointLimit time.Duration
		// LinkRate is the number of bytes per second that all instances
		// together may send over the link between regions in each direction.
		LinkRate shape.Bytes
		// LinkBulkShare is the fraction of LinkRate for bulk traffic, that is,
		// background and normal requests with a body of at least LinkBulkSize.
		LinkBulkShare float64
		LinkBulkSize  shape.Bytes
	}
)

// DefaultLimits returns the limits that apply where no file sets them.
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

// WithDomain returns a copy of c in which InService of the named domain is
// inService, and whether c has the domain.
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

// matchesAny reports whether any of the hashes is a hash of key.
func matchesAny(hashes []keys.Hash, key string) bool {
	for _, h := range hashes {
		if h.Matches(key) {
			return true
		}
	}
	return false
}

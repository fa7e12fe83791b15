package plat

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Kind tells what an instance is.
	Kind string

	// State tells whether an instance takes work.
	State string

	// Instance is one entry of the platform's list. Kind tells which of
	// Worker, Endpoint and Entry is set.
	Instance struct {
		Kind     Kind
		State    State
		Worker   worker.Spec
		Endpoint Endpoint
		Entry    Entry
	}

	// Endpoint is a back end that answers requests.
	Endpoint struct {
		Name    ident.Endpoint
		Service ident.Service
		Address netip.AddrPort
		Domain  ident.Domain
		Region  ident.Region
		// Slots is the number of requests that it runs at a time.
		Slots int
		// Connections is the number of connections that it accepts.
		Connections int
	}

	// Entry is an entry instance.
	Entry struct {
		Name    ident.Instance
		Address netip.AddrPort
		// Peer is the address for other entry instances.
		Peer   netip.AddrPort
		Domain ident.Domain
		Region ident.Region
	}

	// List is the platform's list of instances. What Read returns lags.
	List struct {
		Read func(ctx context.Context) ([]Instance, error)
		// Register adds or renews an instance. Without a renewal within ttl it
		// vanishes.
		Register func(ctx context.Context, i Instance, ttl time.Duration) error
		// Remove takes an instance off the list.
		Remove func(ctx context.Context, i Instance) error
	}

	instanceForm struct {
		Kind        Kind           `json:"kind"`
		State       State          `json:"state"`
		Name        string         `json:"name"`
		Address     netip.AddrPort `json:"address"`
		Peer        netip.AddrPort `json:"peer,omitzero"`
		Domain      ident.Domain   `json:"domain"`
		Region      ident.Region   `json:"region,omitempty"`
		Rack        ident.Rack     `json:"rack,omitempty"`
		Capacity    *resourcesForm `json:"capacity,omitempty"`
		Service     ident.Service  `json:"service,omitempty"`
		Slots       int            `json:"slots,omitempty"`
		Connections int            `json:"connections,omitempty"`
	}

	instancesForm struct {
		Instances []instanceForm `json:"instances"`
	}

	registerForm struct {
		Instance instanceForm `json:"instance"`
		TTL      span         `json:"ttl"`
	}
)

// The kinds of instance.
const (
	KindWorker   Kind = "worker"
	KindEndpoint Kind = "endpoint"
	KindEntry    Kind = "entry"
)

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

const (
	pathList     = "/instances/list"
	pathRegister = "/instances/register"
	pathRemove   = "/instances/remove"
)

// Name returns the kind and the name, which identify an instance.
func (i Instance) Name() string {
	switch i.Kind {
	case KindWorker:
		return string(i.Kind) + "/" + string(i.Worker.ID)
	case KindEndpoint:
		return string(i.Kind) + "/" + string(i.Endpoint.Name)
	}
	return string(i.Kind) + "/" + string(i.Entry.Name)
}

// Instances returns the list at base. Errors wrap those of package store.
func Instances(base netip.AddrPort, c *http.Client) List {
	to := caller{base, c}
	return List{
		Read: func(ctx context.Context) ([]Instance, error) {
			f, err := call[empty, instancesForm](ctx, to, pathList, empty{})
			if err != nil {
				return nil, storeError(err)
			}
			return instancesFromForm(f)
		},
		Register: func(ctx context.Context, i Instance, ttl time.Duration) error {
			in := registerForm{instanceToForm(i), span(ttl)}
			if _, err := call[registerForm, empty](ctx, to, pathRegister, in); err != nil {
				return storeError(err)
			}
			return nil
		},
		Remove: func(ctx context.Context, i Instance) error {
			if _, err := call[instanceForm, empty](ctx, to, pathRemove, instanceToForm(i)); err != nil {
				return storeError(err)
			}
			return nil
		},
	}
}

// ListRoutes returns the server side of Instances.
func ListRoutes(l List) []Route {
	return []Route{
		route(pathList, func(ctx context.Context, _ empty) (instancesForm, error) {
			is, err := l.Read(ctx)
			return instancesForm{convert(is, instanceToForm)}, err
		}),
		route(pathRegister, func(ctx context.Context, f registerForm) (empty, error) {
			i, err := instanceFromForm(f.Instance)
			if err != nil {
				return empty{}, err
			}
			return empty{}, l.Register(ctx, i, time.Duration(f.TTL))
		}),
		route(pathRemove, func(ctx context.Context, f instanceForm) (empty, error) {
			i, err := instanceFromForm(f)
			if err != nil {
				return empty{}, err
			}
			return empty{}, l.Remove(ctx, i)
		}),
	}
}

func instanceToForm(i Instance) instanceForm {
	f := instanceForm{Kind: i.Kind, State: i.State}
	switch i.Kind {
	case KindWorker:
		w, capacity := i.Worker, resourcesForm(i.Worker.Capacity)
		f.Name, f.Address, f.Domain, f.Rack, f.Capacity = string(w.ID), w.Address, w.Domain, w.Rack, &capacity
	case KindEndpoint:
		e := i.Endpoint
		f.Name, f.Address, f.Domain, f.Region = string(e.Name), e.Address, e.Domain, e.Region
		f.Service, f.Slots, f.Connections = e.Service, e.Slots, e.Connections
	default:
		e := i.Entry
		f.Name, f.Address, f.Domain, f.Region = string(e.Name), e.Address, e.Domain, e.Region
		f.Peer = e.Peer
	}
	return f
}

func instanceFromForm(f instanceForm) (Instance, error) {
	i := Instance{Kind: f.Kind, State: f.State}
	if f.State != Live && f.State != Leaving {
		return i, fmt.Errorf("state %q of %s: %w", f.State, f.Name, ErrProtocol)
	}
	switch f.Kind {
	case KindWorker:
		i.Worker = worker.Spec{ID: ident.Worker(f.Name), Domain: f.Domain, Rack: f.Rack, Address: f.Address}
		if f.Capacity != nil {
			i.Worker.Capacity = shape.Resources(*f.Capacity)
		}
	case KindEndpoint:
		i.Endpoint = Endpoint{
			Name: ident.Endpoint(f.Name), Service: f.Service, Address: f.Address, Domain: f.Domain,
			Region: f.Region, Slots: f.Slots, Connections: f.Connections,
		}
	case KindEntry:
		i.Entry = Entry{Name: ident.Instance(f.Name), Address: f.Address, Peer: f.Peer, Domain: f.Domain, Region: f.Region}
	default:
		return i, fmt.Errorf("kind %q of %s: %w", f.Kind, f.Name, ErrProtocol)
	}
	return i, nil
}

func instancesFromForm(f instancesForm) ([]Instance, error) {
	var is []Instance
	for _, g := range f.Instances {
		i, err := instanceFromForm(g)
		if err != nil {
			return nil, fmt.Errorf("decode list: %w", err)
		}
		is = append(is, i)
	}
	return is, nil
}

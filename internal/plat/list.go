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
	// Kind is the role of an instance.
	Kind string

	// State tells whether an instance accepts new work.
	State string

	// Instance is one instance in the platform's list. Kind determines which of
	// Worker, Endpoint and Entry is set.
	Instance struct {
		Kind     Kind
		State    State
		Worker   worker.Spec
		Endpoint Endpoint
		Entry    Entry
	}

	// Endpoint is an instance that runs the requests to a service.
	Endpoint struct {
		Name    ident.Endpoint
		Service ident.Service
		Address netip.AddrPort
		Domain  ident.Domain
		Region  ident.Region
		// Slots is the number of requests that the endpoint runs concurrently.
		Slots int
		// Connections is the number of connections that the endpoint accepts.
		Connections int
	}

	// Entry is an instance that accepts the requests of callers.
	Entry struct {
		Name    ident.Instance
		Address netip.AddrPort
		// Peer is the address for calls from other entry instances.
		Peer   netip.AddrPort
		Domain ident.Domain
		Region ident.Region
	}

	// List is a client of the platform's list of instances.
	List struct {
		// Read returns the instances. The result may be out of date.
		Read func(ctx context.Context) ([]Instance, error)
		// Register adds an instance or renews its registration, which expires
		// after ttl.
		Register func(ctx context.Context, i Instance, ttl time.Duration) error
		// Remove deletes an instance from the list.
		Remove func(ctx context.Context, i Instance) error
	}

	// instanceJSON is the JSON form of Instance, with the fields of all kinds of
	// instance.
	instanceJSON struct {
		Kind        Kind           `json:"kind"`
		State       State          `json:"state"`
		Name        string         `json:"name"`
		Address     netip.AddrPort `json:"address"`
		Peer        netip.AddrPort `json:"peer,omitzero"`
		Domain      ident.Domain   `json:"domain"`
		Region      ident.Region   `json:"region,omitempty"`
		Rack        ident.Rack     `json:"rack,omitempty"`
		Capacity    *resourcesJSON `json:"capacity,omitempty"`
		Service     ident.Service  `json:"service,omitempty"`
		Slots       int            `json:"slots,omitempty"`
		Connections int            `json:"connections,omitempty"`
	}

	instancesJSON struct {
		Instances []instanceJSON `json:"instances"`
	}

	registerJSON struct {
		Instance instanceJSON `json:"instance"`
		TTL      duration     `json:"ttl"`
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

// Name returns the kind and the name of i, joined by a slash. Together they
// identify an instance.
func (i Instance) Name() string {
	switch i.Kind {
	case KindWorker:
		return string(i.Kind) + "/" + string(i.Worker.ID)
	case KindEndpoint:
		return string(i.Kind) + "/" + string(i.Endpoint.Name)
	}
	return string(i.Kind) + "/" + string(i.Entry.Name)
}

// Instances returns a client of the list of instances served at base. Its errors
// wrap those of package store or ErrProtocol.
func Instances(base netip.AddrPort, c *http.Client) List {
	rpc := rpcClient{base, c}
	return List{
		Read: func(ctx context.Context) ([]Instance, error) {
			msg, err := call[empty, instancesJSON](ctx, rpc, pathList, empty{})
			if err != nil {
				return nil, storeError(err)
			}
			return instancesFromJSON(msg)
		},
		Register: func(ctx context.Context, i Instance, ttl time.Duration) error {
			in := registerJSON{instanceToJSON(i), duration(ttl)}
			if _, err := call[registerJSON, empty](ctx, rpc, pathRegister, in); err != nil {
				return storeError(err)
			}
			return nil
		},
		Remove: func(ctx context.Context, i Instance) error {
			if _, err := call[instanceJSON, empty](ctx, rpc, pathRemove, instanceToJSON(i)); err != nil {
				return storeError(err)
			}
			return nil
		},
	}
}

// ListRoutes returns the HTTP routes that serve the calls of Instances from l.
func ListRoutes(l List) []Route {
	return []Route{
		route(pathList, func(ctx context.Context, _ empty) (instancesJSON, error) {
			instances, err := l.Read(ctx)
			return instancesJSON{convert(instances, instanceToJSON)}, err
		}),
		route(pathRegister, func(ctx context.Context, msg registerJSON) (empty, error) {
			i, err := instanceFromJSON(msg.Instance)
			if err != nil {
				return empty{}, err
			}
			return empty{}, l.Register(ctx, i, time.Duration(msg.TTL))
		}),
		route(pathRemove, func(ctx context.Context, msg instanceJSON) (empty, error) {
			i, err := instanceFromJSON(msg)
			if err != nil {
				return empty{}, err
			}
			return empty{}, l.Remove(ctx, i)
		}),
	}
}

func instanceToJSON(i Instance) instanceJSON {
	msg := instanceJSON{Kind: i.Kind, State: i.State}
	switch i.Kind {
	case KindWorker:
		w, capacity := i.Worker, resourcesJSON(i.Worker.Capacity)
		msg.Name, msg.Address, msg.Domain, msg.Rack, msg.Capacity = string(w.ID), w.Address, w.Domain, w.Rack, &capacity
	case KindEndpoint:
		e := i.Endpoint
		msg.Name, msg.Address, msg.Domain, msg.Region = string(e.Name), e.Address, e.Domain, e.Region
		msg.Service, msg.Slots, msg.Connections = e.Service, e.Slots, e.Connections
	default:
		e := i.Entry
		msg.Name, msg.Address, msg.Domain, msg.Region = string(e.Name), e.Address, e.Domain, e.Region
		msg.Peer = e.Peer
	}
	return msg
}

func instanceFromJSON(msg instanceJSON) (Instance, error) {
	i := Instance{Kind: msg.Kind, State: msg.State}
	if msg.State != Live && msg.State != Leaving {
		return i, fmt.Errorf("unknown state %q of instance %s: %w", msg.State, msg.Name, ErrProtocol)
	}
	switch msg.Kind {
	case KindWorker:
		i.Worker = worker.Spec{ID: ident.Worker(msg.Name), Domain: msg.Domain, Rack: msg.Rack, Address: msg.Address}
		if msg.Capacity != nil {
			i.Worker.Capacity = shape.Resources(*msg.Capacity)
		}
	case KindEndpoint:
		i.Endpoint = Endpoint{
			Name: ident.Endpoint(msg.Name), Service: msg.Service, Address: msg.Address, Domain: msg.Domain,
			Region: msg.Region, Slots: msg.Slots, Connections: msg.Connections,
		}
	case KindEntry:
		i.Entry = Entry{Name: ident.Instance(msg.Name), Address: msg.Address, Peer: msg.Peer, Domain: msg.Domain, Region: msg.Region}
	default:
		return i, fmt.Errorf("unknown kind %q of instance %s: %w", msg.Kind, msg.Name, ErrProtocol)
	}
	return i, nil
}

func instancesFromJSON(msg instancesJSON) ([]Instance, error) {
	var instances []Instance
	for _, m := range msg.Instances {
		i, err := instanceFromJSON(m)
		if err != nil {
			return nil, fmt.Errorf("decode list of instances: %w", err)
		}
		instances = append(instances, i)
	}
	return instances, nil
}

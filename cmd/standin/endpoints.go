package main

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/gorilla/mux"
)

// endpointLogLine is one line of the log of endpoints.
type endpointLogLine struct {
	At       time.Time      `json:"at"`
	Kind     string         `json:"kind"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Request  ident.Request  `json:"request,omitempty"`
	Attempt  int            `json:"attempt,omitempty"`
	Reason   string         `json:"reason,omitempty"`
}

// runEndpoints serves the endpoints until ctx ends.
func runEndpoints(ctx context.Context, o *options) error {
	group := newServerGroup(o)
	var endpoints []*fakes.Endpoint
	for n := range o.count {
		address, err := addressAfter(o.listen, n+1)
		if err != nil {
			return err
		}
		e := fakes.NewEndpoint(plat.Endpoint{
			Name:    ident.Endpoint(fmt.Sprintf("%s-%s-%d", o.service, o.domain, n+1)),
			Service: ident.Service(o.service), Address: address,
			Domain: ident.Domain(o.domain), Region: ident.Region(o.region),
			Slots: o.slots, Connections: o.maxConnections,
		}, o.delay)
		endpoints = append(endpoints, e)
		s := standIn{
			address: address, maxConnections: o.maxConnections, handler: fakes.Router(plat.EndpointRoutes(e.Handle)...),
			changed: e.Changed(), instance: e.Instance,
		}
		if err := group.add(s); err != nil {
			return fmt.Errorf("add endpoint %d: %w", n+1, err)
		}
	}
	if err := group.listen(o.listen, 0, endpointsRouter(endpoints)); err != nil {
		return err
	}
	<-ctx.Done()
	drain(endpoints, o.drain)
	return group.wait(ctx)
}

// drain makes the endpoints leave and keeps them listed as leaving for d, so
// that the entry instances stop using them before the connections are closed.
func drain(endpoints []*fakes.Endpoint, d time.Duration) {
	for _, e := range endpoints {
		e.Leave()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}

func endpointsRouter(endpoints []*fakes.Endpoint) *mux.Router {
	r := mux.NewRouter()
	name := func(e *fakes.Endpoint) string { return string(e.Instance().Endpoint.Name) }
	addForEach := func(path string, apply func(*fakes.Endpoint, controlRequest) error) {
		addControl(r, path, func(body controlRequest) error {
			return forEachSelected(endpoints, name, body, func(e *fakes.Endpoint) error { return apply(e, body) })
		})
	}
	addForEach("/control/leave", func(e *fakes.Endpoint, _ controlRequest) error {
		e.Leave()
		return nil
	})
	addForEach("/control/return", func(e *fakes.Endpoint, _ controlRequest) error {
		e.Return()
		return nil
	})
	addForEach("/control/faults", func(e *fakes.Endpoint, body controlRequest) error {
		f := fakes.EndpointFault{Kind: fakes.EndpointFaultKind(body.Kind), Delay: time.Duration(body.Delay), Next: body.Next}
		if body.Clear {
			f = fakes.EndpointFault{}
		} else if err := f.Check(); err != nil {
			return fmt.Errorf("set fault of %s: %w", name(e), err)
		}
		e.SetFault(f)
		return nil
	})
	addLog(r, func(emit func(any) error) error { return writeEndpointLog(endpoints, emit) })
	return r
}

func writeEndpointLog(endpoints []*fakes.Endpoint, emit func(any) error) error {
	for _, e := range endpoints {
		for _, entry := range e.Log() {
			line := endpointLogLine{
				At: entry.At, Kind: string(entry.Event), Endpoint: entry.Endpoint, Request: entry.Request,
				Attempt: entry.Attempt, Reason: entry.Reason,
			}
			if err := emit(line); err != nil {
				return err
			}
		}
	}
	return nil
}

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

type executionLine struct {
	At       time.Time      `json:"at"`
	Kind     string         `json:"kind"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Request  ident.Request  `json:"request,omitempty"`
	Attempt  int            `json:"attempt,omitempty"`
	Reason   string         `json:"reason,omitempty"`
}

func runEndpoints(ctx context.Context, o *options) error {
	p := newProcess(o)
	var endpoints []*fakes.Endpoint
	for n := range o.count {
		address, err := portAfter(o.listen, n+1)
		if err != nil {
			return err
		}
		e := fakes.NewEndpoint(plat.Endpoint{
			Name:    ident.Endpoint(fmt.Sprintf("%s-%s-%d", o.service, o.domain, n+1)),
			Service: ident.Service(o.service), Address: address,
			Domain: ident.Domain(o.domain), Region: ident.Region(o.region),
			Slots: o.slots, Connections: o.connections,
		}, o.delay)
		endpoints = append(endpoints, e)
		m := member{
			at: address, connections: o.connections, handler: fakes.Router(plat.EndpointRoutes(e.Handle)...),
			changed: e.Changed(), instance: e.Instance,
		}
		if err := p.join(m); err != nil {
			return fmt.Errorf("join endpoint %d: %w", n+1, err)
		}
	}
	if err := p.listen(o.listen, 0, endpointsControl(endpoints)); err != nil {
		return err
	}
	<-ctx.Done()
	drain(endpoints, o.drain)
	return p.wait(ctx)
}

// drain makes the endpoints leave and keeps them listed as leaving for d, so
// that callers notice before the connections close.
func drain(endpoints []*fakes.Endpoint, d time.Duration) {
	for _, e := range endpoints {
		e.Leave()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}

func endpointsControl(endpoints []*fakes.Endpoint) *mux.Router {
	r := mux.NewRouter()
	name := func(e *fakes.Endpoint) string { return string(e.Instance().Endpoint.Name) }
	each := func(path string, do func(*fakes.Endpoint, order) error) {
		control(r, path, func(o order) error {
			return selected(endpoints, name, o, func(e *fakes.Endpoint) error { return do(e, o) })
		})
	}
	each("/control/leave", func(e *fakes.Endpoint, _ order) error {
		e.Leave()
		return nil
	})
	each("/control/return", func(e *fakes.Endpoint, _ order) error {
		e.Return()
		return nil
	})
	each("/control/faults", func(e *fakes.Endpoint, o order) error {
		f := fakes.EndpointFault{Kind: fakes.EndpointFaultKind(o.Kind), Delay: time.Duration(o.Delay), Next: o.Next}
		if o.Clear {
			f = fakes.EndpointFault{}
		} else if err := f.Check(); err != nil {
			return fmt.Errorf("set fault of %s: %w", name(e), err)
		}
		e.SetFault(f)
		return nil
	})
	controlLog(r, func(yield func(any) error) error { return logEndpoints(endpoints, yield) })
	return r
}

func logEndpoints(endpoints []*fakes.Endpoint, yield func(any) error) error {
	for _, e := range endpoints {
		for _, x := range e.Log() {
			line := executionLine{
				At: x.At, Kind: string(x.Event), Endpoint: x.Endpoint, Request: x.Request,
				Attempt: x.Attempt, Reason: x.Reason,
			}
			if err := yield(line); err != nil {
				return err
			}
		}
	}
	return nil
}

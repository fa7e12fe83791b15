package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/baobabquay/baobabquay/internal/inifmt"
	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/pkg/errors"
)

var errRefused = errors.New("refused")

// applyConfig merges the base file and its overlays and puts the result in
// force as the first version.
func (b *balancer) applyConfig(ctx context.Context, paths []string) error {
	var sources []inifmt.Source
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read configuration: %w", err)
		}
		sources = append(sources, inifmt.Source{File: path, Text: string(text)})
	}
	merged, err := inifmt.Read(ctx, sources[0], sources[1:]...)
	if err != nil {
		return fmt.Errorf("merge configuration: %w", err)
	}
	body, err := json.Marshal(wire.ConfigChange{Text: inifmt.Write(merged.Config)})
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	return b.callAsOperator(ctx, callSpec{method: http.MethodPut, path: wire.PathAdmin + "/config", body: body})
}

// callAsOperator repeats a call with the operator's key until its outcome is
// done. It gives up when ctx ends and at a response with a 4xx status, which is
// final.
func (b *balancer) callAsOperator(ctx context.Context, spec callSpec) error {
	spec.key = b.operatorKey
	for n := 0; ; n++ {
		c, resp := b.call(ctx, spec)
		if c.Outcome == wire.Done {
			return nil
		}
		rejected := resp.status >= http.StatusBadRequest && resp.status < http.StatusInternalServerError
		if rejected || !pause(ctx, backOff(n)) {
			return fmt.Errorf("%s %s: reason %q, response %q: %w", spec.method, spec.path, c.Reason, resp.body, errRefused)
		}
	}
}

// runOutage takes a failure domain out of service and brings it back.
func (l *loadGenerator) runOutage(ctx context.Context, p OutagePlan, o *Outage) {
	o.Domain = p.Domain
	if !pause(ctx, toDuration(p.Out)) {
		return
	}
	if err := l.balancer.setInService(ctx, p.Domain, false); err != nil {
		o.Error = err.Error()
		return
	}
	o.OutAt = time.Now()
	if !pause(ctx, toDuration(p.Back)-toDuration(p.Out)) {
		return
	}
	o.BackAt = time.Now()
	if err := l.balancer.setInService(ctx, p.Domain, true); err != nil {
		o.Error = err.Error()
	}
}

func (b *balancer) setInService(ctx context.Context, domain string, inService bool) error {
	body, err := json.Marshal(wire.DomainChange{InService: inService})
	if err != nil {
		return fmt.Errorf("encode domain change: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	return b.callAsOperator(ctx, callSpec{method: http.MethodPut, path: wire.PathAdmin + "/domains/" + domain, body: body})
}

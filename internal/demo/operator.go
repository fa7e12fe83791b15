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

// applyConfig puts the base with its overlays in force as the first version.
func (f *front) applyConfig(ctx context.Context, paths []string) error {
	var sources []inifmt.Source
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read configuration: %w", err)
		}
		sources = append(sources, inifmt.Source{File: path, Text: string(text)})
	}
	r, err := inifmt.Read(ctx, sources[0], sources[1:]...)
	if err != nil {
		return fmt.Errorf("merge configuration: %w", err)
	}
	body, err := json.Marshal(wire.ConfigChange{Text: inifmt.Write(r.Config)})
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	return f.order(ctx, message{method: http.MethodPut, path: wire.PathAdmin + "/config", body: body})
}

// order repeats a call of an operator while no instance takes it.
func (f *front) order(ctx context.Context, m message) error {
	m.key = f.operator
	for n := 0; ; n++ {
		c, answer := f.call(ctx, m)
		if c.Outcome == wire.Done {
			return nil
		}
		final := answer.status >= http.StatusBadRequest && answer.status < http.StatusInternalServerError
		if final || !pause(ctx, backOff(n)) {
			return fmt.Errorf("%s %s: %s %s: %w", m.method, m.path, c.Reason, answer.body, errRefused)
		}
	}
}

// outage takes a failure domain out of service and brings it back.
func (l *load) outage(ctx context.Context, p OutagePlan, o *Outage) {
	o.Domain = p.Domain
	if !pause(ctx, span(p.Out)) {
		return
	}
	if err := l.front.setDomain(ctx, p.Domain, false); err != nil {
		o.Error = err.Error()
		return
	}
	o.Out = time.Now()
	if !pause(ctx, span(p.Back)-span(p.Out)) {
		return
	}
	o.Back = time.Now()
	if err := l.front.setDomain(ctx, p.Domain, true); err != nil {
		o.Error = err.Error()
	}
}

func (f *front) setDomain(ctx context.Context, domain string, in bool) error {
	body, err := json.Marshal(wire.DomainChange{InService: in})
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, giveUp)
	defer cancel()
	return f.order(ctx, message{method: http.MethodPut, path: wire.PathAdmin + "/domains/" + domain, body: body})
}

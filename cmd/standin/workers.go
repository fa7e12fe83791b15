package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

type entryLine struct {
	At        time.Time       `json:"at"`
	Kind      string          `json:"kind"`
	Worker    ident.Worker    `json:"worker"`
	Domain    ident.Domain    `json:"domain"`
	Workspace ident.Workspace `json:"workspace"`
	Job       ident.Job       `json:"job"`
	Attempt   int             `json:"attempt"`
	Members   int             `json:"members"`
}

const failAll = "failAll"

var errMemory = errors.New("memory is not a whole number of MiB or GiB")

func runWorkers(ctx context.Context, o *options) error {
	specs, err := workerSpecs(o)
	if err != nil {
		return err
	}
	p := newProcess(o)
	var workers []*fakes.Worker
	for _, s := range specs {
		w := fakes.NewWorker(s, o.lag)
		workers = append(workers, w)
		m := member{at: s.Address, handler: fakes.Router(plat.AgentRoutes(w.Agent())...), instance: w.Instance}
		if err := p.join(m); err != nil {
			return fmt.Errorf("join worker %s: %w", s.ID, err)
		}
	}
	if err := p.listen(o.listen, 0, workersControl(workers)); err != nil {
		return err
	}
	return p.wait(ctx)
}

func workerSpecs(o *options) ([]worker.Spec, error) {
	memory, err := parseMemory(o.memory)
	if err != nil {
		return nil, err
	}
	capacity := shape.Resources{Accelerators: o.accelerators, Processors: o.processors, Memory: memory}
	var specs []worker.Spec
	for rack := range o.racks {
		for n := range o.perRack {
			address, err := portAfter(o.listen, len(specs)+1)
			if err != nil {
				return nil, err
			}
			specs = append(specs, worker.Spec{
				ID:       ident.Worker(fmt.Sprintf("%s-r%d-w%d", o.domain, rack+1, n+1)),
				Domain:   ident.Domain(o.domain),
				Rack:     ident.Rack(fmt.Sprintf("r%d", rack+1)),
				Address:  address,
				Capacity: capacity,
			})
		}
	}
	return specs, nil
}

func workersControl(workers []*fakes.Worker) *mux.Router {
	r := mux.NewRouter()
	name := func(w *fakes.Worker) string { return string(w.Machine.Spec().ID) }
	control(r, "/control/faults", func(o order) error {
		return selected(workers, name, o, func(w *fakes.Worker) error {
			if o.Clear || o.Kind == failAll {
				w.FailAll(!o.Clear)
			}
			if o.Kind == failAll {
				return nil
			}
			return setFault(&w.Faults, o)
		})
	})
	controlLog(r, func(yield func(any) error) error {
		for _, w := range workers {
			if err := logWorker(w, yield); err != nil {
				return err
			}
		}
		return nil
	})
	return r
}

func logWorker(w *fakes.Worker, yield func(any) error) error {
	s := w.Machine.Spec()
	// A machine notices the ends of leases and programs at its next call.
	w.Machine.Report(time.Now())
	for _, e := range w.Log() {
		line := entryLine{
			At: e.At, Kind: string(e.Event), Worker: s.ID, Domain: s.Domain, Workspace: e.Attempt.Workspace,
			Job: e.Attempt.Job, Attempt: e.Attempt.Number, Members: e.Members,
		}
		if err := yield(line); err != nil {
			return err
		}
	}
	return nil
}

// parseMemory returns the amount in a text such as "256GiB".
func parseMemory(text string) (shape.Bytes, error) {
	unit := shape.GiB
	number, ok := strings.CutSuffix(text, "GiB")
	if !ok {
		unit = shape.MiB
		number, ok = strings.CutSuffix(text, "MiB")
	}
	n, err := strconv.ParseInt(number, 10, 32)
	if !ok || err != nil || n < 0 {
		return 0, fmt.Errorf("%q: %w", text, errMemory)
	}
	return shape.Bytes(n) * unit, nil
}

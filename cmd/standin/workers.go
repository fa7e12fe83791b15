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

// workerLogLine is one line of the log of workers.
type workerLogLine struct {
	At        time.Time       `json:"at"`
	Kind      string          `json:"kind"`
	Worker    ident.Worker    `json:"worker"`
	Domain    ident.Domain    `json:"domain"`
	Workspace ident.Workspace `json:"workspace"`
	Job       ident.Job       `json:"job"`
	Attempt   int             `json:"attempt"`
	Members   int             `json:"members"`
}

// failAll is a fault kind that only workers have: every task that starts on
// them fails.
const failAll = "failAll"

var errInvalidMemory = errors.New("memory is not an integer with the unit MiB or GiB")

// runWorkers serves the workers until ctx ends.
func runWorkers(ctx context.Context, o *options) error {
	specs, err := workerSpecs(o)
	if err != nil {
		return err
	}
	group := newServerGroup(o)
	var workers []*fakes.Worker
	for _, spec := range specs {
		w := fakes.NewWorker(spec, o.lag)
		workers = append(workers, w)
		s := standIn{address: spec.Address, handler: fakes.Router(plat.AgentRoutes(w.Agent())...), instance: w.Instance}
		if err := group.add(s); err != nil {
			return fmt.Errorf("add worker %s: %w", spec.ID, err)
		}
	}
	if err := group.listen(o.listen, 0, workersRouter(workers)); err != nil {
		return err
	}
	return group.wait(ctx)
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
			address, err := addressAfter(o.listen, len(specs)+1)
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

func workersRouter(workers []*fakes.Worker) *mux.Router {
	r := mux.NewRouter()
	name := func(w *fakes.Worker) string { return string(w.Simulator.Spec().ID) }
	addControl(r, "/control/faults", func(body controlRequest) error {
		return forEachSelected(workers, name, body, func(w *fakes.Worker) error {
			if body.Clear || body.Kind == failAll {
				w.FailAll(!body.Clear)
			}
			if body.Kind == failAll {
				return nil
			}
			return setFault(&w.Faults, body)
		})
	})
	addLog(r, func(emit func(any) error) error {
		for _, w := range workers {
			if err := writeWorkerLog(w, emit); err != nil {
				return err
			}
		}
		return nil
	})
	return r
}

func writeWorkerLog(w *fakes.Worker, emit func(any) error) error {
	spec := w.Simulator.Spec()
	// A simulated worker detects expired leases and ended programs only when it
	// is called.
	w.Simulator.Report(time.Now())
	for _, entry := range w.Log() {
		line := workerLogLine{
			At: entry.At, Kind: string(entry.Event), Worker: spec.ID, Domain: spec.Domain, Workspace: entry.Attempt.Workspace,
			Job: entry.Attempt.Job, Attempt: entry.Attempt.Number, Members: entry.Members,
		}
		if err := emit(line); err != nil {
			return err
		}
	}
	return nil
}

// parseMemory parses an amount of memory such as "256GiB".
func parseMemory(text string) (shape.Bytes, error) {
	unit := shape.GiB
	number, ok := strings.CutSuffix(text, "GiB")
	if !ok {
		unit = shape.MiB
		number, ok = strings.CutSuffix(text, "MiB")
	}
	n, err := strconv.ParseInt(number, 10, 32)
	if !ok || err != nil || n < 0 {
		return 0, fmt.Errorf("%q: %w", text, errInvalidMemory)
	}
	return shape.Bytes(n) * unit, nil
}

package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// timestamp matches the part of a log line that differs between runs.
var timestamp = regexp.MustCompile(`"at":"[^"]*"`)

// control sends a control call to r and returns call and response as text.
func control(r *mux.Router, method, path, body string) string {
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return fmt.Sprintf("%s %s %s\n%d %s\n", method, path, body, w.Code, timestamp.ReplaceAllString(w.Body.String(), `"at":""`))
}

// TestControl guards against a control call that is applied to the wrong
// targets, or that reports no error if there is no such target.
func TestControl(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var (
		workers   []*fakes.Worker
		endpoints []*fakes.Endpoint
		out       strings.Builder
	)
	for n := range 2 {
		workers = append(workers, fakes.NewWorker(worker.Spec{ID: ident.Worker(fmt.Sprintf("w%d", n))}, 0))
		endpoints = append(endpoints, fakes.NewEndpoint(plat.Endpoint{
			Name: ident.Endpoint(fmt.Sprintf("proof-%d", n)), Slots: 1,
		}, 0))
	}
	w, e := workersRouter(workers), endpointsRouter(endpoints)
	out.WriteString(control(w, http.MethodPost, "/control/faults", `{"name":"w0","kind":"down","next":1}`))
	for _, f := range workers {
		err := f.Agent().Reserve(ctx, worker.Reserve{Attempt: worker.Attempt{Job: "j", Number: 1}, Members: 1, Hold: time.Hour})
		fmt.Fprintf(&out, "%s: %v\n", f.Simulator.Spec().ID, err)
	}
	out.WriteString(control(w, http.MethodPost, "/control/faults", `{"kind":"failAll"}`))
	out.WriteString(control(w, http.MethodPost, "/control/faults", `{"clear":true}`))
	out.WriteString(control(w, http.MethodPost, "/control/faults", `{"name":"w9","kind":"down"}`))
	out.WriteString(control(w, http.MethodGet, "/control/log", ""))
	out.WriteString(control(e, http.MethodPost, "/control/leave", `{"name":"proof-1"}`))
	out.WriteString(control(e, http.MethodPost, "/control/faults", `{"kind":"cut","next":1}`))
	out.WriteString(control(e, http.MethodPost, "/control/faults", `{"kind":"down"}`))
	for _, f := range endpoints {
		_, err := f.Handle(ctx, plat.Request{ID: "r1", Attempt: 1})
		fmt.Fprintf(&out, "%s: %v\n", f.Instance().Endpoint.Name, err)
	}
	out.WriteString(control(e, http.MethodPost, "/control/return", ""))
	out.WriteString(control(e, http.MethodGet, "/control/log", ""))
	golden.Assert(t, out.String(), "control.golden")
}

// TestParseMemory guards against an amount of memory in the wrong unit.
func TestParseMemory(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{"256GiB", "512MiB", "0GiB", "256", "256GB", "-1GiB", "GiB", "1.5GiB"} {
		n, err := parseMemory(text)
		fmt.Fprintf(&out, "%s: %d %v\n", text, n, err)
	}
	golden.Assert(t, out.String(), "memory.golden")
}

// TestWorkerSpecs guards against two workers with the same name or address, and
// against addresses beyond the highest port.
func TestWorkerSpecs(t *testing.T) {
	o := &options{domain: "ub1", racks: 2, perRack: 2, accelerators: 8, processors: 60, memory: "256GiB"}
	assert.NilError(t, o.listen.UnmarshalText([]byte("127.0.0.1:65531")))
	specs, err := workerSpecs(o)
	assert.NilError(t, err)
	golden.Assert(t, strings.ReplaceAll(fmt.Sprintf("%+v\n", specs), " {", "\n{"), "specs.golden")
	o.racks = 3
	_, err = workerSpecs(o)
	assert.ErrorIs(t, err, errPortRange)
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

type (
	// controlRequest is the body of a control call.
	controlRequest struct {
		// Name selects a target. An empty name selects all targets.
		Name  string   `json:"name"`
		Kind  string   `json:"kind"`
		Delay duration `json:"delay"`
		// Next limits the fault to that number of requests of an endpoint, or
		// of writes of another target. With 0 the fault holds until it is
		// cleared.
		Next int `json:"next"`
		// Clear removes all faults of the selected targets.
		Clear bool `json:"clear"`
	}

	// duration is a time.Duration with the text form "1m30s".
	duration time.Duration
)

// maxControlBody is the maximum size in bytes of the body of a control call.
const maxControlBody = 64 << 10

var errUnknownTarget = errors.New("no such target")

// MarshalText returns the form of time.Duration.String.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the form of time.ParseDuration.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = duration(v)
	return nil
}

// addControl adds the control call at path to r.
func addControl(r *mux.Router, path string, apply func(controlRequest) error) {
	r.Methods(http.MethodPost).Path(path).HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var body controlRequest
		err := json.NewDecoder(io.LimitReader(req.Body, maxControlBody)).Decode(&body)
		if err == nil || errors.Is(err, io.EOF) {
			err = apply(body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// addLog adds the call that reads the log to r. Each value that lines passes to
// emit is one line.
func addLog(r *mux.Router, lines func(emit func(any) error) error) {
	r.Methods(http.MethodGet).Path("/control/log").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/jsonl")
		encoder := json.NewEncoder(w)
		if err := lines(encoder.Encode); err != nil {
			// Aborting the response shows the reader that lines are missing.
			panic(http.ErrAbortHandler)
		}
	})
}

// setFault applies body to the faults of one target.
func setFault(faults *fakes.Faults, body controlRequest) error {
	if body.Clear {
		faults.Clear()
		return nil
	}
	f := fakes.Fault{Kind: fakes.FaultKind(body.Kind), Delay: time.Duration(body.Delay), Next: body.Next}
	if err := f.Check(); err != nil {
		return fmt.Errorf("set fault: %w", err)
	}
	faults.Set(f)
	return nil
}

// forEachSelected calls apply for each target that body selects.
func forEachSelected[T any](targets []T, name func(T) string, body controlRequest, apply func(T) error) error {
	found := false
	for _, t := range targets {
		if body.Name != "" && body.Name != name(t) {
			continue
		}
		found = true
		if err := apply(t); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("%q: %w", body.Name, errUnknownTarget)
	}
	return nil
}

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
	// order is the body of a control call.
	order struct {
		// Name selects a target; all are meant without it.
		Name  string   `json:"name"`
		Kind  string   `json:"kind"`
		Delay duration `json:"delay"`
		// Next limits a fault to that number of calls, 0 to none.
		Next  int  `json:"next"`
		Clear bool `json:"clear"`
	}

	// duration is a duration in its text form.
	duration time.Duration
)

// maxOrder bounds the body of a control call.
const maxOrder = 64 << 10

var errTarget = errors.New("no such target")

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

// control adds a control call to r.
func control(r *mux.Router, path string, do func(order) error) {
	r.Methods(http.MethodPost).Path(path).HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var o order
		err := json.NewDecoder(io.LimitReader(req.Body, maxOrder)).Decode(&o)
		if err == nil || errors.Is(err, io.EOF) {
			err = do(o)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// controlLog adds the log to r. Each value that lines yields is one line.
func controlLog(r *mux.Router, lines func(yield func(any) error) error) {
	r.Methods(http.MethodGet).Path("/control/log").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/jsonl")
		e := json.NewEncoder(w)
		if err := lines(e.Encode); err != nil {
			// A cut answer shows the reader that lines are missing.
			panic(http.ErrAbortHandler)
		}
	})
}

// setFault applies o to the faults of one target.
func setFault(fs *fakes.Faults, o order) error {
	if o.Clear {
		fs.Clear()
		return nil
	}
	f := fakes.Fault{Kind: fakes.FaultKind(o.Kind), Delay: time.Duration(o.Delay), Next: o.Next}
	if err := f.Check(); err != nil {
		return fmt.Errorf("set fault: %w", err)
	}
	fs.Set(f)
	return nil
}

// selected calls do for each target whose name is the one of o, or for all.
func selected[T any](targets []T, name func(T) string, o order, do func(T) error) error {
	found := false
	for _, t := range targets {
		if o.Name != "" && o.Name != name(t) {
			continue
		}
		found = true
		if err := do(t); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("%q: %w", o.Name, errTarget)
	}
	return nil
}

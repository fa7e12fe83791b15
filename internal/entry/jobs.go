package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

var errTrailing = errors.New("more than one value in the body")

// decodeStrict decodes one JSON value and refuses unknown names, so that a
// misspelt option is not silently ignored.
func decodeStrict(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("decode body: %w", errTrailing)
	}
	return nil
}

func (f *front) submit(w http.ResponseWriter, r *http.Request, ws config.Workspace) {
	var body wire.Submission
	if !readJSON(w, r, int64(f.deps.Config().Limits.MaxBody), &body) {
		return
	}
	spec, err := specOf(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.Error{
			Outcome: wire.NotRun, Reason: string(intake.ReasonInvalid), Detail: err.Error(),
		})
		return
	}
	j, err := f.deps.Jobs.Submit(r.Context(), intake.Submission{
		Workspace: ws.Name, Request: ident.Request(body.RequestID), Spec: spec,
	})
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusCreated, jobForm(j))
}

func (f *front) read(w http.ResponseWriter, r *http.Request, ws config.Workspace) {
	wait, err := waitOf(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.Error{
			Outcome: wire.NotRun, Reason: string(intake.ReasonInvalid), Detail: err.Error(),
		})
		return
	}
	j, err := f.deps.Jobs.Wait(r.Context(), ws.Name, jobOf(r), wait)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, jobForm(j))
}

func (f *front) list(w http.ResponseWriter, r *http.Request, ws config.Workspace) {
	all, err := f.deps.Jobs.List(r.Context(), ws.Name)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, listForm(all))
}

func (f *front) cancel(w http.ResponseWriter, r *http.Request, ws config.Workspace) {
	j, err := f.deps.Jobs.Cancel(r.Context(), ws.Name, jobOf(r))
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, jobForm(j))
}

func jobOf(r *http.Request) ident.Job { return ident.Job(mux.Vars(r)["id"]) }

func waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("wait: %w", err)
	}
	return min(max(d, 0), maxWait), nil
}

func specOf(b wire.Submission) (jobs.Spec, error) {
	class, err := jobs.ParseClass(b.Class)
	if err != nil {
		return jobs.Spec{}, fmt.Errorf("class: %w", err)
	}
	adjacency := shape.SameDomain
	if b.Shape.Adjacency != "" {
		if adjacency, err = shape.ParseAdjacency(b.Shape.Adjacency); err != nil {
			return jobs.Spec{}, err
		}
	}
	return jobs.Spec{
		Shape: shape.Shape{
			Members: b.Shape.Members,
			Member: shape.Resources{
				Accelerators: b.Shape.Accelerators, Processors: b.Shape.Processors, Memory: shape.Bytes(b.Shape.Memory),
			},
			Adjacency: adjacency,
		},
		Class: class, Guaranteed: b.Guaranteed, RunTime: time.Duration(b.RunTime), Payload: b.Payload,
	}, nil
}

func jobForm(j jobs.Job) wire.Job {
	s := j.Spec.Shape
	return wire.Job{
		ID: string(j.ID), Workspace: string(j.Workspace), Domain: string(j.Domain), State: j.State.String(),
		Shape: wire.Shape{
			Members: s.Members, Accelerators: s.Member.Accelerators, Processors: s.Member.Processors,
			Memory: int64(s.Member.Memory), Adjacency: s.Adjacency.String(),
		},
		Class: j.Spec.Class.String(), Guaranteed: j.Spec.Guaranteed, Submitted: j.Submitted, Started: j.Started,
		Ended: j.Ended, Attempt: j.Attempt, CancelRequested: j.CancelRequested, Reason: j.Reason, Result: j.Result,
	}
}

func listForm(all []jobs.Job) wire.JobList {
	list := wire.JobList{Jobs: make([]wire.Job, 0, len(all))}
	for _, j := range all {
		j.Result = nil
		list.Jobs = append(list.Jobs, jobForm(j))
	}
	return list
}

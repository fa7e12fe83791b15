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

var errTrailingData = errors.New("more than one value in the body")

// decodeStrict decodes one JSON value and rejects unknown fields, so that a
// misspelt option is not silently ignored.
func decodeStrict(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("decode body: %w", errTrailingData)
	}
	return nil
}

func (f *frontEnd) submitJob(w http.ResponseWriter, r *http.Request, ws config.Workspace) {
	var body wire.Submission
	if !readJSON(w, r, int64(f.deps.Config().Limits.MaxBody), &body) {
		return
	}
	spec, err := parseSpec(body)
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
	writeJSON(w, http.StatusCreated, wireJob(j))
}

func (f *frontEnd) readJob(w http.ResponseWriter, r *http.Request, ws config.Workspace) {
	wait, err := parseWait(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.Error{
			Outcome: wire.NotRun, Reason: string(intake.ReasonInvalid), Detail: err.Error(),
		})
		return
	}
	j, err := f.deps.Jobs.Wait(r.Context(), ws.Name, jobID(r), wait)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wireJob(j))
}

func (f *frontEnd) listJobs(w http.ResponseWriter, r *http.Request, ws config.Workspace) {
	all, err := f.deps.Jobs.List(r.Context(), ws.Name)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wireJobList(all))
}

func (f *frontEnd) cancelJob(w http.ResponseWriter, r *http.Request, ws config.Workspace) {
	j, err := f.deps.Jobs.Cancel(r.Context(), ws.Name, jobID(r))
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wireJob(j))
}

func jobID(r *http.Request) ident.Job { return ident.Job(mux.Vars(r)["id"]) }

// parseWait returns the time that the call may wait for the job to end, limited
// to maxWait.
func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("wait: %w", err)
	}
	return min(max(wait, 0), maxWait), nil
}

func parseSpec(body wire.Submission) (jobs.Spec, error) {
	class, err := jobs.ParseClass(body.Class)
	if err != nil {
		return jobs.Spec{}, fmt.Errorf("class: %w", err)
	}
	adjacency := shape.SameDomain
	if body.Shape.Adjacency != "" {
		if adjacency, err = shape.ParseAdjacency(body.Shape.Adjacency); err != nil {
			return jobs.Spec{}, err
		}
	}
	return jobs.Spec{
		Shape: shape.Shape{
			Members: body.Shape.Members,
			Member: shape.Resources{
				Accelerators: body.Shape.Accelerators, Processors: body.Shape.Processors, Memory: shape.Bytes(body.Shape.Memory),
			},
			Adjacency: adjacency,
		},
		Class: class, Guaranteed: body.Guaranteed, RunTime: time.Duration(body.RunTime), Payload: body.Payload,
	}, nil
}

func wireJob(j jobs.Job) wire.Job {
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

// wireJobList returns the list without the results of the jobs.
func wireJobList(all []jobs.Job) wire.JobList {
	list := wire.JobList{Jobs: make([]wire.Job, 0, len(all))}
	for _, j := range all {
		j.Result = nil
		list.Jobs = append(list.Jobs, wireJob(j))
	}
	return list
}

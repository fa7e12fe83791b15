package record

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	jobForm struct {
		ID              ident.Job       `json:"id"`
		Workspace       ident.Workspace `json:"workspace"`
		Shape           shapeForm       `json:"shape"`
		Class           string          `json:"class"`
		Guaranteed      bool            `json:"guaranteed,omitempty"`
		RunTime         span            `json:"runTime"`
		Payload         []byte          `json:"payload,omitempty"`
		Domain          ident.Domain    `json:"domain"`
		State           string          `json:"state"`
		Submitted       time.Time       `json:"submitted"`
		Attempt         int             `json:"attempt"`
		Epoch           int64           `json:"epoch"`
		Slots           []slotForm      `json:"slots,omitempty"`
		Started         time.Time       `json:"started,omitzero"`
		Ended           time.Time       `json:"ended,omitzero"`
		Saved           span            `json:"saved"`
		Failures        int             `json:"failures"`
		FailedOn        []ident.Worker  `json:"failedOn,omitempty"`
		CancelRequested bool            `json:"cancelRequested,omitempty"`
		Reason          string          `json:"reason,omitempty"`
		Result          []byte          `json:"result,omitempty"`
		ResultStored    bool            `json:"resultStored,omitempty"`
	}

	shapeForm struct {
		Members      int         `json:"members"`
		Accelerators int         `json:"accelerators"`
		Processors   int         `json:"processors"`
		Memory       shape.Bytes `json:"memory"`
		Adjacency    string      `json:"adjacency"`
	}

	slotForm struct {
		Worker  ident.Worker `json:"worker"`
		Members int          `json:"members"`
	}
)

// EncodeJob returns the row value of j.
func EncodeJob(j jobs.Job) ([]byte, error) {
	f := jobForm{
		ID: j.ID, Workspace: j.Workspace, Shape: shapeToForm(j.Spec.Shape), Class: j.Spec.Class.String(),
		Guaranteed: j.Spec.Guaranteed, RunTime: span(j.Spec.RunTime), Payload: j.Spec.Payload,
		Domain: j.Domain, State: j.State.String(), Submitted: j.Submitted, Attempt: j.Attempt,
		Epoch: j.Epoch, Started: j.Started, Ended: j.Ended, Saved: span(j.Saved),
		Failures: j.Failures, FailedOn: j.FailedOn, CancelRequested: j.CancelRequested,
		Reason: j.Reason, Result: j.Result, ResultStored: j.ResultStored,
	}
	for _, s := range j.Slots {
		f.Slots = append(f.Slots, slotForm(s))
	}
	return encode("job", f)
}

// DecodeJob returns the job of a row value.
func DecodeJob(b []byte) (jobs.Job, error) {
	var f jobForm
	if err := decode("job", b, &f); err != nil {
		return jobs.Job{}, err
	}
	state, err := jobs.ParseState(f.State)
	if err != nil {
		return jobs.Job{}, fmt.Errorf("decode state of job %s: %w", f.ID, err)
	}
	class, err := jobs.ParseClass(f.Class)
	if err != nil {
		return jobs.Job{}, fmt.Errorf("decode class of job %s: %w", f.ID, err)
	}
	s, err := shapeFromForm(f.Shape)
	if err != nil {
		return jobs.Job{}, fmt.Errorf("decode shape of job %s: %w", f.ID, err)
	}
	j := jobs.Job{
		ID: f.ID, Workspace: f.Workspace, Domain: f.Domain, State: state, Submitted: f.Submitted,
		Spec: jobs.Spec{
			Shape: s, Class: class, Guaranteed: f.Guaranteed,
			RunTime: time.Duration(f.RunTime), Payload: f.Payload,
		},
		Attempt: f.Attempt, Epoch: f.Epoch, Started: f.Started, Ended: f.Ended,
		Saved: time.Duration(f.Saved), Failures: f.Failures, FailedOn: f.FailedOn,
		CancelRequested: f.CancelRequested, Reason: f.Reason, Result: f.Result, ResultStored: f.ResultStored,
	}
	for _, s := range f.Slots {
		j.Slots = append(j.Slots, jobs.Slot(s))
	}
	return j, nil
}

func shapeToForm(s shape.Shape) shapeForm {
	return shapeForm{
		Members: s.Members, Accelerators: s.Member.Accelerators, Processors: s.Member.Processors,
		Memory: s.Member.Memory, Adjacency: s.Adjacency.String(),
	}
}

func shapeFromForm(f shapeForm) (shape.Shape, error) {
	a, err := shape.ParseAdjacency(f.Adjacency)
	if err != nil {
		return shape.Shape{}, fmt.Errorf("decode adjacency: %w", err)
	}
	return shape.Shape{
		Members:   f.Members,
		Member:    shape.Resources{Accelerators: f.Accelerators, Processors: f.Processors, Memory: f.Memory},
		Adjacency: a,
	}, nil
}

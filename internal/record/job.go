package record

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	jobJSON struct {
		ID              ident.Job       `json:"id"`
		Workspace       ident.Workspace `json:"workspace"`
		Shape           shapeJSON       `json:"shape"`
		Class           string          `json:"class"`
		Guaranteed      bool            `json:"guaranteed,omitempty"`
		RunTime         duration        `json:"runTime"`
		Payload         []byte          `json:"payload,omitempty"`
		Domain          ident.Domain    `json:"domain"`
		State           string          `json:"state"`
		Submitted       time.Time       `json:"submitted"`
		Attempt         int             `json:"attempt"`
		Epoch           int64           `json:"epoch"`
		Slots           []slotJSON      `json:"slots,omitempty"`
		Started         time.Time       `json:"started,omitzero"`
		Ended           time.Time       `json:"ended,omitzero"`
		Saved           duration        `json:"saved"`
		Failures        int             `json:"failures"`
		FailedOn        []ident.Worker  `json:"failedOn,omitempty"`
		CancelRequested bool            `json:"cancelRequested,omitempty"`
		Reason          string          `json:"reason,omitempty"`
		Result          []byte          `json:"result,omitempty"`
		ResultStored    bool            `json:"resultStored,omitempty"`
	}

	shapeJSON struct {
		Members      int         `json:"members"`
		Accelerators int         `json:"accelerators"`
		Processors   int         `json:"processors"`
		Memory       shape.Bytes `json:"memory"`
		Adjacency    string      `json:"adjacency"`
	}

	slotJSON struct {
		Worker  ident.Worker `json:"worker"`
		Members int          `json:"members"`
	}
)

// EncodeJob returns the row value of j.
func EncodeJob(j jobs.Job) ([]byte, error) {
	v := jobJSON{
		ID: j.ID, Workspace: j.Workspace, Shape: shapeToJSON(j.Spec.Shape), Class: j.Spec.Class.String(),
		Guaranteed: j.Spec.Guaranteed, RunTime: duration(j.Spec.RunTime), Payload: j.Spec.Payload,
		Domain: j.Domain, State: j.State.String(), Submitted: j.Submitted, Attempt: j.Attempt,
		Epoch: j.Epoch, Started: j.Started, Ended: j.Ended, Saved: duration(j.Saved),
		Failures: j.Failures, FailedOn: j.FailedOn, CancelRequested: j.CancelRequested,
		Reason: j.Reason, Result: j.Result, ResultStored: j.ResultStored,
	}
	for _, s := range j.Slots {
		v.Slots = append(v.Slots, slotJSON(s))
	}
	return encode("job", v)
}

// DecodeJob returns the job in a row value.
func DecodeJob(b []byte) (jobs.Job, error) {
	var v jobJSON
	if err := decode("job", b, &v); err != nil {
		return jobs.Job{}, err
	}
	state, err := jobs.ParseState(v.State)
	if err != nil {
		return jobs.Job{}, fmt.Errorf("decode state of job %s: %w", v.ID, err)
	}
	class, err := jobs.ParseClass(v.Class)
	if err != nil {
		return jobs.Job{}, fmt.Errorf("decode class of job %s: %w", v.ID, err)
	}
	s, err := shapeFromJSON(v.Shape)
	if err != nil {
		return jobs.Job{}, fmt.Errorf("decode shape of job %s: %w", v.ID, err)
	}
	j := jobs.Job{
		ID: v.ID, Workspace: v.Workspace, Domain: v.Domain, State: state, Submitted: v.Submitted,
		Spec: jobs.Spec{
			Shape: s, Class: class, Guaranteed: v.Guaranteed,
			RunTime: time.Duration(v.RunTime), Payload: v.Payload,
		},
		Attempt: v.Attempt, Epoch: v.Epoch, Started: v.Started, Ended: v.Ended,
		Saved: time.Duration(v.Saved), Failures: v.Failures, FailedOn: v.FailedOn,
		CancelRequested: v.CancelRequested, Reason: v.Reason, Result: v.Result, ResultStored: v.ResultStored,
	}
	for _, s := range v.Slots {
		j.Slots = append(j.Slots, jobs.Slot(s))
	}
	return j, nil
}

func shapeToJSON(s shape.Shape) shapeJSON {
	return shapeJSON{
		Members: s.Members, Accelerators: s.Member.Accelerators, Processors: s.Member.Processors,
		Memory: s.Member.Memory, Adjacency: s.Adjacency.String(),
	}
}

func shapeFromJSON(v shapeJSON) (shape.Shape, error) {
	a, err := shape.ParseAdjacency(v.Adjacency)
	if err != nil {
		return shape.Shape{}, fmt.Errorf("decode adjacency: %w", err)
	}
	return shape.Shape{
		Members:   v.Members,
		Member:    shape.Resources{Accelerators: v.Accelerators, Processors: v.Processors, Memory: v.Memory},
		Adjacency: a,
	}, nil
}

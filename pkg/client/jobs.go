package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

type (
	// Request is a request to a service.
	Request struct {
		Service string
		// ID identifies the request. If it is empty, one is generated.
		ID string
		// NonIdempotent requires that the request runs at most once.
		NonIdempotent bool
		// Class is urgent, normal or background. An empty class means normal.
		Class       string
		ContentType string
		Body        []byte
	}

	// Answer is the response of an endpoint.
	Answer struct {
		RequestID   string
		Status      int
		ContentType string
		Body        []byte
	}
)

const (
	// maxServerWait is the time that one attempt of Wait lets the server wait
	// for the end of the job. It is below the maximum that a server allows.
	maxServerWait = 30 * time.Second
	// responseMargin is the part of the caller's remaining time that is
	// reserved for the transfer of the response.
	responseMargin = time.Second
)

// ErrNotEnded is wrapped by the error of Wait if the deadline passes before the
// job ends.
var ErrNotEnded = errors.New("the job has not ended")

// Submit submits a job and returns it. If s has no request identifier, one is
// generated, so that an attempt whose response is lost can be repeated.
func (c *Client) Submit(ctx context.Context, s wire.Submission) (wire.Job, error) {
	if s.RequestID == "" {
		s.RequestID = uuid.NewString()
	}
	body, err := json.Marshal(s)
	if err != nil {
		return wire.Job{}, fmt.Errorf("encode submission: %w", err)
	}
	job, err := decode[wire.Job](c.do(ctx, callSpec{
		method: http.MethodPost, path: wire.PathJobs, body: body, id: s.RequestID, retryUnknown: true,
		timeout: c.settings.WriteTimeout,
	}))
	if e := asError(err); e != nil {
		e.RequestID = s.RequestID
	}
	return job, wrap("submit job", err)
}

// Job returns a job of the caller's workspace.
func (c *Client) Job(ctx context.Context, id string) (wire.Job, error) {
	job, err := get[wire.Job](ctx, c, jobPath(id), c.settings.TryTimeout)
	return job, wrap("read job "+id, err)
}

// Jobs returns the jobs of the caller's workspace.
func (c *Client) Jobs(ctx context.Context) (wire.JobList, error) {
	list, err := get[wire.JobList](ctx, c, wire.PathJobs, c.settings.TryTimeout)
	return list, wrap("list jobs", err)
}

// Wait returns the job when it has ended. If the deadline of ctx passes first,
// it returns the job as last read and an error that wraps ErrNotEnded.
func (c *Client) Wait(ctx context.Context, id string) (wire.Job, error) {
	for {
		serverWait := maxServerWait
		if deadline, ok := ctx.Deadline(); ok {
			serverWait = min(serverWait, max(time.Until(deadline)-responseMargin, 0))
		}
		path := jobPath(id) + "?wait=" + serverWait.String()
		job, err := get[wire.Job](ctx, c, path, serverWait+c.settings.TryTimeout)
		if err != nil || !job.Ended.IsZero() {
			return job, wrap("wait for job "+id, err)
		}
		// The server can end a wait early, for example at its planned stop. With
		// maxDoublings attempts, MaxPause limits the back-off unless it is more
		// than 512 times FirstPause.
		if !c.backOff(ctx, maxDoublings, 0) {
			return job, fmt.Errorf("wait for job %s, which is %s: %w", id, job.State, ErrNotEnded)
		}
	}
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, id string) (wire.Job, error) {
	job, err := decode[wire.Job](c.do(ctx, callSpec{
		method: http.MethodDelete, path: jobPath(id), retryUnknown: true, timeout: c.settings.WriteTimeout,
	}))
	return job, wrap("cancel job "+id, err)
}

// Request sends a request to a service and returns the response of the
// endpoint, whatever its status. The deadline of ctx is the deadline of the
// request.
func (c *Client) Request(ctx context.Context, r Request) (Answer, error) {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	h := http.Header{}
	h.Set(wire.HeaderRequestID, r.ID)
	if r.NonIdempotent {
		h.Set(wire.HeaderNonIdempotent, strconv.FormatBool(true))
	}
	if r.Class != "" {
		h.Set(wire.HeaderClass, r.Class)
	}
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	resp, err := c.do(ctx, callSpec{
		method: http.MethodPost, path: wire.PathServices + "/" + url.PathEscape(r.Service) + "/requests",
		header: h, body: r.Body, id: r.ID, retryUnknown: true,
	})
	if err != nil {
		return Answer{RequestID: r.ID}, wrap("request to "+r.Service, err)
	}
	return Answer{
		RequestID: r.ID, Status: resp.status, ContentType: resp.header.Get("Content-Type"), Body: resp.body,
	}, nil
}

func jobPath(id string) string { return wire.PathJobs + "/" + url.PathEscape(id) }

// get makes a read-only call.
func get[T any](ctx context.Context, c *Client, path string, timeout time.Duration) (T, error) {
	return decode[T](c.do(ctx, callSpec{
		method: http.MethodGet, path: path, retryUnknown: true, readOnly: true, timeout: timeout,
	}))
}

func wrap(operation string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", operation, err)
}

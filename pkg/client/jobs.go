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
		// ID identifies the request. If it is empty, one is chosen.
		ID string
		// NonIdempotent asks that the request runs at most once.
		NonIdempotent bool
		// Class is urgent, normal or background. Empty means normal.
		Class       string
		ContentType string
		Body        []byte
	}

	// Answer is the answer of an endpoint.
	Answer struct {
		RequestID   string
		Status      int
		ContentType string
		Body        []byte
	}
)

const (
	// waitPeriod is the time for which one try of Wait waits at the server,
	// below the bound there.
	waitPeriod = 30 * time.Second
	// waitMargin is the part of the caller's time that is left for the answer.
	waitMargin = time.Second
)

// ErrNotEnded is wrapped by the error of Wait if time is up before the job ends.
var ErrNotEnded = errors.New("the job has not ended")

// Submit submits a job and returns it. If s has no request identifier, one is
// chosen, so that a try whose answer is lost can be repeated.
func (c *Client) Submit(ctx context.Context, s wire.Submission) (wire.Job, error) {
	if s.RequestID == "" {
		s.RequestID = uuid.NewString()
	}
	body, err := json.Marshal(s)
	if err != nil {
		return wire.Job{}, fmt.Errorf("encode submission: %w", err)
	}
	job, err := decode[wire.Job](c.do(ctx, call{
		method: http.MethodPost, path: wire.PathJobs, body: body, id: s.RequestID, repeat: true,
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
		period := waitPeriod
		if deadline, ok := ctx.Deadline(); ok {
			period = min(period, max(time.Until(deadline)-waitMargin, 0))
		}
		path := jobPath(id) + "?wait=" + period.String()
		job, err := get[wire.Job](ctx, c, path, period+c.settings.TryTimeout)
		if err != nil || !job.Ended.IsZero() {
			return job, wrap("wait for job "+id, err)
		}
		// The server can end a wait early, for example at its planned stop.
		if !c.pause(ctx, maxDoublings, 0) {
			return job, fmt.Errorf("wait for job %s, which is %s: %w", id, job.State, ErrNotEnded)
		}
	}
}

// Cancel asks for the end of a job.
func (c *Client) Cancel(ctx context.Context, id string) (wire.Job, error) {
	job, err := decode[wire.Job](c.do(ctx, call{
		method: http.MethodDelete, path: jobPath(id), repeat: true, timeout: c.settings.WriteTimeout,
	}))
	return job, wrap("cancel job "+id, err)
}

// Request sends a request and returns the endpoint's answer, whatever its
// status. The deadline of ctx is the deadline of the request.
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
	resp, err := c.do(ctx, call{
		method: http.MethodPost, path: wire.PathServices + "/" + url.PathEscape(r.Service) + "/requests",
		header: h, body: r.Body, id: r.ID, repeat: true,
	})
	if err != nil {
		return Answer{RequestID: r.ID}, wrap("request to "+r.Service, err)
	}
	return Answer{
		RequestID: r.ID, Status: resp.status, ContentType: resp.header.Get("Content-Type"), Body: resp.body,
	}, nil
}

func jobPath(id string) string { return wire.PathJobs + "/" + url.PathEscape(id) }

// get makes a call that reads.
func get[T any](ctx context.Context, c *Client, path string, timeout time.Duration) (T, error) {
	return decode[T](c.do(ctx, call{
		method: http.MethodGet, path: path, repeat: true, reads: true, timeout: timeout,
	}))
}

func wrap(what string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", what, err)
}

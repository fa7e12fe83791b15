package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

type (
	// loadGenerator sends the workload of one site.
	loadGenerator struct {
		site       string
		balancer   *balancer
		workload   Workload
		random     *rand.Rand
		goroutines sync.WaitGroup
	}

	// endpointOutput is the part of a stand-in endpoint's answer that is
	// compared with the request.
	endpointOutput struct {
		Request string `json:"request"`
		Input   string `json:"input"`
	}

	// jobPayload tells a stand-in worker how long a job runs and what its
	// result is.
	jobPayload struct {
		RunFor string `json:"runFor"`
		Result string `json:"result"`
	}
)

const (
	// retryTimeout bounds the time for which a call is repeated.
	retryTimeout = 25 * time.Second
	// maxUnknownRetries bounds how often a non-idempotent request is repeated,
	// to learn its outcome, after calls whose outcome is unknown.
	maxUnknownRetries = 5
	// jobTimeout bounds the wait for the end of a job.
	jobTimeout = 40 * time.Second
	// jobWait is the time for which one call waits for the end of a job.
	jobWait = "5s"
)

// run sends all requests and jobs, takes failure domains out of service as
// planned, and returns when all of this has ended. Each goroutine writes only
// to its own element of the slices in s.
func (l *loadGenerator) run(ctx context.Context, s *Site) {
	s.Requests = make([]Request, 0)
	for _, g := range l.workload.Requests {
		for n := range g.Count {
			s.Requests = append(s.Requests, Request{ID: l.identifier(g.Name, n), Group: g.Name, NonIdempotent: g.NonIdempotent})
		}
	}
	for _, g := range l.workload.Jobs {
		for n := range g.Count {
			s.Jobs = append(s.Jobs, Job{
				ID: l.identifier(g.Name, n), Group: g.Name, Workspace: g.Workspace, Members: g.Shape.Members,
			})
		}
	}
	s.Outages = make([]Outage, len(l.workload.Outages))
	l.startRequests(ctx, s.Requests)
	l.startJobs(ctx, s.Jobs)
	for i, o := range l.workload.Outages {
		l.goroutines.Go(func() { l.runOutage(ctx, o, &s.Outages[i]) })
	}
	l.goroutines.Wait()
}

// identifier returns the identifier of the request or job with index n of a
// group. It is unique in a run and the same in each run.
func (l *loadGenerator) identifier(group string, n int) string {
	return fmt.Sprintf("%s-%s-%d", l.site, strings.ReplaceAll(group, " ", "-"), n+1)
}

func (l *loadGenerator) startRequests(ctx context.Context, all []Request) {
	next := 0
	for _, g := range l.workload.Requests {
		for range g.Count {
			r, delay := &all[next], l.startDelay(g.Over)
			next++
			l.goroutines.Go(func() {
				if pause(ctx, delay) {
					l.sendRequest(ctx, g, r)
				}
			})
		}
	}
}

func (l *loadGenerator) startJobs(ctx context.Context, all []Job) {
	next := 0
	for _, g := range l.workload.Jobs {
		for range g.Count {
			j, delay := &all[next], l.startDelay(g.Over)
			next++
			l.goroutines.Go(func() {
				if pause(ctx, delay) {
					l.runJob(ctx, g, j)
				}
			})
		}
	}
}

// startDelay returns a random delay from 0 up to but not including over.
func (l *loadGenerator) startDelay(over wire.Duration) time.Duration {
	return time.Duration(l.random.Int64N(max(int64(over), 1)))
}

// sendRequest sends a request, always with the same identifier, until it is
// done, retryTimeout has passed or, if it is not idempotent, its outcome was
// unknown more than maxUnknownRetries times.
func (l *loadGenerator) sendRequest(ctx context.Context, g RequestGroup, r *Request) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	body := g.Body + " " + r.ID
	spec := callSpec{
		method: http.MethodPost, path: wire.PathServices + "/" + g.Service + "/requests",
		key: l.workload.Keys[g.Workspace], body: []byte(body),
		header: map[string]string{
			"Content-Type": "text/plain", wire.HeaderRequestID: r.ID, wire.HeaderClass: g.Class,
			wire.HeaderDeadline: toDuration(g.Deadline).String(),
		},
	}
	if g.NonIdempotent {
		spec.header[wire.HeaderNonIdempotent] = "true"
	}
	unknown := 0
	for {
		c, resp := l.balancer.call(ctx, spec)
		r.Calls = append(r.Calls, c)
		if c.Outcome == wire.Done {
			var o endpointOutput
			err := json.Unmarshal(resp.body, &o)
			r.AnswerMatches = err == nil && o.Request == r.ID && o.Input == body
			return
		}
		if c.Outcome == wire.Unknown {
			unknown++
		}
		if g.NonIdempotent && unknown > maxUnknownRetries || !pause(ctx, backOff(len(r.Calls))) {
			return
		}
	}
}

// runJob submits a job until it is accepted and reads it until it has ended.
func (l *loadGenerator) runJob(ctx context.Context, g JobGroup, j *Job) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	body, err := l.encodeSubmission(g, j.ID)
	if err != nil {
		return
	}
	spec := callSpec{method: http.MethodPost, path: wire.PathJobs, key: l.workload.Keys[g.Workspace], body: body}
	for !j.Accepted {
		c, resp := l.balancer.call(ctx, spec)
		j.Calls = append(j.Calls, c)
		j.Accepted = c.Outcome == wire.Done && json.Unmarshal(resp.body, &j.LastRead) == nil
		if !j.Accepted && !pause(ctx, backOff(len(j.Calls))) {
			return
		}
	}
	l.awaitJob(ctx, spec.key, j)
}

// awaitJob reads the job until it has ended.
func (l *loadGenerator) awaitJob(ctx context.Context, key string, j *Job) {
	spec := callSpec{method: http.MethodGet, path: wire.PathJobs + "/" + j.LastRead.ID + "?wait=" + jobWait, key: key}
	for n := 0; ; n++ {
		c, resp := l.balancer.call(ctx, spec)
		var read wire.Job
		if c.Outcome == wire.Done && json.Unmarshal(resp.body, &read) == nil {
			j.LastRead = read
		}
		if isEnded(j.LastRead.State) {
			j.ResultMatches = j.LastRead.State == stateDone && string(j.LastRead.Result) == expectedResult(j.ID)
			return
		}
		if c.Outcome != wire.Done && !pause(ctx, backOff(n)) || ctx.Err() != nil {
			return
		}
	}
}

func (l *loadGenerator) encodeSubmission(g JobGroup, id string) ([]byte, error) {
	payload, err := json.Marshal(jobPayload{RunFor: toDuration(g.RunFor).String(), Result: expectedResult(id)})
	if err != nil {
		return nil, fmt.Errorf("encode payload: %w", err)
	}
	body, err := json.Marshal(wire.Submission{
		RequestID: id, Shape: g.Shape, Class: g.Class, Guaranteed: g.Guaranteed, RunTime: g.RunFor, Payload: payload,
	})
	if err != nil {
		return nil, fmt.Errorf("encode submission: %w", err)
	}
	return body, nil
}

// expectedResult returns the result that the job with the given identifier
// produces.
func expectedResult(id string) string { return "result of " + id }

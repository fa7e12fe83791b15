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
	// load sends the workload of one site.
	load struct {
		site     string
		front    *front
		workload Workload
		random   *rand.Rand
		threads  sync.WaitGroup
	}

	// output is the part of an endpoint's answer that the caller compares.
	output struct {
		Request string `json:"request"`
		Input   string `json:"input"`
	}

	// payload tells the stand-in of a worker how a job behaves.
	payload struct {
		RunFor string `json:"runFor"`
		Result string `json:"result"`
	}
)

const (
	// giveUp bounds the time for which a call is repeated.
	giveUp = 25 * time.Second
	// asksAgain bounds how often the fate of a non-idempotent request is
	// asked for after a call whose outcome is unknown.
	asksAgain = 5
	// jobLimit bounds the wait for the end of a job.
	jobLimit = 40 * time.Second
	// jobWait is the time for which one call waits for the end of a job.
	jobWait = "5s"
)

// run sends all requests and jobs and returns when all have ended. Each thread
// writes to its own element.
func (l *load) run(ctx context.Context, s *Site) {
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
		l.threads.Go(func() { l.outage(ctx, o, &s.Outages[i]) })
	}
	l.threads.Wait()
}

// identifier is unique in a run and the same in each run.
func (l *load) identifier(group string, n int) string {
	return fmt.Sprintf("%s-%s-%d", l.site, strings.ReplaceAll(group, " ", "-"), n+1)
}

func (l *load) startRequests(ctx context.Context, all []Request) {
	at := 0
	for _, g := range l.workload.Requests {
		for range g.Count {
			r, begin := &all[at], l.instant(g.Over)
			at++
			l.threads.Go(func() {
				if pause(ctx, begin) {
					l.request(ctx, g, r)
				}
			})
		}
	}
}

func (l *load) startJobs(ctx context.Context, all []Job) {
	at := 0
	for _, g := range l.workload.Jobs {
		for range g.Count {
			j, begin := &all[at], l.instant(g.Over)
			at++
			l.threads.Go(func() {
				if pause(ctx, begin) {
					l.job(ctx, g, j)
				}
			})
		}
	}
}

// instant is a random one in the given time.
func (l *load) instant(over wire.Duration) time.Duration {
	return time.Duration(l.random.Int64N(max(int64(over), 1)))
}

// request sends a request until it is done. The identifier is always the same.
func (l *load) request(ctx context.Context, g RequestGroup, r *Request) {
	ctx, cancel := context.WithTimeout(ctx, giveUp)
	defer cancel()
	body := g.Body + " " + r.ID
	m := message{
		method: http.MethodPost, path: wire.PathServices + "/" + g.Service + "/requests",
		key: l.workload.Keys[g.Workspace], body: []byte(body),
		header: map[string]string{
			"Content-Type": "text/plain", wire.HeaderRequestID: r.ID, wire.HeaderClass: g.Class,
			wire.HeaderDeadline: span(g.Deadline).String(),
		},
	}
	if g.NonIdempotent {
		m.header[wire.HeaderNonIdempotent] = "true"
	}
	unknown := 0
	for {
		c, answer := l.front.call(ctx, m)
		r.Calls = append(r.Calls, c)
		if c.Outcome == wire.Done {
			var o output
			err := json.Unmarshal(answer.body, &o)
			r.Own = err == nil && o.Request == r.ID && o.Input == body
			return
		}
		if c.Outcome == wire.Unknown {
			unknown++
		}
		if g.NonIdempotent && unknown > asksAgain || !pause(ctx, backOff(len(r.Calls))) {
			return
		}
	}
}

// job submits a job until it is accepted and reads it until it has ended.
func (l *load) job(ctx context.Context, g JobGroup, j *Job) {
	ctx, cancel := context.WithTimeout(ctx, jobLimit)
	defer cancel()
	body, err := l.submission(g, j.ID)
	if err != nil {
		return
	}
	m := message{method: http.MethodPost, path: wire.PathJobs, key: l.workload.Keys[g.Workspace], body: body}
	for !j.Accepted {
		c, answer := l.front.call(ctx, m)
		j.Calls = append(j.Calls, c)
		j.Accepted = c.Outcome == wire.Done && json.Unmarshal(answer.body, &j.Last) == nil
		if !j.Accepted && !pause(ctx, backOff(len(j.Calls))) {
			return
		}
	}
	l.await(ctx, m.key, j)
}

// await reads the job until it has ended.
func (l *load) await(ctx context.Context, key string, j *Job) {
	m := message{method: http.MethodGet, path: wire.PathJobs + "/" + j.Last.ID + "?wait=" + jobWait, key: key}
	for n := 0; ; n++ {
		c, answer := l.front.call(ctx, m)
		var read wire.Job
		if c.Outcome == wire.Done && json.Unmarshal(answer.body, &read) == nil {
			j.Last = read
		}
		if isEnded(j.Last.State) {
			j.Whole = j.Last.State == stateDone && string(j.Last.Result) == resultOf(j.ID)
			return
		}
		if c.Outcome != wire.Done && !pause(ctx, backOff(n)) || ctx.Err() != nil {
			return
		}
	}
}

func (l *load) submission(g JobGroup, id string) ([]byte, error) {
	p, err := json.Marshal(payload{RunFor: span(g.RunFor).String(), Result: resultOf(id)})
	if err != nil {
		return nil, fmt.Errorf("encode payload: %w", err)
	}
	b, err := json.Marshal(wire.Submission{
		RequestID: id, Shape: g.Shape, Class: g.Class, Guaranteed: g.Guaranteed, RunTime: g.RunFor, Payload: p,
	})
	if err != nil {
		return nil, fmt.Errorf("encode submission: %w", err)
	}
	return b, nil
}

func resultOf(id string) string { return "result of " + id }

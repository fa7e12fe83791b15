package matrix

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Breach is a promise that the logs show to be broken.
	Breach struct {
		// Promise is P1 to P9, or Jobs for a job that is lost or ends twice.
		Promise string
		Detail  string
	}

	// checker collects breaches.
	checker struct {
		Logs
		jobRows []jobRowAt
		configs []configAt
		found   []Breach
	}

	jobRowAt struct {
		at  time.Time
		job jobs.Job
	}

	configAt struct {
		at     time.Time
		config *config.Config
	}

	// span is the run of an attempt on a worker.
	span struct {
		worker   ident.Worker
		from, to time.Time
		done     bool
	}
)

// The bounds of the promises.
const (
	// boundDomain is the bound of P3, boundLeaving that of P7 and boundConfig
	// that of P9, from section 1.2 of the design page.
	boundDomain  = 3 * time.Second
	boundLeaving = 3 * time.Second
	boundConfig  = 5 * time.Second
	// boundPart is the longest that members run without the others by section
	// 8.2: a gang is renewed for 3 s after the last report of a member, and
	// the last renewal holds for 12 s.
	boundPart = 15 * time.Second
	// boundReclaim is the start of urgent work (8 s), the time for a
	// checkpoint (5 s) and the lease of tasks that cannot be told to stop
	// (12 s).
	boundReclaim = 25 * time.Second
)

// Check returns the breaches that the logs show, ordered by promise.
func Check(l Logs) []Breach {
	c := &checker{Logs: l}
	c.decode()
	c.checkReclaim()
	c.checkGangs()
	c.checkDomain()
	c.checkAnswers()
	c.checkLeaving()
	c.checkStops()
	c.checkConfig()
	c.checkJobs()
	slices.SortStableFunc(c.found, func(a, b Breach) int { return strings.Compare(a.Promise, b.Promise) })
	return c.found
}

func (c *checker) breach(promise, format string, args ...any) {
	c.found = append(c.found, Breach{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) decode() {
	for _, row := range c.Commits {
		switch {
		case row.Deleted:
		case strings.HasPrefix(row.Key, jobRow):
			if j, err := record.DecodeJob(row.Value); err == nil {
				c.jobRows = append(c.jobRows, jobRowAt{row.At, j})
			}
		case row.Key == record.ConfigKey:
			if v, err := record.DecodeConfig(row.Value); err == nil {
				c.configs = append(c.configs, configAt{row.At, v})
			}
		}
	}
}

// after returns the time since the run began, for details.
func (c *checker) after(t time.Time) time.Duration {
	return t.Sub(c.Begin).Round(10 * time.Millisecond)
}

// checkReclaim checks P1: a guaranteed submission starts in time.
func (c *checker) checkReclaim() {
	for _, s := range c.Submits {
		if !s.Guaranteed || s.Outcome != "accepted" {
			continue
		}
		by := c.calmAfter(s.At).Add(boundReclaim)
		started := time.Time{}
		for _, run := range c.runsOf(s.Workspace, s.Job) {
			if started.IsZero() || run.from.Before(started) {
				started = run.from
			}
		}
		if started.IsZero() || started.After(by) {
			c.breach("P1", "%s was accepted at %v and had not started by %v", s.Job, c.after(s.At), c.after(by))
		}
	}
}

// calmAfter returns the end of the faults, and of the times in which the home
// of the guarantee was out of service, that overlap or follow t closely.
func (c *checker) calmAfter(t time.Time) time.Time {
	all := append(slices.Clone(c.Outages), c.outOfService()...)
	slices.SortFunc(all, func(a, b Outage) int { return a.From.Compare(b.From) })
	for _, o := range all {
		if o.From.Before(t.Add(boundReclaim)) && o.To.After(t) {
			t = o.To
		}
	}
	return t
}

// outOfService returns the times in which the near domain was out of service.
func (c *checker) outOfService() []Outage {
	var all []Outage
	out := false
	for _, v := range c.configs {
		d, ok := v.config.Domain(nearby)
		switch in := ok && d.InService; {
		case in && out:
			all[len(all)-1].To = v.at
			out = false
		case !in && !out:
			all = append(all, Outage{From: v.at, To: c.End, Fault: "outOfService"})
			out = true
		}
	}
	return all
}

// runsOf returns the runs of all attempts of a job.
func (c *checker) runsOf(w ident.Workspace, j ident.Job) []span {
	var all []span
	for _, attempts := range c.attempts() {
		for a, runs := range attempts {
			if a.Workspace == w && a.Job == j {
				all = append(all, runs...)
			}
		}
	}
	return all
}

// attempts returns the runs by attempt, for each worker process.
func (c *checker) attempts() []map[worker.Attempt][]span {
	var all []map[worker.Attempt][]span
	for _, l := range c.Workers {
		runs := make(map[worker.Attempt][]span)
		for _, e := range l.Entries {
			if !l.Killed.IsZero() && e.At.After(l.Killed) {
				continue
			}
			list := runs[e.Attempt]
			switch e.Event {
			case worker.EventStarted:
				list = append(list, span{worker: l.Worker, from: e.At})
			case worker.EventReserved:
			default:
				if n := len(list); n > 0 && list[n-1].to.IsZero() {
					list[n-1].to, list[n-1].done = e.At, e.Event == worker.EventDone
				}
			}
			runs[e.Attempt] = list
		}
		for _, list := range runs {
			c.close(list, l.Killed)
		}
		all = append(all, runs)
	}
	return all
}

// close ends the runs that were cut off by the end of the process or the log.
func (c *checker) close(list []span, killed time.Time) {
	for i := range list {
		if list[i].to.IsZero() {
			list[i].to = c.End
			if !killed.IsZero() {
				list[i].to = killed
			}
		}
	}
}

// checkGangs checks P2: no gang runs in part for longer than a lease.
func (c *checker) checkGangs() {
	byAttempt := make(map[worker.Attempt][]span)
	for _, runs := range c.attempts() {
		for a, list := range runs {
			byAttempt[a] = append(byAttempt[a], list...)
		}
	}
	for a, runs := range byAttempt {
		members := c.membersOf(a)
		if d := longestPart(runs, members); d > boundPart {
			c.breach("P2", "%v ran in part for %v", a, d)
		}
	}
}

// membersOf returns the workers of an attempt, from the record of its start.
func (c *checker) membersOf(a worker.Attempt) int {
	for _, r := range c.jobRows {
		if r.job.Workspace == a.Workspace && r.job.ID == a.Job && r.job.Attempt == a.Number && len(r.job.Slots) > 0 {
			return len(r.job.Slots)
		}
	}
	return 0
}

// longestPart returns the longest time in which at least one but not all
// members ran. A member that is done counts as there.
func longestPart(runs []span, members int) time.Duration {
	var instants []time.Time
	for _, r := range runs {
		instants = append(instants, r.from, r.to)
	}
	slices.SortFunc(instants, time.Time.Compare)
	var longest, present time.Duration
	for i := 1; i < len(instants); i++ {
		running, there := 0, make(map[ident.Worker]bool)
		for _, r := range runs {
			begun := !r.from.After(instants[i-1])
			live := begun && r.to.After(instants[i-1])
			if live {
				running++
			}
			if live || begun && r.done {
				there[r.worker] = true
			}
		}
		if running == 0 || len(there) == members {
			present = 0
			continue
		}
		present += instants[i].Sub(instants[i-1])
		longest = max(longest, present)
	}
	return longest
}

// checkDomain checks P3: no start in a domain that was taken out.
func (c *checker) checkDomain() {
	for _, l := range c.Workers {
		for _, e := range l.Entries {
			if e.Event != worker.EventStarted {
				continue
			}
			if out, ok := c.outSince(l.Domain, e.At); ok && e.At.Sub(out) > boundDomain {
				c.breach("P3", "%v started on %s at %v, %v after its domain was taken out",
					e.Attempt, l.Worker, c.after(e.At), e.At.Sub(out))
			}
		}
	}
}

// outSince returns the commit since which the domain is out of service at t.
func (c *checker) outSince(d ident.Domain, t time.Time) (time.Time, bool) {
	var since time.Time
	for _, v := range c.configs {
		if v.at.After(t) {
			break
		}
		domain, ok := v.config.Domain(d)
		switch {
		case ok && domain.InService:
			since = time.Time{}
		case since.IsZero():
			since = v.at
		}
	}
	return since, !since.IsZero()
}

// checkAnswers checks P4, P5 and P6.
func (c *checker) checkAnswers() {
	runs := make(map[ident.Request]int)
	for _, e := range c.Endpoints {
		if e.Event == fakes.ExecutionStarted {
			runs[e.Request]++
		}
	}
	refused := make(map[ident.Request]bool)
	for _, a := range c.Answers {
		was, seen := refused[a.Request]
		refused[a.Request] = a.Outcome == "notRun" && (was || !seen)
		if a.Outcome == "done" {
			c.checkBody(a)
		}
		if a.NonIdempotent && runs[a.Request] > 1 {
			c.breach("P6", "%s ran %d times", a.Request, runs[a.Request])
		}
	}
	for id, all := range refused {
		if all && runs[id] > 0 {
			c.breach("P5", "%s was answered notRun and ran %d times", id, runs[id])
		}
	}
	c.checkRefusals()
}

func (c *checker) checkBody(a Answer) {
	var out fakes.Output
	if err := json.Unmarshal(a.Body, &out); err != nil || out.Request != a.Request || out.Input != a.Input {
		c.breach("P4", "%s was answered with %q", a.Request, a.Body)
	}
}

// checkRefusals checks P5 for jobs: a job of which every submission was
// refused as not run has no row.
func (c *checker) checkRefusals() {
	refused := make(map[ident.Request]bool)
	for _, s := range c.Submits {
		was, seen := refused[s.Request]
		refused[s.Request] = s.Outcome == "notRun" && (was || !seen)
	}
	for _, r := range c.jobRows {
		id := ident.Request(strings.TrimPrefix(string(r.job.ID), "req-"))
		if refused[id] {
			c.breach("P5", "submission %s was answered notRun and has a row", id)
			refused[id] = false
		}
	}
}

// checkLeaving checks P7: no work reaches an endpoint that has been leaving.
func (c *checker) checkLeaving() {
	left := make(map[ident.Endpoint]time.Time)
	for _, e := range c.Endpoints {
		if e.Event == fakes.EndpointLeaves {
			left[e.Endpoint] = e.At
		}
	}
	for _, e := range c.Endpoints {
		since, ok := left[e.Endpoint]
		isNew := e.Event == fakes.ExecutionStarted || e.Event == fakes.ExecutionRefused
		if ok && isNew && e.At.Sub(since) > boundLeaving {
			c.breach("P7", "%s reached %s %v after it began to leave", e.Request, e.Endpoint, e.At.Sub(since))
		}
	}
}

// checkStops checks P8: when a process ends as planned, no caller waits for it.
func (c *checker) checkStops() {
	for _, s := range c.Stops {
		if s.Killed || s.To.IsZero() {
			continue
		}
		for _, a := range c.Answers {
			cutOff := a.Outcome == "" || a.At.After(s.To) || a.Reason == "callerGone"
			if a.Instance == s.Instance && a.Asked.Before(s.To) && cutOff {
				c.breach("P8", "%s, asked at %v, was cut off by the stop at %v", a.Request, c.after(a.Asked), c.after(s.To))
			}
		}
	}
}

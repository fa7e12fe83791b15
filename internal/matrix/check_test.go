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
	// Breach is a broken promise, as shown by the logs.
	Breach struct {
		// Promise is P1 to P9, or Jobs for a job that is lost or ends twice.
		Promise string
		Detail  string
	}

	// checker checks the logs of one run and collects the breaches.
	checker struct {
		Logs
		jobRows  []committedJob
		configs  []committedConfig
		breaches []Breach
	}

	// committedJob is a version of a job's row.
	committedJob struct {
		at  time.Time
		job jobs.Job
	}

	// committedConfig is a version of the configuration's row.
	committedConfig struct {
		at     time.Time
		config *config.Config
	}

	// taskRun is the run of one task of an attempt on a worker. done is true if
	// the task completed.
	taskRun struct {
		worker   ident.Worker
		from, to time.Time
		done     bool
	}
)

// Bounds of the promises.
const (
	// boundOutOfService is the time in which tasks may still start in a domain
	// that was taken out of service (P3), boundLeaving the time in which
	// requests may still reach a leaving endpoint (P7), and boundConfig the
	// time in which an accepted configuration must be in force (P9).
	boundOutOfService = 3 * time.Second
	boundLeaving      = 3 * time.Second
	boundConfig       = 5 * time.Second
	// boundPartialGang is the longest time for which members of a gang may run
	// without the others (P2): the leases of a gang are renewed for 3 s after
	// the last report of a member, and the last renewal holds for 12 s.
	boundPartialGang = 15 * time.Second
	// boundReclaim is the time in which an accepted job with a guarantee must
	// start (P1): the start of urgent work (8 s), the time for a checkpoint
	// (5 s) and the lease of tasks that the stop does not reach (12 s).
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
	slices.SortStableFunc(c.breaches, func(a, b Breach) int { return strings.Compare(a.Promise, b.Promise) })
	return c.breaches
}

func (c *checker) report(promise, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

// decode collects the versions of the rows of jobs and of the configuration.
func (c *checker) decode() {
	for _, row := range c.Commits {
		switch {
		case row.Deleted:
		case strings.HasPrefix(row.Key, jobRowPrefix):
			if j, err := record.DecodeJob(row.Value); err == nil {
				c.jobRows = append(c.jobRows, committedJob{row.At, j})
			}
		case row.Key == record.ConfigKey:
			if v, err := record.DecodeConfig(row.Value); err == nil {
				c.configs = append(c.configs, committedConfig{row.At, v})
			}
		}
	}
}

// sinceBegin returns the time from the start of the run to t, for details of
// breaches.
func (c *checker) sinceBegin(t time.Time) time.Duration {
	return t.Sub(c.Begin).Round(10 * time.Millisecond)
}

// checkReclaim checks P1: an accepted job with a guarantee starts in time.
func (c *checker) checkReclaim() {
	for _, s := range c.Submissions {
		if !s.Guaranteed || s.Outcome != "accepted" {
			continue
		}
		deadline := c.endOfDisturbance(s.At).Add(boundReclaim)
		started := time.Time{}
		for _, run := range c.runsOf(s.Workspace, s.Job) {
			if started.IsZero() || run.from.Before(started) {
				started = run.from
			}
		}
		if started.IsZero() || started.After(deadline) {
			c.report("P1", "%s was accepted at %v and had not started by %v", s.Job, c.sinceBegin(s.At), c.sinceBegin(deadline))
		}
	}
}

// endOfDisturbance returns the instant from which a job accepted at t can be
// expected to start: the end of the faults, and of the periods in which the
// home domain of the guarantee was out of service, that end after t and begin
// less than boundReclaim after it or after the end of the previous one. It
// returns t if there are none.
func (c *checker) endOfDisturbance(t time.Time) time.Time {
	all := append(slices.Clone(c.Outages), c.outOfServicePeriods()...)
	slices.SortFunc(all, func(a, b Outage) int { return a.From.Compare(b.From) })
	for _, o := range all {
		if o.From.Before(t.Add(boundReclaim)) && o.To.After(t) {
			t = o.To
		}
	}
	return t
}

// outOfServicePeriods returns the periods in which the near domain was out of
// service.
func (c *checker) outOfServicePeriods() []Outage {
	var all []Outage
	out := false
	for _, v := range c.configs {
		d, ok := v.config.Domain(nearDomain)
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

// runsOf returns the runs of all attempts of a job on all workers.
func (c *checker) runsOf(ws ident.Workspace, j ident.Job) []taskRun {
	var all []taskRun
	for _, attempts := range c.attempts() {
		for a, runs := range attempts {
			if a.Workspace == ws && a.Job == j {
				all = append(all, runs...)
			}
		}
	}
	return all
}

// attempts returns the runs by attempt for each worker process. Entries that
// are later than the end of a killed process are ignored.
func (c *checker) attempts() []map[worker.Attempt][]taskRun {
	var all []map[worker.Attempt][]taskRun
	for _, l := range c.Workers {
		runs := make(map[worker.Attempt][]taskRun)
		for _, e := range l.Entries {
			if !l.Killed.IsZero() && e.At.After(l.Killed) {
				continue
			}
			list := runs[e.Attempt]
			switch e.Event {
			case worker.EventStarted:
				list = append(list, taskRun{worker: l.Worker, from: e.At})
			case worker.EventReserved:
			default:
				if n := len(list); n > 0 && list[n-1].to.IsZero() {
					list[n-1].to, list[n-1].done = e.At, e.Event == worker.EventDone
				}
			}
			runs[e.Attempt] = list
		}
		for _, list := range runs {
			c.endOpenRuns(list, l.Killed)
		}
		all = append(all, runs)
	}
	return all
}

// endOpenRuns sets the end of the runs that lasted until the process was killed
// or the log ended.
func (c *checker) endOpenRuns(list []taskRun, killed time.Time) {
	for i := range list {
		if list[i].to.IsZero() {
			list[i].to = c.End
			if !killed.IsZero() {
				list[i].to = killed
			}
		}
	}
}

// checkGangs checks P2: no gang runs with only some of its members for longer
// than boundPartialGang.
func (c *checker) checkGangs() {
	byAttempt := make(map[worker.Attempt][]taskRun)
	for _, runs := range c.attempts() {
		for a, list := range runs {
			byAttempt[a] = append(byAttempt[a], list...)
		}
	}
	for a, runs := range byAttempt {
		members := c.gangSize(a)
		if d := longestPartialRun(runs, members); d > boundPartialGang {
			c.report("P2", "%v ran with only part of its gang for %v", a, d)
		}
	}
}

// gangSize returns the number of workers of an attempt, from the row that
// records its start, or 0 if there is none.
func (c *checker) gangSize(a worker.Attempt) int {
	for _, r := range c.jobRows {
		if r.job.Workspace == a.Workspace && r.job.ID == a.Job && r.job.Attempt == a.Number && len(r.job.Slots) > 0 {
			return len(r.job.Slots)
		}
	}
	return 0
}

// longestPartialRun returns the longest time for which at least one but not all
// members ran. A member that is done counts as present.
func longestPartialRun(runs []taskRun, members int) time.Duration {
	var instants []time.Time
	for _, r := range runs {
		instants = append(instants, r.from, r.to)
	}
	slices.SortFunc(instants, time.Time.Compare)
	var longest, partial time.Duration
	for i := 1; i < len(instants); i++ {
		running, present := 0, make(map[ident.Worker]bool)
		for _, r := range runs {
			begun := !r.from.After(instants[i-1])
			live := begun && r.to.After(instants[i-1])
			if live {
				running++
			}
			if live || begun && r.done {
				present[r.worker] = true
			}
		}
		if running == 0 || len(present) == members {
			partial = 0
			continue
		}
		partial += instants[i].Sub(instants[i-1])
		longest = max(longest, partial)
	}
	return longest
}

// checkDomain checks P3: no task starts in a domain that was taken out of
// service.
func (c *checker) checkDomain() {
	for _, l := range c.Workers {
		for _, e := range l.Entries {
			if e.Event != worker.EventStarted {
				continue
			}
			if out, ok := c.outOfServiceSince(l.Domain, e.At); ok && e.At.Sub(out) > boundOutOfService {
				c.report("P3", "%v started on %s at %v, %v after its domain was taken out of service",
					e.Attempt, l.Worker, c.sinceBegin(e.At), e.At.Sub(out))
			}
		}
	}
}

// outOfServiceSince returns the time of the commit that took the domain out of
// service, if it is out of service at t.
func (c *checker) outOfServiceSince(d ident.Domain, t time.Time) (time.Time, bool) {
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

// checkAnswers checks P4, P5 and P6 for requests: done means the caller's own
// answer, notRun to every submission means no execution, and a non-idempotent
// request runs at most once.
func (c *checker) checkAnswers() {
	executions := make(map[ident.Request]int)
	for _, e := range c.Endpoints {
		if e.Event == fakes.ExecutionStarted {
			executions[e.Request]++
		}
	}
	onlyNotRun := make(map[ident.Request]bool)
	for _, a := range c.Answers {
		before, seen := onlyNotRun[a.Request]
		onlyNotRun[a.Request] = a.Outcome == "notRun" && (before || !seen)
		if a.Outcome == "done" {
			c.checkBody(a)
		}
		if a.NonIdempotent && executions[a.Request] > 1 {
			c.report("P6", "%s ran %d times", a.Request, executions[a.Request])
		}
	}
	for id, all := range onlyNotRun {
		if all && executions[id] > 0 {
			c.report("P5", "%s was answered notRun and ran %d times", id, executions[id])
		}
	}
	c.checkRefusals()
}

// checkBody checks P4: the body is complete and belongs to the caller's request.
func (c *checker) checkBody(a Answer) {
	var out fakes.Output
	if err := json.Unmarshal(a.Body, &out); err != nil || out.Request != a.Request || out.Input != a.Input {
		c.report("P4", "%s was answered with %q", a.Request, a.Body)
	}
}

// checkRefusals checks P5 for jobs: a job whose submissions were all answered
// notRun has no row, but for the mark that its cancelling leaves. A job with that mark
// has no other row.
func (c *checker) checkRefusals() {
	onlyNotRun := make(map[ident.Request]bool)
	for _, s := range c.Submissions {
		before, seen := onlyNotRun[s.Request]
		onlyNotRun[s.Request] = s.Outcome == "notRun" && (before || !seen)
	}
	neverAccepted := make(map[string]bool)
	for _, r := range c.jobRows {
		if r.job.IsNeverAccepted() {
			neverAccepted[record.JobKey(r.job.Workspace, r.job.ID)] = true
		}
	}
	for _, r := range c.jobRows {
		if r.job.IsNeverAccepted() {
			continue
		}
		if neverAccepted[record.JobKey(r.job.Workspace, r.job.ID)] {
			c.report("P5", "the cancelling of %s found no job, and it has a row", r.job.ID)
		}
		id := ident.Request(strings.TrimPrefix(string(r.job.ID), "req-"))
		if onlyNotRun[id] {
			c.report("P5", "submission %s was answered notRun and has a row", id)
			onlyNotRun[id] = false
		}
	}
}

// checkLeaving checks P7: no request reaches an endpoint that has been leaving
// for longer than boundLeaving.
func (c *checker) checkLeaving() {
	leavingSince := make(map[ident.Endpoint]time.Time)
	for _, e := range c.Endpoints {
		if e.Event == fakes.EndpointLeaves {
			leavingSince[e.Endpoint] = e.At
		}
	}
	for _, e := range c.Endpoints {
		since, ok := leavingSince[e.Endpoint]
		isArrival := e.Event == fakes.ExecutionStarted || e.Event == fakes.ExecutionRefused
		if ok && isArrival && e.At.Sub(since) > boundLeaving {
			c.report("P7", "%s reached %s %v after it began to leave", e.Request, e.Endpoint, e.At.Sub(since))
		}
	}
}

// checkStops checks P8: no caller still waits for an answer of a process when a
// planned stop ends it. A process that is killed during its stop is exempt.
func (c *checker) checkStops() {
	for _, s := range c.Stops {
		if s.Killed || s.To.IsZero() {
			continue
		}
		for _, a := range c.Answers {
			cutOff := a.Outcome == "" || a.AnsweredAt.After(s.To) || a.Reason == "callerGone"
			if a.Instance == s.Instance && a.SentAt.Before(s.To) && cutOff {
				c.report("P8", "%s, sent at %v, was cut off by the planned stop that ended at %v",
					a.Request, c.sinceBegin(a.SentAt), c.sinceBegin(s.To))
			}
		}
	}
}

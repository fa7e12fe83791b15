package demo

import (
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

var began = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// at returns the instant s seconds after the begin.
func at(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }

func call(from, to float64, instance string, o wire.Outcome) Call {
	return Call{Sent: at(from), Received: at(to), Instance: instance, Outcome: o}
}

func brokenCall(from, to float64, instance string) Call {
	return Call{Sent: at(from), Received: at(to), Instance: instance, Outcome: wire.Unknown, Reason: reasonBroken, Broken: true}
}

func ran(s float64, id string) Execution { return Execution{At: at(s), Kind: kindStarted, Request: id} }

func task(s float64, kind, worker string) Task {
	return Task{At: at(s), Kind: kind, Worker: worker, Domain: "ub2", Workspace: "foundryA", Job: "j1", Attempt: 1, Members: 2}
}

func commit(s float64, state string) Commit {
	return Commit{At: at(s), Key: "job/foundryA/j1", Value: []byte(`{"state":"` + state + `"}`)}
}

// keptRecord is a small run with each kind of fault and no broken promise.
func keptRecord() Record {
	s := Site{
		Name: "khangai",
		Requests: []Request{
			{ID: "check-1", Group: "checks", Own: true, Calls: []Call{brokenCall(5.9, 6, "a"), call(6.1, 6.2, "b", wire.Done)}},
			{ID: "stamp-1", Group: "stamps", NonIdempotent: true, Own: true, Calls: []Call{call(2, 2.1, "b", wire.NotRun), call(2.3, 2.4, "c", wire.Done)}},
			{ID: "stamp-2", Group: "stamps", NonIdempotent: true, Calls: []Call{brokenCall(5.9, 6, "a"), call(6.1, 6.2, "b", wire.Unknown)}},
			{ID: "stamp-3", Group: "stamps", NonIdempotent: true, Calls: []Call{call(7, 7.1, "b", wire.NotRun)}},
		},
		Jobs: []Job{{
			ID: "proof-1", Group: "proofing", Workspace: "foundryA", Members: 4, Accepted: true, Whole: true,
			Calls: []Call{call(1, 1.1, "b", wire.Done)},
			Last:  wire.Job{ID: "j1", State: stateDone, Attempt: 1, Submitted: at(1), Started: at(1.5)},
		}},
		Outages:  []Outage{{Domain: "ub2", Out: at(4), Back: at(12)}},
		Versions: []Version{{at(1), "b", 1}, {at(5), "b", 2}, {at(13), "b", 3}},
		Final:    []Version{{at(20), "b", 3}, {at(20), "spare", 3}},
		Commits:  []Commit{commit(1, "pending"), commit(1.5, "starting"), commit(1.6, "running"), commit(3.6, stateDone)},
		Tasks: []Task{
			task(1.4, kindReserved, "w1"), task(1.4, kindReserved, "w2"), task(1.5, kindStarted, "w1"),
			task(1.51, kindStarted, "w2"), task(3.5, "done", "w1"), task(3.51, "done", "w2"),
		},
		Executions: []Execution{ran(5.95, "check-1"), ran(6.15, "check-1"), ran(2.35, "stamp-1"), ran(5.95, "stamp-2")},
		Stops:      []Stop{{Instance: "c", Event: eventEnded}},
	}
	return Record{
		Seed: 1, Began: began, Ended: at(20), Sites: []Site{s},
		Faults: []Fault{
			{at(6), Killed, "a", 0}, {at(7), Started, "spare", 0}, {at(14), Stopping, "c", 0}, {at(16), Stopped, "c", 0},
		},
	}
}

// TestRender guards against a report that changes unnoticed.
func TestRender(t *testing.T) {
	r := keptRecord()
	findings := Check(r)
	assert.Assert(t, IsKept(findings))
	golden.Assert(t, Render(r, findings), "kept.golden")
}

// TestCheck guards against a check that misses what it is there for: each case
// breaks one thing in a record without faults.
func TestCheck(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(r *Record, s *Site)
	}{
		{"job ends twice", func(_ *Record, s *Site) { s.Commits = append(s.Commits, commit(4, stateDone)) }},
		{"job never ends", func(_ *Record, s *Site) { s.Commits = s.Commits[:3] }},
		{"job changes after its end", func(_ *Record, s *Site) { s.Commits = append(s.Commits, commit(4, "pending")) }},
		{"job stored twice", func(_ *Record, s *Site) {
			c := commit(4, stateDone)
			c.Key += "x"
			s.Commits = append(s.Commits, c)
		}},
		{"job refused", func(_ *Record, s *Site) { s.Jobs[0].Accepted = false }},
		{"result cut", func(_ *Record, s *Site) { s.Jobs[0].Whole = false }},
		{"half of a gang", func(_ *Record, s *Site) { s.Tasks[3].Kind = "stopped" }},
		{"member starts late", func(_ *Record, s *Site) { s.Tasks[3].At = at(3.2) }},
		{"member starts twice", func(_ *Record, s *Site) { s.Tasks = append(s.Tasks, task(1.6, kindStarted, "w3")) }},
		{"start in an outage", func(_ *Record, s *Site) { s.Outages[0].Out = at(-2) }},
		{"outage refused", func(_ *Record, s *Site) { s.Outages[0].Error = "refused" }},
		{"answer to another request", func(_ *Record, s *Site) { s.Requests[0].Own = false }},
		{"lost without a kill", func(r *Record, _ *Site) { r.Faults = r.Faults[1:] }},
		{"idempotent request lost", func(_ *Record, s *Site) { s.Requests[0].Calls = s.Requests[0].Calls[:1] }},
		{"no outcome", func(_ *Record, s *Site) { s.Requests[0].Calls[1].Outcome = "" }},
		{"refused but ran", func(_ *Record, s *Site) { s.Executions = append(s.Executions, ran(9, "stamp-3")) }},
		{"refused call ran", func(_ *Record, s *Site) { s.Executions[2].At = at(2.05) }},
		{"ran twice", func(_ *Record, s *Site) { s.Executions = append(s.Executions, ran(2.36, "stamp-1")) }},
		{"answer from nowhere", func(_ *Record, s *Site) { s.Executions = s.Executions[:2] }},
		{"cut off by the log", func(_ *Record, s *Site) { s.Stops[0].CutOff = 1 }},
		{"log without an end", func(_ *Record, s *Site) { s.Stops[0].Event = 5002 }},
		{"exit code", func(r *Record, _ *Site) { r.Faults[3].ExitCode = 1 }},
		{"call cut off", func(_ *Record, s *Site) {
			s.Requests[1].Calls = append([]Call{brokenCall(1, 2, "c")}, s.Requests[1].Calls...)
		}},
		{"version falls", func(_ *Record, s *Site) { s.Versions[2].Version = 1 }},
		{"versions differ", func(_ *Record, s *Site) { s.Final[1].Version = 2 }},
		{"no answer at the end", func(_ *Record, s *Site) { s.Final[0].Version, s.Final[1].Version = -1, -1 }},
	}
	var out strings.Builder
	for _, c := range cases {
		r := keptRecord()
		c.spoil(&r, &r.Sites[0])
		findings := Check(r)
		assert.Assert(t, !IsKept(findings), c.name)
		out.WriteString(c.name + "\n")
		for _, f := range findings {
			for _, b := range f.Broken {
				out.WriteString("\t" + f.Promise + ": " + b + "\n")
			}
		}
	}
	golden.Assert(t, out.String(), "broken.golden")
}

// TestPartial guards against time in which a part of a gang ran that is not
// counted, such as that of a member that never ends.
func TestPartial(t *testing.T) {
	g := gang{tasks: []Task{task(1, kindStarted, "w1"), task(2, kindStarted, "w2"), task(4, "lapsed", "w1")}}
	assert.Equal(t, g.partial(4, at(10)), 7*time.Second)
}

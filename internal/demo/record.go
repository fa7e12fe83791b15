package demo

import (
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

type (
	// Record is all that was seen in one run.
	Record struct {
		Seed   uint64
		Began  time.Time
		Ended  time.Time
		Faults []Fault
		Sites  []Site
	}

	// Site is what was seen at one installation.
	Site struct {
		Name     string
		Requests []Request
		Jobs     []Job
		Outages  []Outage
		Versions []Version
		// Final has the version of each instance that should live at the end.
		Final      []Version
		Commits    []Commit
		Tasks      []Task
		Executions []Execution
		Stops      []Stop
	}

	// Fault is what the script did to an instance.
	Fault struct {
		At       time.Time `json:"at"`
		Kind     FaultKind `json:"kind"`
		Instance string    `json:"instance"`
		// ExitCode is that of a process that was stopped.
		ExitCode int `json:"exitCode"`
	}

	// FaultKind is a kind of Fault.
	FaultKind string

	// Call is one HTTP call of a caller.
	Call struct {
		Sent     time.Time
		Received time.Time
		Instance string
		Outcome  wire.Outcome
		Reason   string
		// Broken tells that the connection ended without a whole response.
		Broken bool
	}

	// Request is a request with all its calls.
	Request struct {
		ID            string
		Group         string
		NonIdempotent bool
		Calls         []Call
		// Own tells that the answer was the one to this request.
		Own bool
	}

	// Job is a job with all calls to submit it and the last state read.
	Job struct {
		ID        string
		Group     string
		Workspace string
		Members   int
		Calls     []Call
		Accepted  bool
		// Last is the job as last read by its workspace.
		Last wire.Job
		// Whole tells that the result was that of this job.
		Whole bool
	}

	// Outage is a failure domain that was out of service. The instants are
	// those of the operator's calls: the answer to the first, the sending of
	// the second.
	Outage struct {
		Domain string
		Out    time.Time
		Back   time.Time
		Error  string
	}

	// Version is a configuration version in force at an instance. It is -1 if
	// the instance did not answer.
	Version struct {
		At       time.Time
		Instance string
		Version  int64
	}

	// Commit is a line of the log of the table service.
	Commit struct {
		At      time.Time `json:"at"`
		Key     string    `json:"key"`
		Deleted bool      `json:"deleted"`
		Value   []byte    `json:"value"`
	}

	// Task is a line of the log of a worker.
	Task struct {
		At        time.Time `json:"at"`
		Kind      string    `json:"kind"`
		Worker    string    `json:"worker"`
		Domain    string    `json:"domain"`
		Workspace string    `json:"workspace"`
		Job       string    `json:"job"`
		Attempt   int       `json:"attempt"`
		Members   int       `json:"members"`
	}

	// Execution is a line of the log of an endpoint.
	Execution struct {
		At       time.Time `json:"at"`
		Kind     string    `json:"kind"`
		Endpoint string    `json:"endpoint"`
		Request  string    `json:"request"`
		Attempt  int       `json:"attempt"`
	}

	// Stop is the end of the log of an instance that was stopped.
	Stop struct {
		Instance string
		// Event is the number of the last event, CutOff its field.
		Event  int
		CutOff int
	}
)

// The kinds of Fault.
const (
	Killed   FaultKind = "killed"
	Started  FaultKind = "started"
	Stopping FaultKind = "stopping"
	Stopped  FaultKind = "stopped"
	// AllDone ends the list.
	AllDone FaultKind = "allDone"
)

// The kinds of lines in the logs of workers and endpoints.
const (
	kindStarted  = "started"
	kindReserved = "reserved"
)

// outcome returns that of the last call.
func outcome(calls []Call) wire.Outcome {
	if len(calls) == 0 {
		return wire.NotRun
	}
	return calls[len(calls)-1].Outcome
}

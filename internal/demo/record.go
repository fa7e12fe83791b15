package demo

import (
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

type (
	// Record holds the calls, faults and logs of one run.
	Record struct {
		Seed   uint64
		Began  time.Time
		Ended  time.Time
		Faults []Fault
		Sites  []Site
	}

	// Site is the part of a Record about one installation.
	Site struct {
		Name     string
		Requests []Request
		Jobs     []Job
		Outages  []Outage
		// Versions has the samples taken during the run, ordered by time for
		// each instance.
		Versions []VersionSample
		// FinalVersions has one sample of each instance that should be running
		// after the faults.
		FinalVersions  []VersionSample
		Commits        []Commit
		TaskEvents     []TaskEvent
		EndpointEvents []EndpointEvent
		LogEnds        []LogEnd
	}

	// Fault is what the script did to an instance.
	Fault struct {
		At       time.Time `json:"at"`
		Kind     FaultKind `json:"kind"`
		Instance string    `json:"instance"`
		// ExitCode is set for the kind Stopped.
		ExitCode int `json:"exitCode"`
	}

	// FaultKind is a kind of Fault.
	FaultKind string

	// Call is one HTTP call of a workspace or operator.
	Call struct {
		Sent     time.Time
		Received time.Time
		Instance string
		Outcome  wire.Outcome
		Reason   string
		// Broken is true if no whole response was received, also if no
		// connection could be made.
		Broken bool
	}

	// Request is a request with all its calls.
	Request struct {
		ID            string
		Group         string
		NonIdempotent bool
		Calls         []Call
		// AnswerMatches is true if the answer belongs to this request.
		AnswerMatches bool
	}

	// Job is a job with all calls to submit it and the last state read.
	Job struct {
		ID        string
		Group     string
		Workspace string
		Members   int
		Calls     []Call
		Accepted  bool
		// LastRead is the job as its workspace last read it.
		LastRead wire.Job
		// ResultMatches is true if the job is done and its whole result was
		// read.
		ResultMatches bool
	}

	// Outage is a failure domain that was out of service. OutAt is the time of
	// the answer to the operator's call that took it out of service, and BackAt
	// the time when the call to bring it back was sent.
	Outage struct {
		Domain string
		OutAt  time.Time
		BackAt time.Time
		Error  string
	}

	// VersionSample is the configuration version in force at an instance at
	// one time. It is -1 if the instance did not answer.
	VersionSample struct {
		At       time.Time
		Instance string
		Version  int64
	}

	// Commit is a line of the log of the table service: a row that was written
	// or deleted.
	Commit struct {
		At      time.Time `json:"at"`
		Key     string    `json:"key"`
		Deleted bool      `json:"deleted"`
		Value   []byte    `json:"value"`
	}

	// TaskEvent is a line of the log of a worker. Members is the number of
	// gang members that the attempt has on this worker.
	TaskEvent struct {
		At        time.Time `json:"at"`
		Kind      string    `json:"kind"`
		Worker    string    `json:"worker"`
		Domain    string    `json:"domain"`
		Workspace string    `json:"workspace"`
		Job       string    `json:"job"`
		Attempt   int       `json:"attempt"`
		Members   int       `json:"members"`
	}

	// EndpointEvent is a line of the log of an endpoint.
	EndpointEvent struct {
		At       time.Time `json:"at"`
		Kind     string    `json:"kind"`
		Endpoint string    `json:"endpoint"`
		Request  string    `json:"request"`
		Attempt  int       `json:"attempt"`
	}

	// LogEnd is the last line of the log of an instance that was stopped.
	LogEnd struct {
		Instance string
		// Event is the number of the event, and CutOff its field cutOff, or -1
		// if it has none.
		Event  int
		CutOff int
	}
)

// The kinds of Fault.
const (
	Killed  FaultKind = "killed"
	Started FaultKind = "started"
	// Stopping is recorded when a planned stop is requested, Stopped when the
	// process has ended.
	Stopping FaultKind = "stopping"
	Stopped  FaultKind = "stopped"
	// AllDone ends the list.
	AllDone FaultKind = "allDone"
)

// The kinds of lines in the logs of workers and endpoints that the checks use.
const (
	kindStarted  = "started"
	kindReserved = "reserved"
)

// lastOutcome returns the outcome of the last call, or NotRun if there was no
// call.
func lastOutcome(calls []Call) wire.Outcome {
	if len(calls) == 0 {
		return wire.NotRun
	}
	return calls[len(calls)-1].Outcome
}

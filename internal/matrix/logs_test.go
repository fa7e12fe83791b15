package matrix

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Logs holds what the stand-ins and the callers logged during a run.
	Logs struct {
		Begin       time.Time
		End         time.Time
		Workers     []WorkerLog
		Endpoints   []fakes.Execution
		Commits     []fakes.Commit
		Answers     []Answer
		Submissions []Submission
		Versions    []VersionSample
		Outages     []Outage
		Stops       []PlannedStop
	}

	// WorkerLog is the log of one worker process.
	WorkerLog struct {
		Worker  ident.Worker
		Domain  ident.Domain
		Entries []worker.Entry
		// Killed is the time at which the process was killed, or zero.
		Killed time.Time
	}

	// Answer is a caller's request and the answer to it.
	Answer struct {
		SentAt, AnsweredAt time.Time
		Instance           ident.Instance
		Request            ident.Request
		Input              string
		NonIdempotent      bool
		// Outcome is done, notRun, unknown, or "" while the caller waits.
		Outcome string
		Body    []byte
		Reason  string
	}

	// Submission is a caller's submission of a job and the answer to it.
	Submission struct {
		At         time.Time
		Workspace  ident.Workspace
		Request    ident.Request
		Guaranteed bool
		// Outcome is accepted, notRun or unknown.
		Outcome string
		Job     ident.Job
	}

	// VersionSample is the version of the configuration that was in force at
	// an instance at one time.
	VersionSample struct {
		At       time.Time
		Instance ident.Instance
		Version  int64
	}

	// Outage is a period in which a fault was in effect. Instance is empty if
	// the fault did not concern a single instance.
	Outage struct {
		From, To time.Time
		Fault    string
		Instance ident.Instance
	}

	// PlannedStop is a planned stop of an instance. To is the end of the
	// process, or zero if the stop has not ended, and Killed is true if the
	// process was killed during the stop.
	PlannedStop struct {
		From, To time.Time
		Instance ident.Instance
		Killed   bool
	}
)

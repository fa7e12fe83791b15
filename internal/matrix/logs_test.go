package matrix

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Logs are what the stand-ins wrote during a run.
	Logs struct {
		Begin     time.Time
		End       time.Time
		Workers   []WorkerLog
		Endpoints []fakes.Execution
		Commits   []fakes.Commit
		Answers   []Answer
		Submits   []Submit
		Versions  []Version
		Outages   []Outage
		Stops     []Stop
	}

	// WorkerLog is the log of one process of a worker.
	WorkerLog struct {
		Worker  ident.Worker
		Domain  ident.Domain
		Entries []worker.Entry
		// Killed is the instant at which the process ended, or zero.
		Killed time.Time
	}

	// Answer is what one caller asked and got.
	Answer struct {
		Asked, At     time.Time
		Instance      ident.Instance
		Request       ident.Request
		Input         string
		NonIdempotent bool
		// Outcome is done, notRun, unknown, or "" while the caller waits.
		Outcome string
		Body    []byte
		Reason  string
	}

	// Submit is what one caller submitted as a job and got.
	Submit struct {
		At         time.Time
		Workspace  ident.Workspace
		Request    ident.Request
		Guaranteed bool
		// Outcome is accepted, notRun or unknown.
		Outcome string
		Job     ident.Job
	}

	// Version tells which version an instance had in force at an instant.
	Version struct {
		At       time.Time
		Instance ident.Instance
		Version  int64
	}

	// Outage is a time in which a fault was in effect. Instance is empty if it
	// did not concern one instance.
	Outage struct {
		From, To time.Time
		Fault    string
		Instance ident.Instance
	}

	// Stop is a planned stop. To is the end of the process.
	Stop struct {
		From, To time.Time
		Instance ident.Instance
		Killed   bool
	}
)

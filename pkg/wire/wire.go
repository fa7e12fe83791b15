package wire

import (
	"fmt"
	"net/netip"
	"time"
)

type (
	// Outcome tells which of three things is true of a call.
	Outcome string

	// Duration is a duration in its text form.
	Duration time.Duration

	// Shape is the shape of a job's gang.
	Shape struct {
		Members      int    `json:"members"`
		Accelerators int    `json:"accelerators"`
		Processors   int    `json:"processors,omitempty"`
		Memory       int64  `json:"memory,omitempty"`
		Adjacency    string `json:"adjacency,omitempty"`
	}

	// Event is a decision that an instance has logged.
	Event struct {
		At       time.Time `json:"at"`
		Instance string    `json:"instance"`
		Name     string    `json:"name"`
		// Number is that of the catalogue.
		Number int `json:"number"`
		// Fields are what decided it, and the outcome.
		Fields map[string]any `json:"fields"`
	}

	// Events are the decisions about one job in the order of their times.
	Events struct {
		Events []Event `json:"events"`
	}

	// Submission asks for a job.
	Submission struct {
		RequestID  string   `json:"requestId,omitempty"`
		Shape      Shape    `json:"shape"`
		Class      string   `json:"class,omitempty"`
		Guaranteed bool     `json:"guaranteed,omitempty"`
		RunTime    Duration `json:"runTime,omitempty"`
		Payload    []byte   `json:"payload,omitempty"`
	}

	// Job is a job as its workspace sees it.
	Job struct {
		ID              string    `json:"id"`
		Workspace       string    `json:"workspace"`
		Domain          string    `json:"domain"`
		State           string    `json:"state"`
		Shape           Shape     `json:"shape"`
		Class           string    `json:"class"`
		Guaranteed      bool      `json:"guaranteed,omitempty"`
		Submitted       time.Time `json:"submitted"`
		Started         time.Time `json:"started,omitzero"`
		Ended           time.Time `json:"ended,omitzero"`
		Attempt         int       `json:"attempt"`
		CancelRequested bool      `json:"cancelRequested,omitempty"`
		Reason          string    `json:"reason,omitempty"`
		Result          []byte    `json:"result,omitempty"`
	}

	// JobList is a list of jobs.
	JobList struct {
		Jobs []Job `json:"jobs"`
	}

	// Error is the body of each response that is not the answer.
	Error struct {
		Outcome    Outcome  `json:"outcome"`
		Reason     string   `json:"reason"`
		Detail     string   `json:"detail"`
		RetryAfter Duration `json:"retryAfter,omitempty"`
	}

	// Config is the configuration in its text form with its version.
	Config struct {
		Version int64  `json:"version"`
		Text    string `json:"text"`
	}

	// ConfigChange asks to put Text in place of the version Base.
	ConfigChange struct {
		Base int64  `json:"base"`
		Text string `json:"text"`
	}

	// DomainChange asks to take a failure domain out or bring it back.
	DomainChange struct {
		InService bool `json:"inService"`
	}

	// Accepted is the version in which a change is committed.
	Accepted struct {
		Version int64 `json:"version"`
	}

	// Status is the state of the site as one instance knows it.
	Status struct {
		Instance  string     `json:"instance"`
		Version   int64      `json:"version"`
		Instances []Instance `json:"instances"`
		Domains   []Domain   `json:"domains"`
		Endpoints []Endpoint `json:"endpoints"`
	}

	// Instance is an entry instance.
	Instance struct {
		Name    string         `json:"name"`
		Domain  string         `json:"domain"`
		Region  string         `json:"region"`
		Address netip.AddrPort `json:"address"`
		Version int64          `json:"version"`
		Ready   bool           `json:"ready"`
	}

	// Domain is a failure domain with its shard.
	Domain struct {
		Name             string   `json:"name"`
		Region           string   `json:"region"`
		InService        bool     `json:"inService"`
		Owner            string   `json:"owner"`
		Epoch            int64    `json:"epoch"`
		Workers          int      `json:"workers"`
		Accelerators     int      `json:"accelerators"`
		FreeAccelerators int      `json:"freeAccelerators"`
		WaitingJobs      int      `json:"waitingJobs"`
		RunningJobs      int      `json:"runningJobs"`
		Unmet            []string `json:"unmet,omitempty"`
	}

	// Endpoint is a back end of a service.
	Endpoint struct {
		Name    string `json:"name"`
		Service string `json:"service"`
		Domain  string `json:"domain"`
		Leaving bool   `json:"leaving"`
	}

	// Explanation tells why a job waits.
	Explanation struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Reason string `json:"reason"`
	}
)

// The outcomes.
const (
	// Done means that the response is the whole answer.
	Done Outcome = "done"
	// NotRun means that the call has had no effect and will have none.
	NotRun Outcome = "notRun"
	// Unknown means that the call may have had its effect.
	Unknown Outcome = "unknown"
)

// The headers.
const (
	HeaderOutcome       = "Baobabquay-Outcome"
	HeaderRequestID     = "Baobabquay-Request-Id"
	HeaderNonIdempotent = "Baobabquay-Non-Idempotent"
	// HeaderResubmitted is true if the caller has sent the identifier before
	// and does not know what became of it.
	HeaderResubmitted = "Baobabquay-Resubmitted"
	HeaderDeadline    = "Baobabquay-Deadline"
	HeaderClass       = "Baobabquay-Class"
)

// The paths.
const (
	PathJobs     = "/v1/jobs"
	PathServices = "/v1/services"
	PathAdmin    = "/v1/admin"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
)

// MarshalText returns the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

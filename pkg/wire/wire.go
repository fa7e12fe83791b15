package wire

import (
	"fmt"
	"net/netip"
	"time"
)

type (
	// Outcome is the outcome of a call: done, not run or unknown.
	Outcome string

	// Duration is a duration that is encoded as text, such as "1m30s".
	Duration time.Duration

	// Shape is the shape of a job's gang: the number of members, the resources of
	// each member, and the adjacency of their workers. Memory is in bytes.
	Shape struct {
		Members      int    `json:"members"`
		Accelerators int    `json:"accelerators"`
		Processors   int    `json:"processors,omitempty"`
		Memory       int64  `json:"memory,omitempty"`
		Adjacency    string `json:"adjacency,omitempty"`
	}

	// Event is a logged decision of an instance.
	Event struct {
		At       time.Time `json:"at"`
		Instance string    `json:"instance"`
		Name     string    `json:"name"`
		// Number identifies the kind of event in the catalogue of events.
		Number int `json:"number"`
		// Fields holds the inputs of the decision and its outcome.
		Fields map[string]any `json:"fields"`
	}

	// Events holds the decisions about one job in order of time.
	Events struct {
		Events []Event `json:"events"`
	}

	// Submission is the request to create a job.
	Submission struct {
		RequestID  string   `json:"requestId,omitempty"`
		Shape      Shape    `json:"shape"`
		Class      string   `json:"class,omitempty"`
		Guaranteed bool     `json:"guaranteed,omitempty"`
		RunTime    Duration `json:"runTime,omitempty"`
		Payload    []byte   `json:"payload,omitempty"`
	}

	// Job is a job as reported to its workspace.
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

	// Error is the body of each response with an outcome other than done.
	Error struct {
		Outcome    Outcome  `json:"outcome"`
		Reason     string   `json:"reason"`
		Detail     string   `json:"detail"`
		RetryAfter Duration `json:"retryAfter,omitempty"`
	}

	// Config is a configuration in text form and its version.
	Config struct {
		Version int64  `json:"version"`
		Text    string `json:"text"`
	}

	// ConfigChange is the request to replace the version Base of the
	// configuration by Text.
	ConfigChange struct {
		Base int64  `json:"base"`
		Text string `json:"text"`
	}

	// DomainChange is the request to take a failure domain out of service or to
	// bring it back.
	DomainChange struct {
		InService bool `json:"inService"`
	}

	// Accepted holds the version of the configuration that a change committed.
	Accepted struct {
		Version int64 `json:"version"`
	}

	// Status is the state of the site as known to one instance.
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

	// Domain is a failure domain and the state of its shard.
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

	// Endpoint is an endpoint of a service. Leaving is true if the platform's
	// list shows that it is about to stop.
	Endpoint struct {
		Name    string `json:"name"`
		Service string `json:"service"`
		Domain  string `json:"domain"`
		Leaving bool   `json:"leaving"`
	}

	// Explanation is the state of a job and the reason for this state.
	Explanation struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Reason string `json:"reason"`
	}
)

// The outcomes.
const (
	// Done means that the response is the complete result of the call.
	Done Outcome = "done"
	// NotRun means that the call had no effect and will not have any.
	NotRun Outcome = "notRun"
	// Unknown means that the call may have taken effect.
	Unknown Outcome = "unknown"
)

// The headers.
const (
	HeaderOutcome       = "Baobabquay-Outcome"
	HeaderRequestID     = "Baobabquay-Request-Id"
	HeaderNonIdempotent = "Baobabquay-Non-Idempotent"
	// HeaderResubmitted is true if the caller has already sent a request with
	// the same identifier and does not know its outcome.
	HeaderResubmitted = "Baobabquay-Resubmitted"
	// HeaderDeadline is the time allowed for the request, as a duration.
	HeaderDeadline = "Baobabquay-Deadline"
	HeaderClass    = "Baobabquay-Class"
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

// MarshalText formats d like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

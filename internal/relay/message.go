package relay

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/pkg/errors"
)

type (
	// Outcome tells what is known about the run of a request.
	Outcome int

	// Reason tells why a request has its outcome.
	Reason string

	// Request is what a caller submits.
	Request struct {
		Workspace     ident.Workspace
		ID            ident.Request
		Service       ident.Service
		NonIdempotent bool
		// Resubmitted tells that the caller has sent the identifier before and
		// does not know what became of it. Without a claim of its own, this
		// instance then never says that the request was not run.
		Resubmitted bool
		Class       jobs.Class
		// Deadline ends the request. If it is zero the service's timeout applies.
		Deadline    time.Time
		Region      ident.Region
		Body        []byte
		ContentType string
	}

	// Answer is what the caller gets. Its body is shared with other callers and
	// must not be changed.
	Answer struct {
		Outcome     Outcome
		Status      int
		ContentType string
		Body        []byte
		Reason      Reason
		Detail      string
		// RetryAfter is a hint for a request that was not run, or zero.
		RetryAfter time.Duration
		// Holder is set in answers of Resolve with the reason ReasonGivenUp:
		// the instance to ask instead.
		Holder ident.Instance
		// Remaining is set in the answer NotRun of Resolve: the time for which
		// the claim that is handed over may be used.
		Remaining time.Duration
	}

	// Attempt is one try to have an endpoint run a request.
	Attempt struct {
		Workspace   ident.Workspace
		ID          ident.Request
		Service     ident.Service
		Number      int
		Class       jobs.Class
		Deadline    time.Time
		Body        []byte
		ContentType string
	}

	// Reply is what an endpoint answered.
	Reply struct {
		// ID and Attempt are echoed by the endpoint.
		ID      ident.Request
		Attempt int
		// Complete is true if the whole body arrived.
		Complete bool
		// Leaving is the endpoint's word that it takes no more work.
		Leaving     bool
		Status      int
		ContentType string
		Body        []byte
	}

	// RefusedError means that the endpoint itself refused the attempt and did
	// not run it.
	RefusedError struct {
		Leaving    bool
		RetryAfter time.Duration
	}

	// refusal ends the chain with an answer other than Done.
	refusal struct {
		answer Answer
	}
)

// The outcomes. The zero value is the cautious one.
const (
	Unknown Outcome = iota
	Done
	NotRun
)

// The reasons.
const (
	ReasonNone            Reason = ""
	ReasonInvalid         Reason = "invalid"
	ReasonNoService       Reason = "noService"
	ReasonForbidden       Reason = "forbidden"
	ReasonTooLarge        Reason = "tooLarge"
	ReasonDeadline        Reason = "deadline"
	ReasonOverload        Reason = "overload"
	ReasonLinkBusy        Reason = "linkBusy"
	ReasonNoEndpoint      Reason = "noEndpoint"
	ReasonStoreDown       Reason = "storeDown"
	ReasonStopping        Reason = "stopping"
	ReasonRefused         Reason = "endpointRefused"
	ReasonNotSent         Reason = "notSent"
	ReasonAnswerLost      Reason = "answerLost"
	ReasonAnswerTooLarge  Reason = "answerTooLarge"
	ReasonCallerGone      Reason = "callerGone"
	ReasonIDReused        Reason = "idReused"
	ReasonClaimUnresolved Reason = "claimUnresolved"
	ReasonClaimantGone    Reason = "claimantGone"
	ReasonForgotten       Reason = "forgotten"
	ReasonGivenUp         Reason = "claimGivenUp"
)

var (
	outcomeNames = [...]string{"unknown", "done", "notRun"}

	// ErrNotSent is wrapped by errors of Send if no byte of the request was
	// written to the endpoint.
	ErrNotSent = errors.New("request not sent")
	// errReply means that a reply is not the whole answer to its attempt.
	errReply = errors.New("reply does not match the attempt or is incomplete")
)

// String returns the name used in messages.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return outcomeNames[Unknown]
	}
	return outcomeNames[o]
}

// Error tells that the endpoint refused the request.
func (e *RefusedError) Error() string {
	if e.Leaving {
		return "endpoint is leaving and refused the request"
	}
	return "endpoint refused the request"
}

// Error returns the outcome, reason and detail.
func (e *refusal) Error() string {
	return e.answer.Outcome.String() + ": " + string(e.answer.Reason) + ": " + e.answer.Detail
}

func refuse(o Outcome, r Reason, detail string) error {
	return &refusal{answer: Answer{Outcome: o, Reason: r, Detail: detail}}
}

func refuseFor(o Outcome, r Reason, detail string, after time.Duration) error {
	return &refusal{answer: Answer{Outcome: o, Reason: r, Detail: detail, RetryAfter: after}}
}

// MatchesEcho reports whether the reply is the whole answer to the attempt.
func MatchesEcho(a Attempt, r Reply) bool {
	return r.Complete && r.ID == a.ID && r.Attempt == a.Number
}

// ProvesNotRun reports whether an error of Send proves that the endpoint did
// not run the request.
func ProvesNotRun(err error) bool {
	var refused *RefusedError
	return errors.Is(err, ErrNotSent) || errors.As(err, &refused)
}

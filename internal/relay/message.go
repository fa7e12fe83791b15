package relay

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/pkg/errors"
)

type (
	// Outcome is what is known about whether a request has run.
	Outcome int

	// Reason is the cause of an outcome other than Done.
	Reason string

	// Request is what a caller submits.
	Request struct {
		Workspace     ident.Workspace
		ID            ident.Request
		Service       ident.Service
		NonIdempotent bool
		// Resubmitted is true if the caller submitted the identifier before and
		// does not know the outcome. This instance then answers NotRun to a
		// non-idempotent request only if it holds the claim.
		Resubmitted bool
		Class       jobs.Class
		// Deadline ends the request. If it is zero the service's timeout applies.
		Deadline    time.Time
		Region      ident.Region
		Body        []byte
		ContentType string
	}

	// Answer is the answer to a request. Its body is shared with other callers
	// and must not be modified.
	Answer struct {
		Outcome     Outcome
		Status      int
		ContentType string
		Body        []byte
		Reason      Reason
		Detail      string
		// RetryAfter is a hint when to retry a request that was not run, or
		// zero.
		RetryAfter time.Duration
		// Holder is the instance that the claim was handed over to, which is to
		// be asked instead. It is set only in answers of Resolve with the
		// reason ReasonGivenUp, and is empty if the name is not known.
		Holder ident.Instance
		// Remaining is the time for which a claim that is handed over may still
		// be used. It is set only in the answer NotRun of Resolve.
		Remaining time.Duration
	}

	// Attempt is one transmission of a request to an endpoint.
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

	// Reply is the response of an endpoint to an attempt.
	Reply struct {
		// ID and Attempt are the request's identifier and the number of the
		// attempt, as echoed by the endpoint.
		ID      ident.Request
		Attempt int
		// Complete is true if the whole body arrived.
		Complete bool
		// Leaving is true if the endpoint announced that it accepts no more
		// requests.
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

	// outcomeError ends a chain with an answer whose outcome is not Done.
	outcomeError struct {
		answer Answer
	}
)

// The outcomes. The zero value is Unknown, which is always safe to return.
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
	// errReplyMismatch means that a reply is not the complete answer to its
	// attempt.
	errReplyMismatch = errors.New("reply does not match the attempt or is incomplete")
)

// String returns the name used in messages.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return outcomeNames[Unknown]
	}
	return outcomeNames[o]
}

// Error returns a message that says whether the endpoint is leaving.
func (e *RefusedError) Error() string {
	if e.Leaving {
		return "endpoint is leaving and refused the request"
	}
	return "endpoint refused the request"
}

// Error returns the outcome, reason and detail.
func (e *outcomeError) Error() string {
	return e.answer.Outcome.String() + ": " + string(e.answer.Reason) + ": " + e.answer.Detail
}

func newOutcomeError(o Outcome, r Reason, detail string) error {
	return &outcomeError{answer: Answer{Outcome: o, Reason: r, Detail: detail}}
}

// newRetryableError returns an outcomeError with a hint when to retry.
func newRetryableError(o Outcome, r Reason, detail string, retryAfter time.Duration) error {
	return &outcomeError{answer: Answer{Outcome: o, Reason: r, Detail: detail, RetryAfter: retryAfter}}
}

// MatchesEcho reports whether the reply is complete and echoes the identifier
// and number of the attempt.
func MatchesEcho(a Attempt, r Reply) bool {
	return r.Complete && r.ID == a.ID && r.Attempt == a.Number
}

// ProvesNotRun reports whether an error of Send proves that the endpoint did
// not run the request.
func ProvesNotRun(err error) bool {
	var refused *RefusedError
	return errors.Is(err, ErrNotSent) || errors.As(err, &refused)
}

package intake

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// Outcome is the known effect of a call that did not succeed.
	Outcome string

	// Reason is the machine-readable cause of a refusal.
	Reason string

	// Refusal is the error of a call that did not succeed.
	Refusal struct {
		Outcome    Outcome
		Reason     Reason
		Detail     string
		RetryAfter time.Duration
		Err        error
	}
)

// The outcomes.
const (
	// NotRun means that the call has no effect and will have none.
	NotRun Outcome = "notRun"
	// Unknown means that the call may have taken effect.
	Unknown Outcome = "unknown"
)

// The reasons.
const (
	ReasonInvalid   Reason = "invalid"
	ReasonNeverFits Reason = "neverFits"
	ReasonNoDomain  Reason = "noDomainInService"
	ReasonQueueFull Reason = "queueFull"
	ReasonStore     Reason = "storeUnavailable"
	ReasonLost      Reason = "storeAnswerLost"
	ReasonUnread    Reason = "jobUnread"
	ReasonReused    Reason = "requestIdReused"
	ReasonCancelled Reason = "cancelledBefore"
	ReasonNotFound  Reason = "notFound"
	ReasonEnded     Reason = "alreadyEnded"
)

// defaultRetryAfter is the time after which a caller may try again when the
// store does not answer, no domain is in service or the queue is full.
const defaultRetryAfter = 2 * time.Second

// ErrNotFound means that the workspace has no such job. A Refusal wraps it.
var ErrNotFound = errors.New("no such job")

// Error returns the reason, the outcome, the detail and the cause.
func (r *Refusal) Error() string {
	if r.Err == nil {
		return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
	}
	return fmt.Sprintf("%s (%s): %s: %v", r.Reason, r.Outcome, r.Detail, r.Err)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// refuse returns a refusal with the outcome NotRun.
func refuse(reason Reason, err error, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...), Err: err}
}

// storeRefusal returns the refusal for an error of the store. The outcome is
// Unknown if the answer to a write was lost.
func storeRefusal(operation string, err error) *Refusal {
	if errors.Is(err, store.ErrUncertain) {
		return &Refusal{
			Outcome: Unknown, Reason: ReasonLost, RetryAfter: defaultRetryAfter, Err: err,
			Detail: "the answer of the store was lost; try again with the same request identifier",
		}
	}
	r := refuse(ReasonStore, err, "%s: the table service does not answer", operation)
	r.RetryAfter = defaultRetryAfter
	return r
}

package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// Reasons of refusals by the front end itself.
const (
	reasonKey      = "wrongKey"
	reasonPath     = "noSuchPath"
	reasonBody     = "malformedBody"
	reasonTooLarge = "bodyTooLarge"
	reasonHeader   = "malformedHeader"
	reasonConflict = "versionConflict"
	reasonConfig   = "invalidConfiguration"
	reasonInternal = "internal"
)

// writeJSON writes v as the response to a completed call.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeError(w, http.StatusInternalServerError, wire.Error{
			Outcome: wire.Unknown, Reason: reasonInternal, Detail: "cannot encode the response",
		})
		return
	}
	writeResponse(w, status, wire.Done, "application/json", body)
}

func writeError(w http.ResponseWriter, status int, e wire.Error) {
	if e.RetryAfter > 0 {
		seconds := int64((time.Duration(e.RetryAfter) + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body, err := json.Marshal(e)
	if err != nil {
		body = nil
	}
	writeResponse(w, status, e.Outcome, "application/json", body)
}

func writeText(w http.ResponseWriter, status int, text string) {
	writeResponse(w, status, wire.Done, "text/plain; charset=utf-8", []byte(text))
}

// writeResponse sends a response with its length, so that a caller can
// distinguish a truncated response from a complete one.
func writeResponse(w http.ResponseWriter, status int, o wire.Outcome, contentType string, body []byte) {
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(o))
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write error means that the caller has disconnected, so it cannot be
	// reported to it.
	_, _ = w.Write(body)
}

// writeRefusal writes an error of package intake.
func writeRefusal(w http.ResponseWriter, err error) {
	var r *intake.Refusal
	if !errors.As(err, &r) {
		writeError(w, http.StatusInternalServerError, wire.Error{
			Outcome: wire.Unknown, Reason: reasonInternal, Detail: err.Error(),
		})
		return
	}
	writeError(w, refusalStatus(r), wire.Error{
		Outcome: wire.Outcome(r.Outcome), Reason: string(r.Reason), Detail: refusalDetail(r),
		RetryAfter: wire.Duration(r.RetryAfter),
	})
}

func refusalDetail(r *intake.Refusal) string {
	if r.Err == nil {
		return r.Detail
	}
	return r.Detail + ": " + r.Err.Error()
}

func refusalStatus(r *intake.Refusal) int {
	switch r.Reason {
	case intake.ReasonInvalid:
		return http.StatusBadRequest
	case intake.ReasonNeverFits:
		return http.StatusUnprocessableEntity
	case intake.ReasonQueueFull:
		return http.StatusTooManyRequests
	case intake.ReasonNotFound:
		return http.StatusNotFound
	case intake.ReasonReused, intake.ReasonCancelled, intake.ReasonEnded:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// readBody reads a body of at most limit bytes. If the body is too large or
// incomplete, it writes the refusal and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, wire.Error{
			Outcome: wire.NotRun, Reason: reasonTooLarge,
			Detail: "the request body exceeds " + strconv.FormatInt(limit, 10) + " bytes",
		})
		return nil, false
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.Error{
			Outcome: wire.NotRun, Reason: reasonBody, Detail: "the request body is incomplete: " + err.Error(),
		})
		return nil, false
	}
	return body, true
}

// readJSON decodes a body into v. If that fails, it writes the refusal and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	body, ok := readBody(w, r, limit)
	if !ok {
		return false
	}
	if err := decodeStrict(body, v); err != nil {
		writeError(w, http.StatusBadRequest, wire.Error{
			Outcome: wire.NotRun, Reason: reasonBody, Detail: err.Error(),
		})
		return false
	}
	return true
}

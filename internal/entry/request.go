package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

var (
	errDeadlineNotPositive = errors.New("the deadline must be a positive duration")
	errRepeatedHeader      = errors.New("the header is given more than once")

	// requestHeaders are the headers that a request may have at most once.
	requestHeaders = []string{
		wire.HeaderRequestID, wire.HeaderNonIdempotent, wire.HeaderDeadline, wire.HeaderClass,
	}
)

// sendRequest sends the body to the service and responds with its complete
// answer.
func (f *frontEnd) sendRequest(w http.ResponseWriter, r *http.Request, ws config.Workspace) {
	body, ok := readBody(w, r, int64(f.deps.Config().Limits.MaxBody))
	if !ok {
		return
	}
	req, err := parseRequest(r, time.Now())
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.Error{
			Outcome: wire.NotRun, Reason: reasonHeader, Detail: err.Error(),
		})
		return
	}
	req.Workspace, req.Region, req.Body = ws.Name, f.deps.Region, body
	w.Header().Set(wire.HeaderRequestID, string(req.ID))
	writeAnswer(w, f.deps.Relay(r.Context(), req))
}

// parseRequest decodes the path and the headers of a request to a service. A
// request without an identifier gets a random one.
func parseRequest(r *http.Request, now time.Time) (relay.Request, error) {
	h := r.Header
	for _, name := range requestHeaders {
		if len(h.Values(name)) > 1 {
			return relay.Request{}, fmt.Errorf("header %s: %w", name, errRepeatedHeader)
		}
	}
	req := relay.Request{
		ID:          ident.Request(h.Get(wire.HeaderRequestID)),
		Service:     ident.Service(mux.Vars(r)["service"]),
		ContentType: h.Get("Content-Type"),
	}
	if req.ID == "" {
		req.ID = ident.Request(uuid.NewString())
	}
	var err error
	if req.NonIdempotent, err = parseBoolHeader(h, wire.HeaderNonIdempotent); err != nil {
		return req, err
	}
	if req.Resubmitted, err = parseBoolHeader(h, wire.HeaderResubmitted); err != nil {
		return req, err
	}
	if text := h.Get(wire.HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return req, fmt.Errorf("header %s: %w", wire.HeaderDeadline, err)
		}
		if d <= 0 {
			return req, fmt.Errorf("header %s: %w", wire.HeaderDeadline, errDeadlineNotPositive)
		}
		req.Deadline = now.Add(d)
	}
	if req.Class, err = jobs.ParseClass(h.Get(wire.HeaderClass)); err != nil {
		return req, fmt.Errorf("header %s: %w", wire.HeaderClass, err)
	}
	return req, nil
}

func parseBoolHeader(h http.Header, name string) (bool, error) {
	text := h.Get(name)
	if text == "" {
		return false, nil
	}
	b, err := strconv.ParseBool(text)
	if err != nil {
		return false, fmt.Errorf("header %s: %w", name, err)
	}
	return b, nil
}

func writeAnswer(w http.ResponseWriter, a relay.Answer) {
	if a.Outcome == relay.Done {
		writeResponse(w, a.Status, wire.Done, a.ContentType, a.Body)
		return
	}
	writeError(w, answerStatus(a), wire.Error{
		Outcome: wire.Outcome(a.Outcome.String()), Reason: string(a.Reason), Detail: a.Detail,
		RetryAfter: wire.Duration(a.RetryAfter),
	})
}

func answerStatus(a relay.Answer) int {
	switch a.Reason {
	case relay.ReasonInvalid:
		return http.StatusBadRequest
	case relay.ReasonNoService:
		return http.StatusNotFound
	case relay.ReasonForbidden:
		return http.StatusForbidden
	case relay.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case relay.ReasonIDReused:
		return http.StatusConflict
	case relay.ReasonOverload, relay.ReasonLinkBusy:
		return http.StatusTooManyRequests
	case relay.ReasonAnswerTooLarge, relay.ReasonAnswerLost:
		return http.StatusBadGateway
	case relay.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

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
	errDeadline = errors.New("the deadline must be a positive duration")
	errRepeated = errors.New("the header stands more than once")

	// requestHeaders are the headers of which a request may have one.
	requestHeaders = []string{
		wire.HeaderRequestID, wire.HeaderNonIdempotent, wire.HeaderDeadline, wire.HeaderClass,
	}
)

// request sends the body to the service and returns its whole answer.
func (f *front) request(w http.ResponseWriter, r *http.Request, ws config.Workspace) {
	body, ok := readBody(w, r, int64(f.deps.Config().Limits.MaxBody))
	if !ok {
		return
	}
	req, err := requestOf(r, time.Now())
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

func requestOf(r *http.Request, now time.Time) (relay.Request, error) {
	h := r.Header
	for _, name := range requestHeaders {
		if len(h.Values(name)) > 1 {
			return relay.Request{}, fmt.Errorf("header %s: %w", name, errRepeated)
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
	if req.NonIdempotent, err = boolHeader(h, wire.HeaderNonIdempotent); err != nil {
		return req, err
	}
	if req.Resubmitted, err = boolHeader(h, wire.HeaderResubmitted); err != nil {
		return req, err
	}
	if text := h.Get(wire.HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return req, fmt.Errorf("header %s: %w", wire.HeaderDeadline, err)
		}
		if d <= 0 {
			return req, fmt.Errorf("header %s: %w", wire.HeaderDeadline, errDeadline)
		}
		req.Deadline = now.Add(d)
	}
	if req.Class, err = jobs.ParseClass(h.Get(wire.HeaderClass)); err != nil {
		return req, fmt.Errorf("header %s: %w", wire.HeaderClass, err)
	}
	return req, nil
}

func boolHeader(h http.Header, name string) (bool, error) {
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
		write(w, a.Status, wire.Done, a.ContentType, a.Body)
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

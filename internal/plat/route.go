package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/pkg/errors"
)

// Route is one call on the server side.
type Route struct {
	Method string
	Path   string
	Serve  http.HandlerFunc
}

// route returns the server side of a call made with the function call.
func route[In, Out any](path string, do func(context.Context, In) (Out, error)) Route {
	return Route{Method: http.MethodPost, Path: path, Serve: func(w http.ResponseWriter, r *http.Request) {
		var in In
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
		if err == nil {
			err = json.Unmarshal(body, &in)
		}
		if err != nil {
			writeJSON(w, http.StatusBadRequest, failure{Error: kindBadRequest, Detail: err.Error()})
			return
		}
		out, err := do(r.Context(), in)
		if err != nil {
			writeFailure(w, err)
			return
		}
		writeJSON(w, http.StatusOK, out)
	}}
}

// writeFailure answers with err. An error that stands for a lost answer closes
// the connection without one.
func writeFailure(w http.ResponseWriter, err error) {
	var (
		conflict *store.ConflictError
		refused  *worker.RefusedError
		detail   = err.Error()
	)
	switch {
	case errors.Is(err, store.ErrUncertain), errors.Is(err, worker.ErrUnreachable):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotFound):
		writeJSON(w, http.StatusNotFound, failure{Error: kindNotFound, Detail: detail})
	case errors.Is(err, store.ErrUnavailable):
		writeJSON(w, http.StatusServiceUnavailable, failure{Error: kindUnavailable, Detail: detail})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, failure{Error: kindConflict, Keys: conflict.Keys})
	case errors.As(err, &refused):
		writeJSON(w, http.StatusConflict, failure{
			Error: kindRefused, Reason: string(refused.Reason), Detail: refused.Detail,
		})
	case errors.Is(err, ErrProtocol):
		writeJSON(w, http.StatusBadRequest, failure{Error: kindBadRequest, Detail: detail})
	default:
		writeJSON(w, http.StatusInternalServerError, failure{Error: kindInternal, Detail: detail})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("plat: encode answer: %v", err))
	}
	w.Header().Set("Content-Type", jsonType)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	// A failed write shows at the client as a cut answer.
	_, _ = w.Write(body)
}

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

// Route is an HTTP method and path with the handler that serves them.
type Route struct {
	Method string
	Path   string
	Serve  http.HandlerFunc
}

// route returns the route that serves the calls of the function call with the same
// path and message types.
func route[In, Out any](path string, handle func(context.Context, In) (Out, error)) Route {
	return Route{Method: http.MethodPost, Path: path, Serve: func(w http.ResponseWriter, r *http.Request) {
		var in In
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err == nil {
			err = json.Unmarshal(body, &in)
		}
		if err != nil {
			writeJSON(w, http.StatusBadRequest, errorBody{Error: codeBadRequest, Detail: err.Error()})
			return
		}
		out, err := handle(r.Context(), in)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, out)
	}}
}

// writeError answers with the status and the body for err. For
// store.ErrUncertain and worker.ErrUnreachable, which stand for a lost answer, it
// closes the connection without an answer.
func writeError(w http.ResponseWriter, err error) {
	var (
		conflict *store.ConflictError
		refused  *worker.RefusedError
		detail   = err.Error()
	)
	switch {
	case errors.Is(err, store.ErrUncertain), errors.Is(err, worker.ErrUnreachable):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotFound):
		writeJSON(w, http.StatusNotFound, errorBody{Error: codeNotFound, Detail: detail})
	case errors.Is(err, store.ErrUnavailable):
		writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: codeUnavailable, Detail: detail})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, errorBody{Error: codeConflict, Keys: conflict.Keys})
	case errors.As(err, &refused):
		writeJSON(w, http.StatusConflict, errorBody{
			Error: codeRefused, Reason: string(refused.Reason), Detail: refused.Detail,
		})
	case errors.Is(err, ErrProtocol):
		writeJSON(w, http.StatusBadRequest, errorBody{Error: codeBadRequest, Detail: detail})
	default:
		writeJSON(w, http.StatusInternalServerError, errorBody{Error: codeInternal, Detail: detail})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("plat: encode answer: %v", err))
	}
	w.Header().Set("Content-Type", jsonContentType)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	// After a failed write, the client receives fewer bytes than Content-Length.
	_, _ = w.Write(body)
}

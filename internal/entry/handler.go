package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/gorilla/mux"
)

type (
	// Deps are the dependencies of the front end.
	Deps struct {
		// Config returns the configuration in force.
		Config func() *config.Config
		Jobs   *intake.Intake
		// Relay sends a request to a service and returns the answer.
		Relay func(ctx context.Context, r relay.Request) relay.Answer
		// Region is the region of this instance's callers.
		Region ident.Region
		// Ready reports whether the load balancer may send work here.
		Ready func() bool
		// Metrics writes the metrics in the Prometheus format. It may be nil.
		Metrics func(w http.ResponseWriter)
		Admin   Admin
		Log     event.Log
	}

	// Admin are the functions behind the calls of operators.
	Admin struct {
		// Render returns the text of a configuration.
		Render func(c *config.Config) string
		// Parse returns the configuration described by a text.
		Parse func(text string) (*config.Config, error)
		// Apply commits a configuration as the successor of version base.
		Apply func(ctx context.Context, base int64, c *config.Config) (*config.Config, error)
		// SetDomain takes a failure domain out of service or brings it back.
		// The error wraps ErrNoDomain if there is no such domain.
		SetDomain func(ctx context.Context, d ident.Domain, inService bool) (*config.Config, error)
		Status    func() wire.Status
		// Explain returns one line that says what a job is doing or waiting for.
		Explain func(j jobs.Job) string
	}

	// frontEnd has the handlers as methods.
	frontEnd struct {
		deps Deps
	}

	// workspaceHandler handles a call of an authenticated workspace.
	workspaceHandler func(w http.ResponseWriter, r *http.Request, ws config.Workspace)
)

// maxWait bounds the time that a call may wait for a job to end.
const maxWait = time.Minute

// NewHandler returns the handler of all paths.
func NewHandler(d Deps) http.Handler {
	f := &frontEnd{deps: d}
	// A path that is not clean is refused with 404. The router would otherwise
	// redirect it with a response that has no outcome header.
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc(wire.PathJobs, f.withWorkspace(f.submitJob)).Methods(http.MethodPost)
	r.HandleFunc(wire.PathJobs, f.withWorkspace(f.listJobs)).Methods(http.MethodGet)
	r.HandleFunc(wire.PathJobs+"/{id}", f.withWorkspace(f.readJob)).Methods(http.MethodGet)
	r.HandleFunc(wire.PathJobs+"/{id}", f.withWorkspace(f.cancelJob)).Methods(http.MethodDelete)
	r.HandleFunc(wire.PathServices+"/{service}/requests", f.withWorkspace(f.sendRequest)).Methods(http.MethodPost)
	f.addAdminRoutes(r.PathPrefix(wire.PathAdmin).Subrouter())
	r.HandleFunc(wire.PathHealth, f.health).Methods(http.MethodGet)
	r.HandleFunc(wire.PathReady, f.ready).Methods(http.MethodGet)
	r.HandleFunc(wire.PathMetrics, f.metrics).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(f.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(f.notFound)
	return r
}

// withWorkspace authenticates the caller's workspace by its key.
func (f *frontEnd) withWorkspace(h workspaceHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ws, ok := f.deps.Config().WorkspaceOfKey(bearerKey(r))
		if !ok {
			writeError(w, http.StatusUnauthorized, wire.Error{
				Outcome: wire.NotRun, Reason: reasonKey, Detail: "the key belongs to no workspace",
			})
			return
		}
		h(w, r, ws)
	}
}

func (f *frontEnd) health(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

func (f *frontEnd) ready(w http.ResponseWriter, _ *http.Request) {
	if !f.deps.Ready() {
		writeText(w, http.StatusServiceUnavailable, "not ready\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func (f *frontEnd) metrics(w http.ResponseWriter, _ *http.Request) {
	if f.deps.Metrics != nil {
		f.deps.Metrics(w)
	}
}

func (f *frontEnd) notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, wire.Error{
		Outcome: wire.NotRun, Reason: reasonPath, Detail: "no such path or method: " + r.Method + " " + r.URL.Path,
	})
}

// bearerKey returns the bearer token of the call, or "" if it has none.
func bearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

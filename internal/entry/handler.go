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
	// Deps are the calls that the front end makes.
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
		// Metrics writes the metrics.
		Metrics func(w http.ResponseWriter)
		Admin   Admin
		Log     event.Log
	}

	// Admin are the calls of operators.
	Admin struct {
		// Render returns a configuration as text.
		Render func(c *config.Config) string
		// Parse returns the configuration of a text.
		Parse func(text string) (*config.Config, error)
		// Apply commits a configuration in place of the version base.
		Apply func(ctx context.Context, base int64, c *config.Config) (*config.Config, error)
		// SetDomain takes a failure domain out of service or brings it back.
		// The error wraps ErrNoDomain if there is no such domain.
		SetDomain func(ctx context.Context, d ident.Domain, inService bool) (*config.Config, error)
		Status    func() wire.Status
		// Explain returns why a job that has not ended waits.
		Explain func(j jobs.Job) string
	}

	// front holds the handlers.
	front struct {
		deps Deps
	}

	// workspaceHandler handles a call of an identified workspace.
	workspaceHandler func(w http.ResponseWriter, r *http.Request, ws config.Workspace)
)

// maxWait bounds the time for which a call may wait for the end of a job.
const maxWait = time.Minute

// NewHandler returns the handler of all paths.
func NewHandler(d Deps) http.Handler {
	f := &front{deps: d}
	// A path that is not clean is refused. The router would redirect it, in a
	// response without an outcome.
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc(wire.PathJobs, f.workspace(f.submit)).Methods(http.MethodPost)
	r.HandleFunc(wire.PathJobs, f.workspace(f.list)).Methods(http.MethodGet)
	r.HandleFunc(wire.PathJobs+"/{id}", f.workspace(f.read)).Methods(http.MethodGet)
	r.HandleFunc(wire.PathJobs+"/{id}", f.workspace(f.cancel)).Methods(http.MethodDelete)
	r.HandleFunc(wire.PathServices+"/{service}/requests", f.workspace(f.request)).Methods(http.MethodPost)
	f.addAdmin(r.PathPrefix(wire.PathAdmin).Subrouter())
	r.HandleFunc(wire.PathHealth, f.health).Methods(http.MethodGet)
	r.HandleFunc(wire.PathReady, f.ready).Methods(http.MethodGet)
	r.HandleFunc(wire.PathMetrics, f.metrics).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(f.noPath)
	r.MethodNotAllowedHandler = http.HandlerFunc(f.noPath)
	return r
}

// workspace identifies the caller's workspace by its key.
func (f *front) workspace(h workspaceHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ws, ok := f.deps.Config().WorkspaceOfKey(bearer(r))
		if !ok {
			writeError(w, http.StatusUnauthorized, wire.Error{
				Outcome: wire.NotRun, Reason: reasonKey, Detail: "the key belongs to no workspace",
			})
			return
		}
		h(w, r, ws)
	}
}

func (f *front) health(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

func (f *front) ready(w http.ResponseWriter, _ *http.Request) {
	if !f.deps.Ready() {
		writeText(w, http.StatusServiceUnavailable, "not ready\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func (f *front) metrics(w http.ResponseWriter, _ *http.Request) {
	if f.deps.Metrics != nil {
		f.deps.Metrics(w)
	}
}

func (f *front) noPath(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, wire.Error{
		Outcome: wire.NotRun, Reason: reasonPath, Detail: "no such path or method: " + r.Method + " " + r.URL.Path,
	})
}

// bearer returns the key of the call, or "" if it has none.
func bearer(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

package entry

import (
	"net/http"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// domainChange decodes wire.DomainChange. The pointer distinguishes a missing
// value from false, because a body without the value must not take the domain
// out of service.
type domainChange struct {
	InService *bool `json:"inService"`
}

// maxConfigBytes bounds the body of a configuration change. 250 workspaces with
// their guarantees take less than 200 KB.
const maxConfigBytes = 4 << 20

// ErrNoDomain is wrapped by the error of Admin.SetDomain if the configuration
// has no such failure domain.
var ErrNoDomain = errors.New("no such failure domain")

func (f *frontEnd) addAdminRoutes(r *mux.Router) {
	r.HandleFunc("/config", f.withOperatorOrBootstrap(f.showConfig)).Methods(http.MethodGet)
	r.HandleFunc("/config", f.withOperatorOrBootstrap(f.applyConfig)).Methods(http.MethodPut)
	r.HandleFunc("/domains/{name}", f.withOperator(f.setDomain)).Methods(http.MethodPut)
	r.HandleFunc("/status", f.withOperator(f.status)).Methods(http.MethodGet)
	r.HandleFunc("/jobs/{workspace}", f.withOperator(f.listWorkspaceJobs)).Methods(http.MethodGet)
	r.HandleFunc("/explain/{workspace}/{id}", f.withOperator(f.explainJob)).Methods(http.MethodGet)
}

// withOperator authenticates an operator by its key.
func (f *frontEnd) withOperator(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := f.deps.Config().OperatorOfKey(bearerKey(r)); !ok {
			refuseOperator(w, "the key belongs to no operator")
			return
		}
		h(w, r)
	}
}

// withOperatorOrBootstrap authenticates an operator by its key, except while no
// configuration is in force at this instance: any caller may then read the
// empty configuration and apply the first one. The site may already have a
// configuration that this instance has not learned, so applyConfig accepts only
// base 0 from a caller without an operator's key, and the store refuses base 0
// if a configuration exists.
func (f *frontEnd) withOperatorOrBootstrap(h http.HandlerFunc) http.HandlerFunc {
	asOperator := f.withOperator(h)
	return func(w http.ResponseWriter, r *http.Request) {
		if f.deps.Config().Version == 0 {
			h(w, r)
			return
		}
		asOperator(w, r)
	}
}

func refuseOperator(w http.ResponseWriter, detail string) {
	writeError(w, http.StatusUnauthorized, wire.Error{Outcome: wire.NotRun, Reason: reasonKey, Detail: detail})
}

func (f *frontEnd) showConfig(w http.ResponseWriter, _ *http.Request) {
	c := f.deps.Config()
	writeJSON(w, http.StatusOK, wire.Config{Version: c.Version, Text: f.deps.Admin.Render(c)})
}

func (f *frontEnd) applyConfig(w http.ResponseWriter, r *http.Request) {
	var change wire.ConfigChange
	if !readJSON(w, r, maxConfigBytes, &change) {
		return
	}
	// Without an operator's key only base 0 is accepted, even if a
	// configuration has come into force since withOperatorOrBootstrap checked.
	if _, ok := f.deps.Config().OperatorOfKey(bearerKey(r)); !ok && change.Base != 0 {
		refuseOperator(w,
			"no configuration is in force at this instance yet; without an operator's key only the first one, with base 0, can be applied")
		return
	}
	next, err := f.deps.Admin.Parse(change.Text)
	if err != nil {
		f.logRefusedChange(r, reasonConfig, err)
		writeError(w, http.StatusUnprocessableEntity, wire.Error{
			Outcome: wire.NotRun, Reason: reasonConfig, Detail: err.Error(),
		})
		return
	}
	accepted, err := f.deps.Admin.Apply(r.Context(), change.Base, next)
	f.writeChangeResult(w, r, accepted, err)
}

func (f *frontEnd) setDomain(w http.ResponseWriter, r *http.Request) {
	var change domainChange
	if !readJSON(w, r, maxConfigBytes, &change) {
		return
	}
	if change.InService == nil {
		writeError(w, http.StatusBadRequest, wire.Error{
			Outcome: wire.NotRun, Reason: reasonBody, Detail: "inService is missing",
		})
		return
	}
	name := ident.Domain(mux.Vars(r)["name"])
	accepted, err := f.deps.Admin.SetDomain(r.Context(), name, *change.InService)
	f.writeChangeResult(w, r, accepted, err)
}

// writeChangeResult writes the response to a change of the configuration.
func (f *frontEnd) writeChangeResult(w http.ResponseWriter, r *http.Request, accepted *config.Config, err error) {
	var conflict *site.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, wire.Accepted{Version: accepted.Version})
	case errors.Is(err, ErrNoDomain):
		f.logRefusedChange(r, string(intake.ReasonNotFound), err)
		writeError(w, http.StatusNotFound, wire.Error{
			Outcome: wire.NotRun, Reason: string(intake.ReasonNotFound), Detail: err.Error(),
		})
	case errors.As(err, &conflict):
		f.logRefusedChange(r, reasonConflict, err)
		writeError(w, http.StatusConflict, wire.Error{
			Outcome: wire.NotRun, Reason: reasonConflict, Detail: err.Error(),
		})
	case errors.Is(err, site.ErrOutcomeUnknown), errors.Is(err, store.ErrUncertain):
		writeError(w, http.StatusServiceUnavailable, wire.Error{
			Outcome: wire.Unknown, Reason: string(intake.ReasonLost), Detail: err.Error(),
		})
	default:
		f.logRefusedChange(r, string(intake.ReasonStore), err)
		writeError(w, http.StatusServiceUnavailable, wire.Error{
			Outcome: wire.NotRun, Reason: string(intake.ReasonStore), Detail: err.Error(),
		})
	}
}

// logRefusedChange logs a refused change of the configuration. It must not be
// called for a change whose outcome is unknown, which may have been accepted.
func (f *frontEnd) logRefusedChange(r *http.Request, reason string, err error) {
	operator, _ := f.deps.Config().OperatorOfKey(bearerKey(r))
	f.deps.Log.Write(event.ConfigRefused, "operator", operator.Name, "path", r.URL.Path, "reason", reason,
		"detail", err.Error())
}

func (f *frontEnd) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.deps.Admin.Status())
}

func (f *frontEnd) listWorkspaceJobs(w http.ResponseWriter, r *http.Request) {
	all, err := f.deps.Jobs.List(r.Context(), ident.Workspace(mux.Vars(r)["workspace"]))
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wireJobList(all))
}

func (f *frontEnd) explainJob(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	j, err := f.deps.Jobs.Read(r.Context(), ident.Workspace(vars["workspace"]), ident.Job(vars["id"]))
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wire.Explanation{
		ID: string(j.ID), State: j.State.String(), Reason: f.deps.Admin.Explain(j),
	})
}

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

// domainChange is wire.DomainChange as it is decoded. A body without the value
// must not take the domain out of service.
type domainChange struct {
	InService *bool `json:"inService"`
}

// maxConfig bounds the text of a configuration in bytes. 250 workspaces with
// their guarantees take less than 200 KB.
const maxConfig = 4 << 20

// ErrNoDomain is wrapped by the error of Admin.SetDomain if the configuration
// has no such failure domain.
var ErrNoDomain = errors.New("no such failure domain")

func (f *front) addAdmin(r *mux.Router) {
	r.HandleFunc("/config", f.operatorOrFirst(f.showConfig)).Methods(http.MethodGet)
	r.HandleFunc("/config", f.operatorOrFirst(f.applyConfig)).Methods(http.MethodPut)
	r.HandleFunc("/domains/{name}", f.operator(f.setDomain)).Methods(http.MethodPut)
	r.HandleFunc("/status", f.operator(f.status)).Methods(http.MethodGet)
	r.HandleFunc("/jobs/{workspace}", f.operator(f.listAll)).Methods(http.MethodGet)
	r.HandleFunc("/explain/{workspace}/{id}", f.operator(f.explain)).Methods(http.MethodGet)
}

// operator identifies an operator by its key.
func (f *front) operator(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := f.deps.Config().OperatorOfKey(bearer(r)); !ok {
			refuseOperator(w, "the key belongs to no operator")
			return
		}
		h(w, r)
	}
}

// operatorOrFirst lets whoever reaches an instance without a configuration in
// force look at it and apply the first one. The site may have a configuration
// that this instance does not know yet, so applyConfig takes no other base
// than 0 then, and the store refuses that if there is a configuration.
func (f *front) operatorOrFirst(h http.HandlerFunc) http.HandlerFunc {
	asOperator := f.operator(h)
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

func (f *front) showConfig(w http.ResponseWriter, _ *http.Request) {
	c := f.deps.Config()
	writeJSON(w, http.StatusOK, wire.Config{Version: c.Version, Text: f.deps.Admin.Render(c)})
}

func (f *front) applyConfig(w http.ResponseWriter, r *http.Request) {
	var change wire.ConfigChange
	if !readJSON(w, r, maxConfig, &change) {
		return
	}
	// Without an operator's key only base 0 is taken, also if a configuration
	// has come in force since the call was let through.
	if _, ok := f.deps.Config().OperatorOfKey(bearer(r)); !ok && change.Base != 0 {
		refuseOperator(w, "no configuration is in force at this instance yet; only the first one, with base 0, needs no key")
		return
	}
	next, err := f.deps.Admin.Parse(change.Text)
	if err != nil {
		f.logRefused(r, reasonConfig, err)
		writeError(w, http.StatusUnprocessableEntity, wire.Error{
			Outcome: wire.NotRun, Reason: reasonConfig, Detail: err.Error(),
		})
		return
	}
	accepted, err := f.deps.Admin.Apply(r.Context(), change.Base, next)
	f.writeChange(w, r, accepted, err)
}

func (f *front) setDomain(w http.ResponseWriter, r *http.Request) {
	var change domainChange
	if !readJSON(w, r, maxConfig, &change) {
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
	f.writeChange(w, r, accepted, err)
}

// writeChange answers a change of the configuration.
func (f *front) writeChange(w http.ResponseWriter, r *http.Request, accepted *config.Config, err error) {
	var conflict *site.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, wire.Accepted{Version: accepted.Version})
	case errors.Is(err, ErrNoDomain):
		f.logRefused(r, string(intake.ReasonNotFound), err)
		writeError(w, http.StatusNotFound, wire.Error{
			Outcome: wire.NotRun, Reason: string(intake.ReasonNotFound), Detail: err.Error(),
		})
	case errors.As(err, &conflict):
		f.logRefused(r, reasonConflict, err)
		writeError(w, http.StatusConflict, wire.Error{
			Outcome: wire.NotRun, Reason: reasonConflict, Detail: err.Error(),
		})
	case errors.Is(err, site.ErrUnknown), errors.Is(err, store.ErrUncertain):
		writeError(w, http.StatusServiceUnavailable, wire.Error{
			Outcome: wire.Unknown, Reason: string(intake.ReasonLost), Detail: err.Error(),
		})
	default:
		f.logRefused(r, string(intake.ReasonStore), err)
		writeError(w, http.StatusServiceUnavailable, wire.Error{
			Outcome: wire.NotRun, Reason: string(intake.ReasonStore), Detail: err.Error(),
		})
	}
}

// logRefused writes that a change of the configuration was refused. A change
// whose outcome is unknown is none of these.
func (f *front) logRefused(r *http.Request, reason string, err error) {
	o, _ := f.deps.Config().OperatorOfKey(bearer(r))
	f.deps.Log.Write(event.ConfigRefused, "operator", o.Name, "path", r.URL.Path, "reason", reason, "detail", err.Error())
}

func (f *front) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.deps.Admin.Status())
}

func (f *front) listAll(w http.ResponseWriter, r *http.Request) {
	all, err := f.deps.Jobs.List(r.Context(), ident.Workspace(mux.Vars(r)["workspace"]))
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, listForm(all))
}

func (f *front) explain(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	j, err := f.deps.Jobs.Read(r.Context(), ident.Workspace(v["workspace"]), ident.Job(v["id"]))
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wire.Explanation{
		ID: string(j.ID), State: j.State.String(), Reason: f.deps.Admin.Explain(j),
	})
}

package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// TestWithoutConfiguration guards against an instance that treats every caller
// as an operator while it has no configuration in force, as just after its
// start in a site with operators: such a caller could change the configuration
// or read the jobs of all workspaces.
func TestWithoutConfiguration(t *testing.T) {
	empty := &config.Config{Limits: config.DefaultLimits()}
	next := testConfig(t)
	h := NewHandler(Deps{
		Config: func() *config.Config { return empty }, Log: event.Discard(),
		Jobs: intake.New(intake.Deps{Table: fakes.NewTable().Store(), Log: event.Discard()}),
		Admin: Admin{
			Render: func(*config.Config) string { return "" },
			Parse:  func(string) (*config.Config, error) { return next, nil },
			Apply: func(context.Context, int64, *config.Config) (*config.Config, error) {
				return next, nil
			},
			SetDomain: func(context.Context, ident.Domain, bool) (*config.Config, error) {
				return next, nil
			},
			Status:  func() wire.Status { return wire.Status{} },
			Explain: func(jobs.Job) string { return "" },
		},
	})
	var out strings.Builder
	for _, c := range [][3]string{
		{http.MethodGet, "config", ""},
		{http.MethodPut, "config", `{"base":0,"text":"first"}`},
		{http.MethodPut, "config", `{"base":7,"text":"over the version in force elsewhere"}`},
		{http.MethodPut, "domains/ub1", `{"inService":false}`},
		{http.MethodGet, "status", ""},
		{http.MethodGet, "jobs/foundryA", ""},
		{http.MethodGet, "explain/foundryA/job-1", ""},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c[0], "http://entry"+wire.PathAdmin+"/"+c[1], strings.NewReader(c[2])))
		fmt.Fprintf(&out, "%s %s %s: %d\n", c[0], c[1], c[2], w.Code)
	}
	golden.Assert(t, out.String(), "withoutConfiguration.golden")
}

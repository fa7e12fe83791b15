package cmds

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/entry"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/inifmt"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

const (
	operatorKey     = "00000000000000000000000000000000000000000000000b"
	workspaceKey    = "00000000000000000000000000000000000000000000000a"
	serverAddresses = "127.0.0.1:1,127.0.0.1:2"
)

// testServer serves the real HTTP handlers with in-memory fakes of the table, the
// object store, the relay and the scheduler behind them.
type testServer struct {
	manager *site.Manager
	table   store.Table
	pipe    *fakes.Pipe
	server  *httptest.Server
	// dropResponses closes the connection without a response after each call that
	// is not a GET, once the call has been handled.
	dropResponses bool
}

func newTestServer(t *testing.T) *testServer {
	ts := &testServer{table: fakes.NewTable().Store(), pipe: fakes.NewPipe()}
	ts.manager = site.NewManager(site.Deps{Table: ts.table, Log: event.Discard()})
	first, err := parseSite(string(golden.Get(t, "site.ini")))
	assert.NilError(t, err)
	_, err = ts.manager.Apply(t.Context(), 0, first)
	assert.NilError(t, err)
	handler := entry.NewHandler(entry.Deps{
		Config: ts.manager.Current, Region: "ulaanbaatar", Ready: func() bool { return true }, Relay: fakeRelay,
		Jobs: intake.New(intake.Deps{
			Table: ts.table, Objects: fakes.NewObjects().Store(), Config: ts.manager.Current, Candidates: fakeCandidates,
			Notify: func(ident.Domain, ident.Workspace, ident.Job) {}, Log: event.Discard(),
		}),
		Admin: entry.Admin{
			Render: inifmt.Write, Parse: parseSite, Apply: ts.manager.Apply, SetDomain: ts.setDomain, Status: ts.status,
			Explain: func(jobs.Job) string { return "no rack has 2 free workers" },
		},
	})
	ts.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if ts.dropResponses && req.Method != http.MethodGet {
			handler.ServeHTTP(httptest.NewRecorder(), req)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, req)
	}))
	assert.NilError(t, ts.server.Listener.Close())
	ts.server.Listener = ts.pipe
	ts.server.Start()
	return ts
}

func parseSite(text string) (*config.Config, error) {
	r, err := inifmt.Read(context.Background(), inifmt.Source{File: "applied", Text: text})
	if err != nil {
		return nil, err
	}
	return r.Config, nil
}

// fakeRelay returns the failure named by the body of the request, or a response that
// lists the properties of the request.
func fakeRelay(_ context.Context, r relay.Request) relay.Answer {
	switch string(r.Body) {
	case "lost":
		return relay.Answer{Outcome: relay.Unknown, Reason: relay.ReasonAnswerLost, Detail: "the endpoint closed the connection"}
	case "refused":
		return relay.Answer{Outcome: relay.NotRun, Reason: relay.ReasonOverload, Detail: "queue full", RetryAfter: time.Second}
	case "wrong":
		return relay.Answer{Outcome: relay.Done, Status: http.StatusUnprocessableEntity, Body: []byte("no font\n")}
	}
	body := fmt.Sprintf("%s %s %v %v %s %s\n", r.Workspace, r.Service, r.NonIdempotent, r.Class, r.ContentType, r.Body)
	return relay.Answer{Outcome: relay.Done, Status: http.StatusOK, ContentType: "text/plain", Body: []byte(body)}
}

// fakeCandidates returns one failure domain with two free workers in one rack.
func fakeCandidates(ident.Workspace, jobs.Spec) []sched.Candidate {
	capacity := shape.Resources{Accelerators: 8, Processors: 60, Memory: 256 * shape.GiB}
	var workers []fleet.Worker
	for _, id := range []ident.Worker{"w1", "w2"} {
		workers = append(workers, fleet.Worker{Spec: worker.Spec{ID: id, Domain: "ub1", Rack: "r1", Capacity: capacity}, Free: capacity})
	}
	return []sched.Candidate{{Summary: sched.Summary{Domain: "ub1"}, InService: true, Workers: workers}}
}

func (ts *testServer) setDomain(ctx context.Context, d ident.Domain, in bool) (*config.Config, error) {
	next, ok := ts.manager.Current().WithDomain(d, in)
	if !ok {
		return nil, fmt.Errorf("failure domain %s: %w", d, entry.ErrNoDomain)
	}
	return ts.manager.Apply(ctx, ts.manager.Current().Version, next)
}

func (ts *testServer) status() wire.Status {
	v := ts.manager.Current().Version
	return wire.Status{
		Instance: "e1-1", Version: v,
		Instances: []wire.Instance{
			{Name: "e1-1", Domain: "ub1", Region: "ulaanbaatar", Address: netip.MustParseAddrPort("10.0.0.1:8080"), Version: v, Ready: true},
			{Name: "e2-1", Domain: "erd1", Region: "erdenet", Address: netip.MustParseAddrPort("10.1.0.1:8080"), Version: v - 1},
		},
		Domains: []wire.Domain{
			{
				Name: "ub1", Region: "ulaanbaatar", InService: true, Owner: "e1-1", Epoch: 3, Workers: 17, Accelerators: 136,
				FreeAccelerators: 8, WaitingJobs: 2, RunningJobs: 11, Unmet: []string{"foundryA/proofing: 1 of 2 fit in no rack"},
			},
			{Name: "erd1", Region: "erdenet"},
		},
		Endpoints: []wire.Endpoint{
			{Name: "p1", Service: "proof", Domain: "ub1"}, {Name: "p2", Service: "proof", Domain: "ub1", Leaving: true},
			{Name: "p3", Service: "proof", Domain: "erd1"}, {Name: "s1", Service: "stamp", Domain: "ub1"},
		},
	}
}

// endJob ends a job by the same change of its record that the shard owner makes.
func (ts *testServer) endJob(t *testing.T, id ident.Job, state jobs.State) {
	row, err := ts.table.Get(t.Context(), record.JobKey("foundryA", id))
	assert.NilError(t, err)
	j, err := record.DecodeJob(row.Value)
	assert.NilError(t, err)
	j.State, j.Ended, j.Attempt, j.Result = state, time.Now(), 1, []byte("12 sheets")
	value, err := record.EncodeJob(j)
	assert.NilError(t, err)
	_, err = ts.table.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: row.Key, Value: value}}})
	assert.NilError(t, err)
}

// run runs a command line against the server and returns its output. The first
// word of the line selects the key: operator, workspace or, with any other word,
// none.
func (ts *testServer) run(t *testing.T, in, line string) string {
	var out, errOut bytes.Buffer
	keyOwner, line, _ := strings.Cut(line, " ")
	key := map[string]string{"operator": operatorKey, "workspace": workspaceKey}[keyOwner]
	code := Run(t.Context(), Env{
		In: strings.NewReader(in), Out: &out, Err: &errOut,
		ReadFile: func(name string) ([]byte, error) { return os.ReadFile(filepath.Join("testdata", name)) },
		Getenv: func(name string) string {
			return map[string]string{serverEnvVar: serverAddresses, keyEnvVar: key}[name]
		},
		Connect: func(s client.Settings) *client.Client {
			s.Dial, s.Random = ts.pipe.Dial, func() float64 { return 0.5 }
			return client.New(s)
		},
	}, strings.Fields(line))
	return fmt.Sprintf("%s$ baobabquay %s\n%s--- standard error\n%s--- exit code %d\n", keyOwner, line, &out, &errOut, code)
}

// commandLines holds the command lines of each golden file. "!lose" drops the
// responses to all following changes; "!done" and "!failed" end the named job.
var commandLines = map[string][]string{
	"online-config": {
		"operator config show --in-force", "operator config show --in-force -o json",
		"operator config diff --in-force site.ini", "operator config diff --in-force base.ini",
		"operator config apply base.ini --base 7", "operator config apply base.ini --base 7 -o json",
		"operator config apply bad.ini", "operator config apply site.ini --base x", "workspace config apply site.ini",
		"operator config apply site.ini", "operator config apply site.ini --base 2 -o json",
		"!lose", "operator config apply site.ini", "operator config apply site.ini -o json",
	},
	"online-site": {
		"operator workspace list", "operator workspace list -o json", "operator workspace show foundryA",
		"operator workspace show foundryA -o json", "operator workspace show nobody",
		"operator service list", "operator service list -o json", "operator service show proof",
		"operator service show proof -o json", "operator service show stamp", "operator service show none",
		"operator status", "operator status -o json", "workspace status",
		"operator domain out ub1", "operator domain in ub1 -o json", "operator domain out nowhere", "operator domain out",
	},
	"online-jobs": {
		"workspace job submit --members 2 --accelerators 8 --adjacency rack --request-id a --payload base.ini",
		"workspace job submit --members 2 --accelerators 8 --adjacency rack --request-id a --payload base.ini -o json",
		"workspace job submit --accelerators 1 --request-id a", "workspace job submit --members 64 --accelerators 8",
		"workspace job submit --accelerators one", "workspace job submit --memory 1GB", "workspace job submit --run-time 1",
		"workspace job submit --accelerators 1 --memory 64GiB --class urgent --run-time 1h --request-id b --payload -",
		"workspace jobs", "workspace jobs -o json", "operator jobs -w foundryA", "operator jobs --workspace foundryB",
		"operator explain req-a --workspace foundryA", "operator explain req-a -w foundryA -o json",
		"operator explain req-a", "operator explain req-a -w foundryB", "workspace job show req-b",
		"workspace job wait req-b --timeout 20s", "!done req-b", "workspace job wait req-b", "workspace job wait req-b -o json",
		"workspace job cancel req-b", "workspace job cancel req-a", "!failed req-a", "workspace job wait req-a",
		"workspace job show none", "workspace job show",
		"!lose", "workspace job submit --accelerators 1 --request-id c", "workspace job cancel req-a -o json",
	},
	"online-request": {
		"workspace request proof --request-id a", "workspace request proof -n -c urgent --content-type text/plain -o json --request-id a",
		"workspace request proof --class soon", "operator request proof", "workspace request", "nobody jobs",
		"nobody jobs --server nowhere", "nobody jobs --timeout soon",
	},
}

// TestOnline guards against unintended changes of the output, exit code or outcome
// of the commands that need a server.
func TestOnline(t *testing.T) {
	for name, lines := range commandLines {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestServer(t)
				var output strings.Builder
				for _, line := range lines {
					action, id, _ := strings.Cut(line, " ")
					switch action {
					case "!lose":
						ts.dropResponses = true
					case "!done":
						ts.endJob(t, ident.Job(id), jobs.Done)
					case "!failed":
						ts.endJob(t, ident.Job(id), jobs.Failed)
					default:
						output.WriteString(ts.run(t, "a proof", line))
					}
				}
				if name == "online-request" {
					for _, body := range []string{"lost", "refused", "wrong"} {
						output.WriteString(ts.run(t, body, "workspace request proof --request-id "+body))
					}
				}
				ts.server.Close()
				golden.Assert(t, output.String(), name+".golden")
			})
		})
	}
}

// TestOnlineHelp guards against unintended changes of the help texts of commands
// that need a server, and against commands without examples.
func TestOnlineHelp(t *testing.T) {
	var output strings.Builder
	var walk func(cmd *command)
	walk = func(cmd *command) {
		if cmd.run != nil {
			assert.Assert(t, len(cmd.examples) > 0, cmd.path)
		}
		for _, sub := range cmd.subs {
			walk(sub)
		}
	}
	walk(newRootCommand())
	for _, line := range []string{
		"config apply", "workspace", "workspace show", "service list", "domain out", "status", "jobs", "explain", "job",
		"job submit", "job wait", "request",
	} {
		code := Run(t.Context(), Env{Out: &output, Err: io.Discard}, append(strings.Fields(line), "--help"))
		assert.Equal(t, code, OK, line)
		output.WriteString("\n")
	}
	golden.Assert(t, output.String(), "help-online.golden")
}

package accept

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/queues"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestAnsweredOnce guards against a log that lacks the source of a final phase
// that was answered to a caller, and against a log line for each query.
func TestAnsweredOnce(t *testing.T) {
	const shown, stored, cancelled, live graph.ID = "1111111111111111", "2222222222222222", "3333333333333333", "4444444444444444"
	var lines []string
	log := event.New(funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}))
	activeConfig := queues.NewActiveConfig(event.Discard())
	config := &queues.Config{Version: 1, Queues: []queues.Queue{{Name: "q", Host: "h", Prefix: "/q/", Public: true}}}
	activeConfig.Install(config.BuildIndex())
	table := fakes.NewTable().Store()
	value, err := ledger.Encode(ledger.Ended{Phase: graph.FailedJob})
	assert.NilError(t, err)
	_, err = table.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: ledger.EndedKey(stored), Value: value}}})
	assert.NilError(t, err)
	phases := map[graph.ID]graph.Phase{shown: graph.Completed, cancelled: graph.Cancelled, live: graph.Running}
	service := New(Deps{Queues: activeConfig, Ledger: ledger.New(table), Log: log, Leader: Leader{
		Phase: func(_ context.Context, id graph.ID) (graph.Phase, bool) {
			p, ok := phases[id]
			return p, ok
		},
	}})
	for range 3 {
		for _, id := range []graph.ID{shown, stored, cancelled, live} {
			assert.Equal(t, service.State(t.Context(), Call{Host: "h", Path: "/q/" + string(id)}).Outcome, Shown)
		}
	}
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "answered.golden")
}

// TestSubmitAfterCancel guards against a caller that is told to submit a job again which
// was cancelled before and never runs, and against a row for each malformed identifier
// that callers cancel.
func TestSubmitAfterCancel(t *testing.T) {
	activeConfig := queues.NewActiveConfig(event.Discard())
	config := &queues.Config{Version: 1, Queues: []queues.Queue{{Name: "q", Host: "h", Prefix: "/q/", Public: true}}}
	activeConfig.Install(config.BuildIndex())
	table := fakes.NewTable()
	service := New(Deps{Queues: activeConfig, Ledger: ledger.New(table.Store()), Log: event.Discard(), Leader: Leader{
		Phase: func(context.Context, graph.ID) (graph.Phase, bool) { return "", false },
	}})
	for _, name := range []string{"", "1", "111111111111111g", "11111111111111111", "../../../../../.."} {
		assert.Equal(t, service.Cancel(t.Context(), Call{Host: "h", Path: "/q/" + name}).Outcome, NoJob)
	}
	assert.Equal(t, len(table.Log()), 0)
	call := Call{Host: "h", Path: "/q/1111111111111111"}
	assert.Equal(t, service.Cancel(t.Context(), call).Outcome, NoJob)
	answer := service.Submit(t.Context(), call, &graph.Job{Steps: []graph.Step{{Count: 1}}})
	assert.Equal(t, answer.Outcome, Refused)
	assert.Equal(t, answer.RetryAfter, time.Duration(0))
	assert.Equal(t, service.State(t.Context(), call).Outcome, NoJob)
}

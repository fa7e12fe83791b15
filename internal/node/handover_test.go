package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/peerv1"
	"github.com/baobabquay/baobabquay/internal/shard"
	"gotest.tools/v3/assert"
)

type (
	// formerLeader returns the progress of many jobs.
	formerLeader struct {
		peerv1.UnimplementedLeadHandler
		jobs int
	}

	// slowWriter writes a response in parts with pauses between them.
	slowWriter struct {
		http.ResponseWriter
		parts int
		pause time.Duration
	}
)

// HandOver returns empty progress of f.jobs jobs.
func (f formerLeader) HandOver(
	context.Context, *connect.Request[peerv1.HandOverRequest],
) (*connect.Response[peerv1.HandOverResponse], error) {
	value, err := ledger.Encode(graph.Snapshot{})
	if err != nil {
		return nil, err
	}
	res := &peerv1.HandOverResponse{Progress: make(map[string][]byte)}
	for i := range f.jobs {
		res.Progress[fmt.Sprintf("job%d", i)] = value
	}
	return connect.NewResponse(res), nil
}

func (w *slowWriter) Write(b []byte) (int, error) {
	written := 0
	for i := range w.parts {
		n, err := w.ResponseWriter.Write(b[i*len(b)/w.parts : (i+1)*len(b)/w.parts])
		if written += n; err != nil {
			return written, err
		}
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		time.Sleep(w.pause)
	}
	return written, nil
}

// TestLargeHandOverCutOff guards against progress of a former leader that is lost, so
// that its tasks run again, because the answer with it is large.
func TestLargeHandOverCutOff(t *testing.T) {
	const jobs = 2000
	mux := http.NewServeMux()
	mux.Handle(peerv1.NewLeadHandler(formerLeader{jobs: jobs}))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&slowWriter{w, 20, 25 * time.Millisecond}, r)
	}))
	t.Cleanup(server.Close)
	service := &leaderService{http: newPeerHTTP(), clients: shard.New[addressKey, peerv1.LeadClient](clientShards)}
	progress, err := service.handOver(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 2)
	assert.NilError(t, err)
	assert.Equal(t, len(progress), jobs)
}

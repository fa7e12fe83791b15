package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/baobabquay/baobabquay/internal/accept"
	"github.com/baobabquay/baobabquay/internal/elect"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/lead"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/peerv1"
	"github.com/baobabquay/baobabquay/internal/shard"
	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// leaderService queries the leader, which may be this instance, about jobs
	// and queues. It also serves the same queries of other instances, which only
	// the leader can answer.
	leaderService struct {
		elector   *elect.Elector
		scheduler *lead.Scheduler
		http      *http.Client
		clients   *shard.Map[addressKey, peerv1.LeadClient]
	}

	// addressKey is the text form of an address, the key of a map of clients.
	addressKey string
)

const (
	// leaderTimeout bounds a query to the leader: two round trips between
	// regions and the delay of a busy instance. Without an answer, the phase of
	// a job is read from the stored rows.
	leaderTimeout = 400 * time.Millisecond
	// dialTimeout bounds the opening of a connection to another instance.
	dialTimeout = 300 * time.Millisecond
	// maxIdleConns is the number of idle connections kept to each instance.
	maxIdleConns = 8
	// clientShards is the number of shards of a map of clients, each of which
	// has its own lock.
	clientShards = 4
)

func newLeaderService(e *elect.Elector, s *lead.Scheduler, h *http.Client) *leaderService {
	return &leaderService{elector: e, scheduler: s, clients: shard.New[addressKey, peerv1.LeadClient](clientShards), http: h}
}

// newPeerHTTP returns the client for calls to other instances.
func newPeerHTTP() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: progressTransport{&http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConns,
	}}}
}

func (l *leaderService) client(to netip.AddrPort) peerv1.LeadClient {
	c, _ := l.clients.LoadOrStore(addressKey(to.String()), func() peerv1.LeadClient {
		return peerv1.NewLeadClient(l.http, "http://"+to.String())
	})
	return c
}

// phase returns the phase of a job according to the leader. It returns false if
// the leader does not answer or does not know the job.
func (l *leaderService) phase(ctx context.Context, id graph.ID) (graph.Phase, bool) {
	if s, ok := l.scheduler.Status(id); ok {
		return s.Phase, true
	}
	lease := l.elector.Leader()
	if lease.Epoch == 0 || l.elector.Leads() {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	res, err := l.client(lease.Peer).JobPhase(ctx, connect.NewRequest(&peerv1.JobPhaseRequest{Job: string(id)}))
	if err != nil || !res.Msg.GetKnown() {
		return "", false
	}
	return graph.Phase(res.Msg.GetPhase()), true
}

// queue returns the state of a queue according to the leader. It returns false
// if the leader does not answer or no longer leads.
func (l *leaderService) queue(ctx context.Context, name string) (accept.QueueState, bool) {
	if n, leads := l.scheduler.Waiting(name); leads {
		return accept.QueueState{Waiting: n}, true
	}
	lease := l.elector.Leader()
	if lease.Epoch == 0 || l.elector.Leads() {
		return accept.QueueState{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	res, err := l.client(lease.Peer).QueueLength(ctx, connect.NewRequest(&peerv1.QueueLengthRequest{Queue: name}))
	if err != nil || !res.Msg.GetLeads() {
		return accept.QueueState{}, false
	}
	return accept.QueueState{
		Waiting: int(res.Msg.GetWaiting()), Full: res.Msg.GetFull(),
		RetryAfter: time.Duration(res.Msg.GetRetryAfterMillis()) * time.Millisecond,
	}, true
}

// handOverTimeout bounds the call of a new leader to the former one, which is
// often no longer running. Progress that cannot be received in time would be lost.
var handOverTimeout = store.AnswerTimeout{First: 150 * time.Millisecond, Stall: 150 * time.Millisecond, Transfer: 2 * time.Second}

// handOver requests from the former leader the job progress that it could not
// store.
func (l *leaderService) handOver(ctx context.Context, former netip.AddrPort, epoch int64) (map[graph.ID]graph.Snapshot, error) {
	ctx, cancel := handOverTimeout.Context(ctx)
	defer cancel()
	res, err := l.client(former).HandOver(ctx, connect.NewRequest(&peerv1.HandOverRequest{Epoch: epoch}))
	if err != nil {
		return nil, fmt.Errorf("request progress from former leader %v: %w", former, err)
	}
	progress := make(map[graph.ID]graph.Snapshot)
	for id, value := range res.Msg.GetProgress() {
		var snapshot graph.Snapshot
		if err := ledger.Decode(store.Row{Key: ledger.ProgressKey(graph.ID(id)), Value: value}, &snapshot); err != nil {
			return nil, fmt.Errorf("decode progress from former leader %v: %w", former, err)
		}
		progress[graph.ID(id)] = snapshot
	}
	return progress, nil
}

// HandOver ends the term of this instance, if it is an earlier one, and returns
// to the new leader the job progress that this instance has not stored.
func (l *leaderService) HandOver(
	_ context.Context, req *connect.Request[peerv1.HandOverRequest],
) (*connect.Response[peerv1.HandOverResponse], error) {
	res := &peerv1.HandOverResponse{Progress: make(map[string][]byte)}
	for id, snapshot := range l.scheduler.ReleaseTerm(req.Msg.GetEpoch()) {
		value, err := ledger.Encode(snapshot)
		if err != nil {
			return nil, fmt.Errorf("hand over job %s: %w", id, err)
		}
		res.Progress[string(id)] = value
	}
	return connect.NewResponse(res), nil
}

// JobPhase returns the phase of a job to another instance if this one leads.
func (l *leaderService) JobPhase(
	_ context.Context, req *connect.Request[peerv1.JobPhaseRequest],
) (*connect.Response[peerv1.JobPhaseResponse], error) {
	s, ok := l.scheduler.Status(graph.ID(req.Msg.GetJob()))
	return connect.NewResponse(&peerv1.JobPhaseResponse{Known: ok, Phase: string(s.Phase), Queue: s.Queue}), nil
}

// QueueLength returns the number of waiting jobs of a queue to another instance
// if this one leads.
func (l *leaderService) QueueLength(
	_ context.Context, req *connect.Request[peerv1.QueueLengthRequest],
) (*connect.Response[peerv1.QueueLengthResponse], error) {
	n, leads := l.scheduler.Waiting(req.Msg.GetQueue())
	return connect.NewResponse(&peerv1.QueueLengthResponse{Leads: leads, Waiting: int32(n)}), nil
}

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
	// peers asks the leader, which may be this instance, and answers others
	// while this instance leads.
	peers struct {
		elector   *elect.Elector
		scheduler *lead.Scheduler
		http      *http.Client
		clients   *shard.Map[addressKey, peerv1.LeadClient]
	}

	// addressKey is the text of an address.
	addressKey string
)

const (
	// askLimit bounds a question to the leader: two round trips between
	// regions and a busy instance. The stored rows answer in its place.
	askLimit = 400 * time.Millisecond
	// peerDial bounds the opening of a connection to the leader.
	peerDial = 300 * time.Millisecond
	// idlePeerConns is the number of unused connections kept to one instance.
	idlePeerConns = 8
	// clientParts is the number of locks over the connections.
	clientParts = 4
)

func newPeers(e *elect.Elector, s *lead.Scheduler, h *http.Client) *peers {
	return &peers{elector: e, scheduler: s, clients: shard.New[addressKey, peerv1.LeadClient](clientParts), http: h}
}

// newPeerHTTP returns the client for calls to other instances.
func newPeerHTTP() *http.Client {
	dialer := &net.Dialer{Timeout: peerDial}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: idlePeerConns,
	}}
}

func (p *peers) client(to netip.AddrPort) peerv1.LeadClient {
	c, _ := p.clients.LoadOrStore(addressKey(to.String()), func() peerv1.LeadClient {
		return peerv1.NewLeadClient(p.http, "http://"+to.String())
	})
	return c
}

// phase returns the leader's answer for a job, if it has one.
func (p *peers) phase(ctx context.Context, id graph.ID) (graph.Phase, bool) {
	if s, ok := p.scheduler.Status(id); ok {
		return s.Phase, true
	}
	l := p.elector.Leader()
	if l.Epoch == 0 || p.elector.Leads() {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	res, err := p.client(l.Peer).JobPhase(ctx, connect.NewRequest(&peerv1.JobPhaseRequest{Job: string(id)}))
	if err != nil || !res.Msg.GetKnown() {
		return "", false
	}
	return graph.Phase(res.Msg.GetPhase()), true
}

// queue returns the leader's answer for a queue, if it has one.
func (p *peers) queue(ctx context.Context, name string) (accept.QueueState, bool) {
	if n, leads := p.scheduler.Waiting(name); leads {
		return accept.QueueState{Waiting: n}, true
	}
	l := p.elector.Leader()
	if l.Epoch == 0 || p.elector.Leads() {
		return accept.QueueState{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	res, err := p.client(l.Peer).QueueLength(ctx, connect.NewRequest(&peerv1.QueueLengthRequest{Queue: name}))
	if err != nil || !res.Msg.GetLeads() {
		return accept.QueueState{}, false
	}
	return accept.QueueState{
		Waiting: int(res.Msg.GetWaiting()), Full: res.Msg.GetFull(),
		RetryAfter: time.Duration(res.Msg.GetRetryAfterMillis()) * time.Millisecond,
	}, true
}

// handOverLimit bounds the question of a new leader to the former one, which is
// often gone.
const handOverLimit = 150 * time.Millisecond

// handOver asks the former leader for what it could not store.
func (p *peers) handOver(ctx context.Context, former netip.AddrPort, epoch int64) (map[graph.ID]graph.Kept, error) {
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	res, err := p.client(former).HandOver(ctx, connect.NewRequest(&peerv1.HandOverRequest{Epoch: epoch}))
	if err != nil {
		return nil, fmt.Errorf("ask %v for its progress: %w", former, err)
	}
	progress := make(map[graph.ID]graph.Kept)
	for id, value := range res.Msg.GetProgress() {
		var k graph.Kept
		if err := ledger.Decode(store.Row{Key: ledger.ProgressKey(graph.ID(id)), Value: value}, &k); err != nil {
			return nil, fmt.Errorf("progress from %v: %w", former, err)
		}
		progress[graph.ID(id)] = k
	}
	return progress, nil
}

// HandOver answers a new leader.
func (p *peers) HandOver(
	_ context.Context, req *connect.Request[peerv1.HandOverRequest],
) (*connect.Response[peerv1.HandOverResponse], error) {
	res := &peerv1.HandOverResponse{Progress: make(map[string][]byte)}
	for id, k := range p.scheduler.HandedOver(req.Msg.GetEpoch()) {
		value, err := ledger.Encode(k)
		if err != nil {
			return nil, fmt.Errorf("hand over job %s: %w", id, err)
		}
		res.Progress[string(id)] = value
	}
	return connect.NewResponse(res), nil
}

// JobPhase answers another instance.
func (p *peers) JobPhase(
	_ context.Context, req *connect.Request[peerv1.JobPhaseRequest],
) (*connect.Response[peerv1.JobPhaseResponse], error) {
	s, ok := p.scheduler.Status(graph.ID(req.Msg.GetJob()))
	return connect.NewResponse(&peerv1.JobPhaseResponse{Known: ok, Phase: string(s.Phase), Queue: s.Queue}), nil
}

// QueueLength answers another instance.
func (p *peers) QueueLength(
	_ context.Context, req *connect.Request[peerv1.QueueLengthRequest],
) (*connect.Response[peerv1.QueueLengthResponse], error) {
	n, leads := p.scheduler.Waiting(req.Msg.GetQueue())
	return connect.NewResponse(&peerv1.QueueLengthResponse{Leads: leads, Waiting: int32(n)}), nil
}
